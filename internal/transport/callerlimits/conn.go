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

// phase is what a read from a connection waits for.
type phase int

const (
	// other reads have no limit here.
	other phase = iota
	// idle connections wait for the first byte of another request.
	idle
)

// conn is a caller's connection. Its server reads from one goroutine at a time.
type conn struct {
	*net.TCPConn
	limiter *Limiter

	mu sync.Mutex
	// phase and since, when it began, are guarded by mu.
	phase phase
	since time.Time
}

// noteState takes up what the server tells of the connection.
func (c *conn) noteState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.enter(idle)
	case http.StateNew, http.StateActive, http.StateHijacked, http.StateClosed:
		c.enter(other)
	}
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
	if phase == idle {
		return c.readIdle(p, since)
	}
	return c.TCPConn.Read(p)
}

// readIdle reads the first bytes of a request on a connection that is idle since a time.
func (c *conn) readIdle(p []byte, since time.Time) (int, error) {
	for {
		limit := c.limiter.since(since).idleTimeout
		n, err := c.readUntil(p, since.Add(limit))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.enter(other)
			return n, err
		}
		waited := clock.Since(since)
		if c.limiter.since(since).idleTimeout > waited {
			continue
		}
		if c.limiter.Pending() {
			n, err = c.readUntil(p, clock.Now().Add(pendingInterval))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.enter(other)
				return n, err
			}
			continue
		}
		c.limiter.noteClosed(c, idleTimeout, limit, waited)
		return 0, err
	}
}

// readUntil reads until a time of package clock. Bytes that have already arrived are read after it as well: this
// process may have had no processor time since they came.
func (c *conn) readUntil(p []byte, deadline time.Time) (int, error) {
	err := c.SetReadDeadline(clock.Deadline(deadline))
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
		err = c.SetReadDeadline(time.Time{})
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
