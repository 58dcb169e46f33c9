package callerlimits

import (
	"net"
	"sync"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

// lastAccepts is for how long after StopAccepting connections are still accepted that had been established before: closing
// a listener resets those that it has not accepted yet.
const lastAccepts = 50 * time.Millisecond

// acceptor ends the acceptance of connections at one listener.
type acceptor struct {
	mu sync.Mutex
	// listener is the one that is served, and stopped whether no more connections are to be accepted. Both are guarded
	// by mu.
	listener net.Listener
	stopped  bool
}

func (a *acceptor) set(l net.Listener) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = l
}

func (a *acceptor) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// StopAccepting ends the acceptance of new connections. Those that exist are kept. Serve returns http.ErrServerClosed soon.
func (m *Limiter) StopAccepting() {
	m.accepting.mu.Lock()
	defer m.accepting.mu.Unlock()
	m.accepting.stopped = true
	if l, ok := m.accepting.listener.(*net.TCPListener); ok {
		// An error means that the listener is closed already.
		_ = l.SetDeadline(clock.Deadline(clock.Now().Add(lastAccepts)))
	}
}

func (m *Limiter) add(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = map[*conn]struct{}{}
	}
	m.open[c] = struct{}{}
}

func (m *Limiter) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, c)
}

// Awaited returns the number of connections that wait for their first request, or whose request is being read or served.
// The others are idle after a request.
func (m *Limiter) Awaited() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for c := range m.open {
		if phase, _ := c.current(); phase != idle {
			n++
		}
	}
	return n
}

// EndReads ends all reads of requests. Those whose head or body has not arrived completely are refused with status 408.
func (m *Limiter) EndReads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.open {
		c.endReads()
	}
}

// endReads ends the read in progress, and all later ones of requests.
func (c *conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsEnded = true
	if c.phase != ahead {
		// An error means that the connection is closed.
		_ = c.TCPConn.SetReadDeadline(clock.Deadline(clock.Now()))
	}
}

// setReadDeadline sets the time until which the read of a request may take.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded {
		t = clock.Deadline(clock.Now())
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *conn) haveReadsEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsEnded
}
