package netdial

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// minTimeout is the timeout of the first attempt at an address, and the lower bound of later
	// ones. Round trips inside a region take some milliseconds, and a machine that is not up yet
	// drops packets, so a longer first attempt would only delay the next one.
	minTimeout = 100 * time.Millisecond
	// timeoutFactor times the duration of the last successful attempt is the timeout of the
	// next one.
	timeoutFactor = 4
)

// AdaptiveDialer opens connections to addresses whose machines come and go. It starts with a short
// timeout, so that a machine that is starting is reached by the next attempt and not after a long
// timeout. The timeout doubles with each consecutive failure, up to an upper bound; after a
// success it is a multiple of the time that the connection took. Create one with
// NewAdaptiveDialer. It is safe for concurrent use.
type AdaptiveDialer struct {
	maxTimeout time.Duration

	mu sync.Mutex
	// timeouts holds the timeout of the next attempt at each address; it is guarded by mu.
	timeouts map[string]time.Duration
}

// NewAdaptiveDialer returns a dialer whose attempts time out after at most maxTimeout.
func NewAdaptiveDialer(maxTimeout time.Duration) *AdaptiveDialer {
	return &AdaptiveDialer{maxTimeout: maxTimeout, timeouts: map[string]time.Duration{}}
}

// DialContext makes one attempt to connect.
func (q *AdaptiveDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := q.timeout(address)
	began := time.Now()
	c, err := Dialer(timeout).DialContext(ctx, network, address)
	nextTimeout := 2 * timeout
	if err == nil {
		nextTimeout = timeoutFactor * time.Since(began)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timeouts[address] = min(max(nextTimeout, minTimeout), q.maxTimeout)
	return c, err
}

func (q *AdaptiveDialer) timeout(address string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	timeout, ok := q.timeouts[address]
	if !ok {
		return min(minTimeout, q.maxTimeout)
	}
	return timeout
}
