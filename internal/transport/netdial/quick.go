package netdial

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// firstTimeout bounds the first attempt to reach an address: round trips inside a region
	// take some milliseconds, and a machine that is not up yet drops what it gets.
	firstTimeout = 100 * time.Millisecond
	// timeoutFactor is how many times the last setting up of a connection may take before it
	// is given up.
	timeoutFactor = 4
)

// AdaptiveDialer opens connections to addresses that come and go. It gives up an attempt soon, so
// that a machine that starts is reached by the next attempt and not after a long timeout;
// the time doubles with each failure in a row, up to a bound, and follows what the address
// takes. Make one with NewAdaptiveDialer. It is safe for concurrent use.
type AdaptiveDialer struct {
	most time.Duration

	mu sync.Mutex
	// timeouts holds that of the next attempt at each address; it is guarded by mu.
	timeouts map[string]time.Duration
}

// NewAdaptiveDialer returns a dialer whose attempts take up to most.
func NewAdaptiveDialer(most time.Duration) *AdaptiveDialer {
	return &AdaptiveDialer{most: most, timeouts: map[string]time.Duration{}}
}

// DialContext makes one attempt.
func (q *AdaptiveDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := q.timeout(address)
	began := time.Now()
	c, err := Dialer(timeout).DialContext(ctx, network, address)
	next := 2 * timeout
	if err == nil {
		next = timeoutFactor * time.Since(began)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timeouts[address] = min(max(next, firstTimeout), q.most)
	return c, err
}

func (q *AdaptiveDialer) timeout(address string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	timeout, ok := q.timeouts[address]
	if !ok {
		return min(firstTimeout, q.most)
	}
	return timeout
}
