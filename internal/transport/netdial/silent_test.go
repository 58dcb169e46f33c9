package netdial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// A connection to a peer that has become silent fails within the time that a request can wait, both
// with unacknowledged data and while idle.
func TestConnectionsDetectSilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	quick := netdial.NewAdaptiveDialer(time.Second)
	for name, dial := range map[string]func(context.Context, string, string) (net.Conn, error){
		"plain": netdial.Dialer(time.Second).DialContext, "quick": quick.DialContext,
	} {
		t.Run(name, func(t *testing.T) {
			c, err := dial(context.Background(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			raw, err := c.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			get := func(option int) (value int) {
				controlErr := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) })
				if err != nil || controlErr != nil {
					t.Fatal(err, controlErr)
				}
				return value
			}
			unacknowledged := time.Duration(get(tcpUserTimeout)) * time.Millisecond
			quiet := time.Duration(get(syscall.TCP_KEEPIDLE)+get(syscall.TCP_KEEPINTVL)*get(syscall.TCP_KEEPCNT)) * time.Second
			if diff := cmp.Diff([]time.Duration{netdial.UserTimeout, 4 * time.Second}, []time.Duration{unacknowledged, quiet}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
