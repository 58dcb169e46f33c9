// Package netdial opens TCP connections that notice a peer behind a cut: without these
// options, data that nobody acknowledges is sent again for many minutes before the
// connection ends.
package netdial

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged. It is above the few
	// hundred milliseconds that a lossy link needs for its retransmissions, and below
	// the 3 s within which a healed cut must be over for callers.
	UserTimeout = 2 * time.Second
	// probeIdle and probeInterval notice a silent peer on a connection that waits.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probes        = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
)

// Dialer returns a dialer; timeout bounds the setting up of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

// Client returns an HTTP client whose connections notice a silent peer; each call may take up to
// timeout, or any time with 0.
func Client(dialTimeout, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: Dialer(dialTimeout).DialContext}}
}
