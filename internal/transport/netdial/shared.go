package netdial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// redialDelay is for how long after a successful attempt no other attempt begins: the client
	// takes a moment to hand the connection to the waiting calls.
	redialDelay = 100 * time.Millisecond
	// handoverTimeout is how long a caller that waited for another caller's successful attempt is held
	// before DialContext fails: meanwhile the client should serve its call on that connection.
	handoverTimeout = 500 * time.Millisecond
)

// errNotHandedOver is returned if the client did not use another caller's connection within handoverTimeout.
var errNotHandedOver = errors.New("netdial: another caller connected, but its connection did not serve this call")

// SharedDialer makes one connection attempt at a time to each address. It is for clients that multiplex
// many calls on a connection, as with HTTP/2. Without a connection, such a client starts an attempt
// for each call, so that after the loss of a process all calls of all its clients dial the next one.
// Callers that wait for an attempt share its failure; if it succeeds, the client serves their calls on
// the new connection. Create one with NewSharedDialer. It is safe for concurrent use.
type SharedDialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// attempts holds the attempt in progress at each address; it is guarded by mu.
	attempts map[string]*attempt
}

// attempt is a connection attempt that several callers may wait for.
type attempt struct {
	done chan struct{}
	// err and canceled are set before done is closed. canceled says that the context of the caller
	// that dialed ended, so that err says nothing about the address.
	err      error
	canceled bool
}

// NewSharedDialer returns a dialer that calls dial for each attempt.
func NewSharedDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) *SharedDialer {
	return &SharedDialer{dial: dial, attempts: map[string]*attempt{}}
}

// DialContext makes an attempt, or waits for the one in progress.
func (s *SharedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		a, started := s.join(address)
		if started {
			return s.connect(ctx, a, network, address)
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		switch {
		case a.canceled:
			continue
		case a.err != nil:
			return nil, a.err
		}
		select {
		case <-time.After(handoverTimeout):
			return nil, errNotHandedOver
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// join returns the attempt in progress at an address, or registers a new one; started says which.
func (s *SharedDialer) join(address string) (a *attempt, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[address]
	if !ok {
		a = &attempt{done: make(chan struct{})}
		s.attempts[address] = a
	}
	return a, !ok
}

// connect dials for a registered attempt.
func (s *SharedDialer) connect(ctx context.Context, a *attempt, network, address string) (net.Conn, error) {
	c, err := s.dial(ctx, network, address)
	a.err = err
	a.canceled = err != nil && ctx.Err() != nil
	if err != nil {
		s.forget(address)
	} else {
		time.AfterFunc(redialDelay, func() { s.forget(address) })
	}
	close(a.done)
	return c, err
}

// forget removes the attempt at an address, so that the next caller begins a new one.
func (s *SharedDialer) forget(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, address)
}
