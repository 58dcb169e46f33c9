package detour_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/detour"
)

// patience is how long a condition may take to come true on a busy machine.
const patience = 20 * time.Second

// fakeDirect is a stub for an entry's own connections. It is safe for concurrent use.
type fakeDirect struct {
	// reply answers an attempt, and refuses a refusal probe.
	reply   func(ctx context.Context, a *exchange.Attempt) exchange.Reply
	refuses bool
	// probe, when set, replies to probes.
	probe func(ctx context.Context, in registry.Instance) error

	mu sync.Mutex
	// cut makes everything fail; the fields below are guarded by mu.
	cut      bool
	attempts []*exchange.Attempt
}

var errCut = &timeoutError{}

// timeoutError is a net.Error of an attempt that got no response in time.
type timeoutError struct{}

func (*timeoutError) Error() string   { return "i/o timeout" }
func (*timeoutError) Timeout() bool   { return true }
func (*timeoutError) Temporary() bool { return false }

func (f *fakeDirect) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *fakeDirect) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fakeDirect) sent() []*exchange.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts
}

func (f *fakeDirect) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	if f.isCut() {
		return exchange.Unreached{Err: errCut}
	}
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	f.mu.Unlock()
	return f.reply(ctx, a)
}

func (f *fakeDirect) Refuses(context.Context, registry.Instance) bool { return f.isCut() || f.refuses }

func (f *fakeDirect) Probe(ctx context.Context, in registry.Instance) error {
	if f.probe != nil {
		return f.probe(ctx, in)
	}
	if f.isCut() {
		return errCut
	}
	return nil
}

func (f *fakeDirect) HasIdle(registry.Instance) bool { return false }

// answered replies to every attempt with a whole answer.
func answered(context.Context, *exchange.Attempt) exchange.Reply {
	return exchange.Whole{Head: exchange.Head{Status: 200, Header: http.Header{}}, Body: []byte("answer")}
}

// entry is an entry with its peers.
type entry struct {
	*detour.Upstreams
	direct    *fakeDirect
	forwarder *detour.Forwarder
	peers     []coordination.Peer
	// gone is true once the service has no instances any more.
	gone atomic.Bool
	// address is where others reach it.
	address string
	server  *httptest.Server
}

var instances = []registry.Instance{
	{ID: "a", Start: 1, Service: "svc", Address: "10.0.0.1:1", FailureDomain: "d1"},
	{ID: "b", Start: 1, Service: "svc", Address: "10.0.0.2:1", FailureDomain: "d2"},
	{ID: "c", Start: 1, Service: "svc", Address: "10.0.0.3:1", FailureDomain: "d3"},
}

// newEntry starts an entry that knows the given others as its peers.
func newEntry(t *testing.T, reply func(context.Context, *exchange.Attempt) exchange.Reply, others ...*entry) *entry {
	t.Helper()
	quiet := &log.Logger{Level: log.PanicLevel}
	e := &entry{direct: &fakeDirect{reply: reply}}
	for i, other := range others {
		e.peers = append(e.peers, coordination.Peer{Address: other.address, FailureDomain: []string{"d1", "d2"}[i%2]})
	}
	e.Upstreams = &detour.Upstreams{
		Name: "e", FailureDomain: "d1", Direct: e.direct, Metrics: detour.NewMetrics(), Log: quiet,
		Instances: func(string) []registry.Instance {
			if e.gone.Load() {
				return nil
			}
			return instances
		},
		Peers: func() []coordination.Peer { return e.peers },
	}
	e.forwarder = &detour.Forwarder{
		Upstreams: e.Upstreams, Send: e.SendDirect, Stopping: func() bool { return false }, Metrics: e.Metrics, Log: quiet,
		Knows: func(in registry.Instance) bool { return in.ID != "unknown" },
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+detour.Path, e.forwarder)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.server = server
	e.address = server.Listener.Addr().String()
	go e.Run(t.Context())
	return e
}

// losePath cuts an entry off and waits until it knows.
func (e *entry) losePath(t *testing.T) {
	t.Helper()
	e.direct.setCut(true)
	await.Until(t, patience, "the entry knows that its path is lost", func() bool {
		for _, in := range instances {
			e.SendDirect(t.Context(), newAttempt("lost", in))
		}
		return e.State("svc") == coordination.Lost
	})
}

func newAttempt(id string, in registry.Instance) *exchange.Attempt {
	return &exchange.Attempt{
		Request:  &exchange.Request{ID: id, Method: "POST", Target: "/x?y=1", Host: "h", Header: http.Header{"X-Own": {"1", "2"}}, Body: []byte("body")},
		Instance: in, Deadline: clock.Now().Add(10 * time.Second),
	}
}

// listEvents are the events of a list; the last one is followed by end.
type listEvents struct {
	events []exchange.Event
	end    error
	closed chan struct{}
	once   sync.Once
	// wait, when set, is received from before each event but the first.
	wait chan struct{}
	ctx  context.Context
	next int
}

func (l *listEvents) Next() (exchange.Event, bool, error) {
	if l.wait != nil && l.next > 0 {
		select {
		case <-l.wait:
		case <-l.ctx.Done():
			return exchange.Event{}, false, l.ctx.Err()
		}
	}
	if l.next == len(l.events) {
		if l.end != nil {
			return exchange.Event{}, false, l.end
		}
		return exchange.Event{}, false, io.EOF
	}
	l.next++
	return l.events[l.next-1], false, nil
}

func (l *listEvents) Close() { l.once.Do(func() { close(l.closed) }) }
