// Package connpool pools HTTP/1.1 connections to instances.
//
// net/http's transport retries a request by itself in some cases, and takes the next bytes
// on a connection for the response to the request in flight. This pool reuses a connection
// only if it is open and has no unread bytes. A request is written once, and the caller
// learns whether anything was written.
package connpool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

const (
	// dialTimeout is many times the network latency between failure domains, and below the
	// latency objective of most requests.
	dialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if its peer specifies no
	// keep-alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the keep-alive timeout, since the peer's FIN takes time to
	// arrive.
	idleMargin     = 500 * time.Millisecond
	maxIdlePerPeer = 16
	// readBufferBytes is enough for a response's header and for most events.
	readBufferBytes = 2048
)

// Peer identifies the remote end of a connection. A connection to one incarnation is not reused for
// the next one at the same address, which may not know the connection and may never respond on it.
type Peer struct {
	Address  string
	Identity registry.Incarnation
}

// PeerOf returns the peer that identifies an instance.
func PeerOf(in registry.Instance) Peer { return Peer{in.Address, in.Incarnation()} }

// Conn is a connection to an instance.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	head   *inbound.HeadReader
	// Reused is set if the connection has carried a request before.
	Reused  bool
	peer    Peer
	expires time.Time
}

// Pool holds idle connections by peer. It is safe for concurrent use, and its zero value is
// an empty pool.
type Pool struct {
	mu     sync.Mutex
	idle   map[Peer][]*Conn
	opened uint64
}

// Opened returns the total number of connections opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns a clean idle connection, or opens a new one.
func (p *Pool) Get(ctx context.Context, peer Peer) (*Conn, error) {
	for {
		c := p.takeIdle(peer)
		if c == nil {
			return p.Open(ctx, peer)
		}
		if clock.Now().Before(c.expires) && isClean(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// Open opens a new connection.
func (p *Pool) Open(ctx context.Context, peer Peer) (*Conn, error) {
	c, err := dial(ctx, peer.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	head := inbound.NewHeadReader(c)
	return &Conn{Conn: c, Reader: bufio.NewReaderSize(head, readBufferBytes), head: head, peer: peer}, nil
}

// dial opens a connection, which may take dialTimeout while this process runs.
func dial(ctx context.Context, address string) (net.Conn, error) {
	running, cancel := clock.WithRunningTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := netdial.Dialer(0).DialContext(running, "tcp", address)
	if err != nil && ctx.Err() == nil && running.Err() != nil {
		// The dial error only reports that the context was canceled; the cause is a timeout.
		err = context.Cause(running)
	}
	return c, err
}

// Refuses reports whether a peer refuses a new connection (ECONNREFUSED). If the peer accepts it, the
// connection goes into the pool.
func (p *Pool) Refuses(ctx context.Context, peer Peer) bool {
	c, err := p.Open(ctx, peer)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Put(c, 0)
	return false
}

// HasIdle reports whether there is an idle connection to a peer that has not expired.
func (p *Pool) HasIdle(peer Peer) bool {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[peer], func(c *Conn) bool { return now.Before(c.expires) })
}

// takeIdle removes and returns the most recently used idle connection, which is the least likely
// to have been closed by the peer. It returns nil if there is none.
func (p *Pool) takeIdle(peer Peer) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[peer] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool after a complete response. keepAlive is the peer's
// keep-alive timeout, or 0 if the peer did not specify one. A connection with unread bytes is
// closed.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = DefaultIdleTimeout
	}
	c.Reused = true
	c.expires = clock.Now().Add(keepAlive - idleMargin)
	err := c.SetDeadline(time.Time{})
	if err != nil || keepAlive <= idleMargin || c.Reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[Peer][]*Conn{}
	}
	if len(p.idle[c.peer]) >= maxIdlePerPeer {
		_ = c.Close()
		return
	}
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[peer] = kept
		if len(kept) == 0 {
			delete(p.idle, peer)
		}
	}
}

// isClean reports whether a connection is open and has no unread bytes: a late response must
// not be taken for the response to the next request.
func isClean(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	isClean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr := syscall.Read(int(fd), b[:])
		isClean = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && isClean
}
