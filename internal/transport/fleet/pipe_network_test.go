package fleet_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// pipeNetwork connects followers and sources within a process. Unlike a connection of the kernel, one of
// its connections lets the time of a synctest bubble advance while it is waited for.
type pipeNetwork struct {
	mu sync.Mutex
	// listeners is guarded by mu.
	listeners map[string]*pipeListener
}

// testOnPipes runs a test in a synctest bubble, whose clock is simulated: a transfer takes the time of the simulated
// links, however busy the machine is, and the processing takes none.
func testOnPipes(t *testing.T, test func(*testing.T, *pipeNetwork)) {
	t.Helper()
	clocktest.Bubble(t, func(t *testing.T) { test(t, &pipeNetwork{}) })
}

// startControls starts n control instances.
func (n *pipeNetwork) startControls(t *testing.T, count int) []*controlServer {
	t.Helper()
	var controls []*controlServer
	for range count {
		controls = append(controls, newControlAt(t, n.listen()))
	}
	return controls
}

// startEntries starts entries of some control instances, each with a slow link of its own.
func (n *pipeNetwork) startEntries(t *testing.T, count int, controls []*controlServer) []*fleet.Follower {
	t.Helper()
	var followers []*fleet.Follower
	for i := range count {
		f := newEntry(i, addressesOf(controls))
		f.SetDial(n.slowDial(t.Context()))
		runFollower(t, f)
		followers = append(followers, f)
	}
	return followers
}

// processorTime returns the processor time that this process has taken so far.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// stopwatch measures time on the links and processor time.
type stopwatch struct {
	began     time.Time
	processed time.Duration
}

func startStopwatch(t *testing.T) stopwatch {
	t.Helper()
	return stopwatch{time.Now(), processorTime(t)}
}

// await fails unless all followers get into a state within onLinks since the start, and that time and the processing
// together take at most limit. Entries share the processors of a machine as that of docs/CAPACITY.md.
func (w stopwatch) await(t *testing.T, onLinks, limit time.Duration, what string, followers []*fleet.Follower, ok func(*fleet.Follower) bool) {
	t.Helper()
	const processors = 8
	await.Until(t, onLinks-time.Since(w.began), what, func() bool {
		return !slices.ContainsFunc(followers, func(f *fleet.Follower) bool { return !ok(f) })
	})
	transfer, processing := time.Since(w.began), (processorTime(t)-w.processed)/time.Duration(min(len(followers), processors))
	t.Logf("%s after %s on the links and %s of processing", what, transfer, processing)
	if transfer+processing > limit {
		t.Errorf("%s after %s, must be within %s", what, transfer+processing, limit)
	}
}

// awaitTransfer fails unless all followers get into a state in time after the start, for a transfer of some bytes to each.
func (w stopwatch) awaitTransfer(t *testing.T, bytes int, what string, followers []*fleet.Follower, ok func(*fleet.Follower) bool) {
	t.Helper()
	w.await(t, linkTimeout(bytes), transferTimeout(bytes), what, followers, ok)
}

// awaitInForce fails unless a version comes in force at all followers in time after the start.
func (w stopwatch) awaitInForce(t *testing.T, followers []*fleet.Follower, version uint64) {
	t.Helper()
	w.await(t, inForceOnLinksWithin, inForceWithin, fmt.Sprintf("version %d is in force", version), followers, func(f *fleet.Follower) bool { return isInForce(f, version) })
}

// pipeAddress is the address of a pipeListener.
type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }

// pipeListener accepts the connections of a pipeNetwork to one address.
type pipeListener struct {
	address   pipeAddress
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l.address }

// listen returns a listener with an address of its own.
func (n *pipeNetwork) listen() *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*pipeListener{}
	}
	l := &pipeListener{
		address: pipeAddress(fmt.Sprintf("control-%d:1", len(n.listeners))), accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[l.address.String()] = l
	return l
}

func (n *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("nobody listens at %s", address)
	}
	dialed, accepted := net.Pipe()
	select {
	case l.accepted <- accepted:
		return dialed, nil
	case <-l.closed:
		return nil, errors.Errorf("%s is closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slowDial returns a function that opens connections over one link of linkRate towards the caller, which all of
// them share, until ctx ends.
func (n *pipeNetwork) slowDial(ctx context.Context) func(context.Context, string, string) (net.Conn, error) {
	limit := rate.NewLimiter(linkRate, linkBurst)
	return func(dialCtx context.Context, _, address string) (net.Conn, error) {
		source, err := n.dial(dialCtx, address)
		if err != nil {
			return nil, err
		}
		dialed, caller := net.Pipe()
		go forward(ctx, caller, source, limit)
		return dialed, nil
	}
}
