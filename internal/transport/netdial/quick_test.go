package netdial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// unresponsiveAddress returns the address of a listener whose accept queue is full, so that the
// kernel drops further SYNs, as happens with a machine that is down.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	// This connection fills the queue and is never accepted.
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return address
}

// At an unresponsive address the timeout starts short and doubles up to the maximum. An address
// that accepts connections is still reached by the same dialer.
func TestAdaptiveDialerDoublesTimeout(t *testing.T) {
	dead := unresponsiveAddress(t)
	const maxTimeout = 300 * time.Millisecond
	q := netdial.NewAdaptiveDialer(maxTimeout)
	for i, want := range []time.Duration{100, 200, 300, 300} {
		want *= time.Millisecond
		began := time.Now()
		c, err := q.DialContext(context.Background(), "tcp", dead)
		took := time.Since(began)
		if err == nil {
			_ = c.Close()
			t.Fatal("connected to an unresponsive address")
		}
		if took < want-10*time.Millisecond || took > want+90*time.Millisecond {
			t.Errorf("attempt %d took %s, want %s", i+1, took, want)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := q.DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}
