package connpool_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/connpool"
)

// pair returns a pool's connection and the other side of it.
func pair(t *testing.T, p *connpool.Pool) (ours *connpool.Conn, theirs net.Conn, peer connpool.Peer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	peer = connpool.Peer{Address: l.Addr().String(), Of: registry.Incarnation{ID: "i", Start: 1}}
	ours, err = p.Get(context.Background(), peer)
	if err != nil {
		t.Fatal(err)
	}
	theirs, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = theirs.Close() })
	return ours, theirs, peer
}

// settle waits until what the other side did has arrived here.
func settle(t *testing.T, c *connpool.Conn) {
	t.Helper()
	err := c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Reader.Peek(1)
	if err != nil && err != io.EOF {
		t.Fatal(err)
	}
}

func TestCleanConnectionIsUsedAgain(t *testing.T) {
	var p connpool.Pool
	ours, _, peer := pair(t, &p)
	p.Put(ours, 0)
	again, err := p.Get(context.Background(), peer)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(1), p.Opened()); diff != "" || again != ours || !again.Used {
		t.Error(diff)
	}
}

// A second answer, or bytes after a whole one, belong to no request: whoever uses the
// connection next would take them for its own answer.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	t.Run("before it is given back", func(t *testing.T) {
		var p connpool.Pool
		ours, theirs, peer := pair(t, &p)
		_, _ = theirs.Write([]byte("HTTP/1.1 200 OK\r\n"))
		settle(t, ours)
		p.Put(ours, 0)
		checkFresh(t, &p, peer, ours)
	})
	t.Run("while it rests", func(t *testing.T) {
		var p connpool.Pool
		ours, theirs, peer := pair(t, &p)
		// The bytes go past the pool's reader, as those that arrive later do.
		probe := probeOf(t, ours)
		p.Put(ours, 0)
		_, _ = theirs.Write([]byte("x"))
		probe()
		checkFresh(t, &p, peer, ours)
	})
	t.Run("closed while it rests", func(t *testing.T) {
		var p connpool.Pool
		ours, theirs, peer := pair(t, &p)
		probe := probeOf(t, ours)
		p.Put(ours, 0)
		_ = theirs.Close()
		probe()
		checkFresh(t, &p, peer, ours)
	})
	t.Run("its peer started again", func(t *testing.T) {
		var p connpool.Pool
		ours, _, peer := pair(t, &p)
		p.Put(ours, 0)
		peer.Of.Start++
		checkFresh(t, &p, peer, ours)
	})
	t.Run("longer than its peer keeps it", func(t *testing.T) {
		var p connpool.Pool
		ours, _, peer := pair(t, &p)
		p.Put(ours, time.Millisecond)
		checkFresh(t, &p, peer, ours)
	})
}

// probeOf returns a function that waits until something can be read on a connection,
// without reading it.
func probeOf(t *testing.T, c *connpool.Conn) func() {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		err := raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n >= 0
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func checkFresh(t *testing.T, p *connpool.Pool, peer connpool.Peer, old *connpool.Conn) {
	t.Helper()
	next, err := p.Get(context.Background(), peer)
	if err == nil && next == old {
		t.Error("the old connection was used again")
	}
}
