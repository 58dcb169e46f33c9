package netdial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// fullListener takes no more connections: its queue is full, so what comes is dropped, as by
// a machine that is down.
func fullListener(t *testing.T) string {
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
	// One connection waits in the queue, and nobody takes it.
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return address
}

// A dead address is given up soon, then later and later up to the bound; one that answers is
// given its time again.
func TestQuickGivesUpSoonFirst(t *testing.T) {
	dead := fullListener(t)
	const most = 300 * time.Millisecond
	q := netdial.NewAdaptiveDialer(most)
	for i, want := range []time.Duration{100, 200, 300, 300} {
		want *= time.Millisecond
		began := time.Now()
		c, err := q.DialContext(context.Background(), "tcp", dead)
		took := time.Since(began)
		if err == nil {
			_ = c.Close()
			t.Fatal("it was reached")
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
