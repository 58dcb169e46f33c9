package netdial

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// BrokenConnError reports that a connection broke where Read would return io.EOF.
type BrokenConnError struct{ cause error }

// Error returns the text of the writer's error.
func (e *BrokenConnError) Error() string {
	return "the connection broke amid a write: " + e.cause.Error()
}

// Unwrap returns the writer's error.
func (e *BrokenConnError) Unwrap() error { return e.cause }

// BrokenReason returns exchange.BrokenAmidWrite.
func (e *BrokenConnError) BrokenReason() exchange.BrokenReason { return exchange.BrokenAmidWrite }

// Conn is a TCP connection whose Read returns an error after a reset even if the kernel reported it to Write. The kernel reports
// a reset once; if a write gets the error, reads after it get the end of the stream. An HTTP response without a length
// or chunks would then pass for complete.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed, or nil; it is guarded by writing.
	writeErr error
}

// Write writes b, and keeps the first error for Read.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads some bytes. It returns io.EOF only if the peer ended its side in order, and a *BrokenConnError if a write has failed.
// After either, writes fail: a peer that has ended its side need not read what is still being written.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns the error of a failed write, or io.EOF.
func (c *Conn) endOfInput() error {
	// A write that is blocked returns now. One that failed by a reset has returned that error already; the read would have got
	// it otherwise. The error of SetWriteDeadline is ignored: the connection may be closed.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return &BrokenConnError{cause: c.writeErr}
	}
	return io.EOF
}

// SyscallConn returns the connection's socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// TCPDialer opens connections of type *Conn.
type TCPDialer struct{ dialer net.Dialer }

// DialContext makes one attempt to connect.
func (d *TCPDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
