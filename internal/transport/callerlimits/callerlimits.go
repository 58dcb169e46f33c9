// Package callerlimits enforces the limits of the configuration in force on callers' connections: how long one may be
// idle, how large the head of a request may be, and how long a request may take to arrive. The limits of http.Server are
// fixed once it serves, and those of the configuration change.
package callerlimits

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

const (
	// DefaultIdleTimeout is the usual value of Defaults.IdleTimeout.
	DefaultIdleTimeout = 75 * time.Second
	// DefaultDeliveryTime is the usual value of Defaults.DeliveryTime.
	DefaultDeliveryTime = time.Second
	// DefaultHeaderTimeout is the usual value of Defaults.HeaderTimeout.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultBodyTimeout is the usual value of Defaults.BodyTimeout.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultHeaderBytes is the usual value of Defaults.HeaderBytes: 64 KiB, and what net/http allows beyond its limit.
	DefaultHeaderBytes = 64<<10 + 4<<10
	// DefaultFormerHold is the usual value of Defaults.FormerHold.
	DefaultFormerHold = 30 * time.Second
	// observeInterval is how often the configuration in force is read.
	observeInterval = 100 * time.Millisecond
	// pendingInterval is how often an idle connection is looked at again that is kept for a newer configuration.
	pendingInterval = time.Second
)

// Defaults are what holds where the configuration sets no limit.
type Defaults struct {
	// IdleTimeout is also the least: configurations can only raise it.
	IdleTimeout time.Duration
	// DeliveryTime is how long the end of an answer may take to arrive. Callers count idle time from then on.
	DeliveryTime time.Duration
	// HeaderTimeout limits the time from the first byte of a request to the end of its head. It also limits the time
	// until that byte on a new connection, unless the configuration sets an idle timeout.
	HeaderTimeout time.Duration
	// BodyTimeout is the least of the time without a byte of a body, which has a limit only where the configuration
	// sets a header timeout.
	BodyTimeout time.Duration
	// HeaderBytes limits the head of a request: the request line, the header lines and the empty line after them.
	HeaderBytes int
	// FormerHold is for how long after its replacement callers may still act by a configuration.
	FormerHold time.Duration
}

// Limiter enforces limits on the connections of one http.Server. Set the exported fields, then call Configure, and Run if
// the limits change.
type Limiter struct {
	// Limits returns the limits of the configuration in force, nil while there is none.
	Limits func() *deployment.Limits
	// Pending reports whether a newer configuration is known to exist. Idle connections are kept meanwhile, because
	// it may allow them a longer time.
	Pending  func() bool
	Defaults Defaults
	// Metrics counts what is closed.
	Metrics *Metrics
	// Log receives one line for each connection that is closed for a limit.
	Log *log.Logger

	accepting acceptor

	mu sync.Mutex
	// history and open, the connections that are not closed yet, are guarded by mu.
	history history
	open    map[*conn]struct{}
}

// Configure sets the fields of a server that the limiter needs. The server must serve on listeners of Listener.
func (m *Limiter) Configure(s *http.Server) {
	// With these, the server sets no deadlines of its own for reads.
	s.ReadTimeout, s.ReadHeaderTimeout, s.IdleTimeout = 0, 0, 0
	// The server's buffers grow with the head that arrives, and not with this.
	s.MaxHeaderBytes = math.MaxInt32
	s.ConnState = noteState
}

// Run follows the configuration until ctx ends.
func (m *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		m.since(clock.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Listener returns a listener whose connections are held to the limits.
func (m *Limiter) Listener(of net.Listener) net.Listener {
	m.accepting.set(of)
	return &listener{of, m}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.limiter.accepting.ended() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	out := &conn{TCPConn: tcp, limiter: l.limiter}
	l.limiter.add(out)
	return out, nil
}

// noteState is http.Server.ConnState.
func noteState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*conn); ok {
		limited.noteState(state)
	}
}

// since returns the largest limits by which a caller may have acted since t, a time of package clock.
func (m *Limiter) since(t time.Time) values {
	limits := m.Limits()
	m.mu.Lock()
	defer m.mu.Unlock()
	if limits == nil {
		return most(m.resolve(deployment.Limits{}), m.history.current)
	}
	current := m.resolve(*limits)
	if current != m.history.current {
		m.history.change(clock.Now(), current, m.Defaults.FormerHold)
	}
	return m.history.since(t.Add(-m.Defaults.FormerHold))
}

// resolve returns what holds under the limits of a configuration.
func (m *Limiter) resolve(in deployment.Limits) values {
	out := values{
		idleTimeout:   max(in.IdleTimeout, m.Defaults.IdleTimeout) + m.Defaults.DeliveryTime,
		newTimeout:    m.Defaults.HeaderTimeout,
		headerTimeout: cmp.Or(in.HeaderTimeout, m.Defaults.HeaderTimeout),
		bodyTimeout:   never,
		headerBytes:   cmp.Or(in.HeaderBytes, m.Defaults.HeaderBytes),
	}
	if in.IdleTimeout > 0 {
		out.newTimeout = max(out.newTimeout, out.idleTimeout)
	}
	if in.HeaderTimeout > 0 {
		out.bodyTimeout = max(in.HeaderTimeout, m.Defaults.BodyTimeout)
	}
	return out
}

// noteTimeout logs and counts that a connection is closed because its caller took too long.
func (m *Limiter) noteTimeout(c *conn, l limit, value, waited time.Duration) {
	m.note(c, l).Dur("value_ms", value).Dur("waited_ms", waited).Msg("")
}

// noteSize logs and counts that a connection is closed because its caller sent too much.
func (m *Limiter) noteSize(c *conn, l limit, value, received int) {
	m.note(c, l).Int("value_bytes", value).Int("received_bytes", received).Msg("")
}

func (m *Limiter) note(c *conn, l limit) *log.Entry {
	m.Metrics.closed.WithLabelValues(string(l)).Inc()
	return m.Log.Info().Str("event", "caller_limit").Str("limit", string(l)).Str("caller", c.RemoteAddr().String())
}
