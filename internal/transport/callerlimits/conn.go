package callerlimits

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

// errHeadTooLarge ends the reads of a request that was refused. As an error of a read, it has the server close the
// connection without a further answer.
var errHeadTooLarge = errors.New("the head of the request is too large")

// phase is what a read from a connection waits for.
type phase int

const (
	// ahead reads look for the end of the connection while a request is served; they take the first byte of the next
	// request if it has arrived.
	ahead phase = iota
	// inBody reads the body of a request.
	inBody
	// idle connections wait for the first byte of another request.
	idle
	// inHead reads the head of a request.
	inHead
)

// conn is a caller's connection. Its server reads from one goroutine at a time.
type conn struct {
	*net.TCPConn
	limiter *Limiter

	mu sync.Mutex
	// phase and since, when it began, are guarded by mu.
	phase phase
	since time.Time
	// head is that of the request that is being read; its server uses it from one goroutine at a time.
	head head
}

// noteState takes up what the server tells of the connection.
func (c *conn) noteState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.enter(idle)
	case http.StateNew:
		c.enter(inHead)
	case http.StateActive:
		c.enter(inBody)
		c.head = head{}
	case http.StateHijacked, http.StateClosed:
	}
}

// SetReadDeadline implements net.Conn. The server calls it at the end of a body, before it reads ahead.
func (c *conn) SetReadDeadline(t time.Time) error {
	if phase, _ := c.current(); phase == inBody {
		c.enter(ahead)
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, clock.Now()
}

func (c *conn) current() (p phase, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	phase, since := c.current()
	switch phase {
	case idle:
		n, err := c.readIdle(p, since)
		if n == 0 {
			return 0, err
		}
		c.enter(inHead)
		return c.limitHead(p, n, err)
	case inHead:
		n, err := c.TCPConn.Read(p)
		return c.limitHead(p, n, err)
	case ahead:
		n, err := c.TCPConn.Read(p)
		c.head.add(p[:n])
		return n, err
	case inBody:
	}
	return c.TCPConn.Read(p)
}

// limitHead refuses a request whose head has become too large with the n bytes that were read to p. It returns what Read
// shall return.
func (c *conn) limitHead(p []byte, n int, err error) (int, error) {
	c.head.add(p[:n])
	_, since := c.current()
	limit := c.limiter.since(since).headerBytes
	if c.head.size <= limit {
		return n, err
	}
	c.limiter.noteSize(c, headerBytes, limit, c.head.size)
	c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLarge}
}

// readIdle reads the first bytes of a request on a connection that is idle since a time.
func (c *conn) readIdle(p []byte, since time.Time) (int, error) {
	for {
		limit := c.limiter.since(since).idleTimeout
		n, err := c.readUntil(p, since.Add(limit))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		waited := clock.Since(since)
		if c.limiter.since(since).idleTimeout > waited {
			continue
		}
		if c.limiter.Pending() {
			n, err = c.readUntil(p, clock.Now().Add(pendingInterval))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return n, err
			}
			continue
		}
		c.limiter.noteTimeout(c, idleTimeout, limit, waited)
		return 0, err
	}
}

// readUntil reads until a time of package clock. Bytes that have already arrived are read after it as well: this
// process may have had no processor time since they came.
func (c *conn) readUntil(p []byte, deadline time.Time) (int, error) {
	err := c.TCPConn.SetReadDeadline(clock.Deadline(deadline))
	if err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n = c.readArrived(p)
	}
	if n > 0 {
		err = nil
	}
	if err == nil {
		err = c.TCPConn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readArrived reads what has arrived without waiting. It returns 0 if nothing has, or on an error, which the next read
// returns as well.
func (c *conn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Unlike Read, Control does not heed the deadline.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}
