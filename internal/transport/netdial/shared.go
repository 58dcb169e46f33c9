package netdial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// settleTime is for how long after a connection was made no other attempt begins: it takes the
	// client a moment until it gives the connection to the calls that wait.
	settleTime = 100 * time.Millisecond
	// sharedWait is for how long an attempt that another one has made needless waits for its caller
	// to be served by that connection, before it ends without one.
	sharedWait = 500 * time.Millisecond
)

// errNotServed ends an attempt whose caller did not get the connection that another one has made.
var errNotServed = errors.New("netdial: a connection was made meanwhile, and did not serve")

// SharedDialer makes one attempt at a time to reach an address. It is for clients whose connections carry
// many calls at once, as those of HTTP/2: with no connection, they begin an attempt for each call, so
// that after the loss of a process all calls of all its callers connect to the next. Those who wait
// meanwhile share a failure, and are served by the connection otherwise. Make one with NewSharedDialer. It
// is safe for concurrent use.
type SharedDialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// attempts holds the attempt under way at each address; it is guarded by mu.
	attempts map[string]*attempt
}

// attempt is one that others wait for.
type attempt struct {
	done chan struct{}
	// err and abandoned are set before done is closed; abandoned says that the one who made it went
	// away, which tells nothing of the address.
	err       error
	abandoned bool
}

// NewSharedDialer returns a dialer whose attempts are made by dial.
func NewSharedDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) *SharedDialer {
	return &SharedDialer{dial: dial, attempts: map[string]*attempt{}}
}

// DialContext makes an attempt, or waits for the one that is under way.
func (s *SharedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		a, mine := s.join(address)
		if mine {
			return s.connect(ctx, a, network, address)
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		switch {
		case a.abandoned:
			continue
		case a.err != nil:
			return nil, a.err
		}
		select {
		case <-time.After(sharedWait):
			return nil, errNotServed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// join returns the attempt that is under way at an address, or begins one.
func (s *SharedDialer) join(address string) (a *attempt, mine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[address]
	if !ok {
		a = &attempt{done: make(chan struct{})}
		s.attempts[address] = a
	}
	return a, !ok
}

// connect makes the attempt that was begun.
func (s *SharedDialer) connect(ctx context.Context, a *attempt, network, address string) (net.Conn, error) {
	c, err := s.dial(ctx, network, address)
	a.err = err
	a.abandoned = err != nil && ctx.Err() != nil
	if err != nil {
		s.end(address)
	} else {
		time.AfterFunc(settleTime, func() { s.end(address) })
	}
	close(a.done)
	return c, err
}

// end lets the next attempt at an address begin.
func (s *SharedDialer) end(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, address)
}
