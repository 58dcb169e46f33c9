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

// errPending is the error of a read whose limit may be longer under a newer configuration.
var errPending = errors.New("a newer configuration is not known yet")

// phase is what a read from a connection waits for.
type phase int

const (
	// ahead reads look for the end of the connection while a request is served; they take the first byte of the next
	// request if it has arrived.
	ahead phase = iota
	// inBody reads the body of a request.
	inBody
	// unused connections wait for the first byte of their first request, and idle ones for that of another. Empty lines
	// do not count: some callers send one after a body.
	unused
	idle
	// inHead reads the head of a request.
	inHead
)

// conn is a caller's connection. Its server reads from one goroutine at a time.
type conn struct {
	*net.TCPConn
	limiter *Limiter

	mu sync.Mutex
	// phase and since, when the limit of the phase began to count, are guarded by mu, and so is readsEnded: no request
	// is read any more.
	phase      phase
	since      time.Time
	readsEnded bool

	// head is that of the request that is being read, and bodyEnded whether its body has been given up. The server uses
	// them from one goroutine at a time.
	head      head
	bodyEnded bool
	// readAhead is whether bytes behind the head or body of a request may have been read with it, and uncounted whether
	// the head that is being read may have begun in such bytes. Then its end may not be recognized, and it is refused only if
	// the server reads on after tooLarge.
	readAhead, uncounted, tooLarge bool
}

// noteState records the state of the connection that the server reports.
func (c *conn) noteState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.begin(idle)
	case http.StateNew:
		c.begin(unused)
	case http.StateActive:
		c.enter(inBody)
		c.head, c.bodyEnded = head{}, false
		c.uncounted, c.readAhead, c.tooLarge = c.readAhead, false, false
	case http.StateHijacked, http.StateClosed:
		c.limiter.remove(c)
	}
}

// SetReadDeadline implements net.Conn. The server calls it at the end of a body, before it reads ahead.
func (c *conn) SetReadDeadline(t time.Time) error {
	if phase, _ := c.current(); phase == inBody {
		c.enter(ahead)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// begin enters a phase whose limit counts from now.
func (c *conn) begin(p phase) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, now
}

// enter enters a phase that has no limit as a whole.
func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

func (c *conn) current() (p phase, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	phase, since := c.current()
	if c.tooLarge && (phase == idle || phase == inHead) {
		return c.refuseHead()
	}
	switch phase {
	case unused, idle:
		n, err := c.readFirst(p, since, phase)
		if n == 0 {
			return 0, err
		}
		c.addHead(p[:n])
		if c.head.begun {
			c.begin(inHead)
		}
		return c.limitHead(n, err)
	case inHead:
		n, err := c.readBy(p, since, headerTimeout)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.refuse(http.StatusRequestTimeout)
			return 0, err
		}
		c.addHead(p[:n])
		return c.limitHead(n, err)
	case inBody:
		n, err := c.readBody(p)
		c.uncounted = c.uncounted || n > 0
		return n, err
	case ahead:
		n, err := c.TCPConn.Read(p)
		c.head.add(p[:n])
		return n, err
	default:
		panic("callerlimits: a phase that does not exist")
	}
}

// addHead takes up bytes of a head, and whether others follow it.
func (c *conn) addHead(p []byte) {
	c.readAhead = c.head.add(p) < len(p)
}

// limitHead refuses a request whose head has become too large. It returns what Read shall return after it has read n
// bytes.
func (c *conn) limitHead(n int, err error) (int, error) {
	_, since := c.current()
	if c.head.size <= c.limiter.since(since).headerBytes {
		return n, err
	}
	if c.uncounted {
		c.tooLarge = true
		return n, err
	}
	return c.refuseHead()
}

// refuseHead refuses a request whose head is too large. It returns what Read shall return.
func (c *conn) refuseHead() (int, error) {
	_, since := c.current()
	c.limiter.noteSize(c, headerBytes, c.limiter.since(since).headerBytes, c.head.size)
	c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLarge}
}

// readFirst reads the first bytes of a request on a connection that waits for it since a time.
func (c *conn) readFirst(p []byte, since time.Time, phase phase) (int, error) {
	l := idleTimeout
	if phase == unused {
		l = newTimeout
	}
	for {
		n, err := c.readBy(p, since, l)
		if !errors.Is(err, errPending) {
			return n, err
		}
		n, err = c.readUntil(p, clock.Now().Add(pendingInterval))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// readBody reads a part of a body, within the time without progress. After that time, all reads fail: the server reads
// the rest of a body that its handler has given up.
func (c *conn) readBody(p []byte) (int, error) {
	if c.bodyEnded {
		return 0, os.ErrDeadlineExceeded
	}
	now := clock.Now()
	if c.limiter.since(now).bodyTimeout == never {
		n, err := c.TCPConn.Read(p)
		c.bodyEnded = errors.Is(err, os.ErrDeadlineExceeded)
		return n, err
	}
	n, err := c.readBy(p, now, bodyTimeout)
	c.bodyEnded = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readBy reads within the time of a limit since a time, of all that were in force since then the longest. The error is
// errPending if the time is over, but may be longer under a configuration that is not known yet, and only for
// connections that wait for a request.
func (c *conn) readBy(p []byte, since time.Time, l limit) (int, error) {
	for {
		value := c.limiter.since(since).timeout(l)
		n, err := c.readUntil(p, since.Add(value))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.haveReadsEnded() {
			return n, err
		}
		waited := clock.Since(since)
		if c.limiter.since(since).timeout(l) > waited {
			continue
		}
		if waitsForRequest(l) && c.limiter.Pending() {
			return 0, errPending
		}
		c.limiter.noteTimeout(c, l, value, waited)
		return 0, err
	}
}

// waitsForRequest is whether a limit is on the time until the first byte of a request.
func waitsForRequest(l limit) bool { return l == idleTimeout || l == newTimeout }

// readUntil reads until a time of package clock. Bytes that have already arrived are read after it as well: this
// process may have had no processor time since they came.
func (c *conn) readUntil(p []byte, deadline time.Time) (int, error) {
	err := c.setReadDeadline(clock.Deadline(deadline))
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
		err = c.setReadDeadline(time.Time{})
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
	// Unlike Read, Control ignores the deadline.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}
