// Package serving takes requests to upstreams that registered themselves: it finds the
// route and the team, chooses an instance, sends the request there, passes the answer on,
// and decides what follows when an attempt fails.
//
// How a request arrives, and how an upstream is spoken to, are ports on either side: a
// Sink for the caller and exchange.Upstreams. The decisions are made by the pure packages
// below coordination; this package holds their state behind one mutex.
package serving

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// forgetAfter is how long the load of an instance is remembered that is not used.
	forgetAfter = time.Minute
	// sweepInterval is how often what is idle is forgotten.
	sweepInterval = time.Second
	// lateAnswer is how long after the deadline an instance's own last word is waited for;
	// callers are given an end within half a second after a route's timeout.
	lateAnswer = 150 * time.Millisecond
)

// Sink is the caller's side of one request. Exactly one of Refuse, Deny and Answer is
// called, or Begin and then any number of Event and at last End or Break.
type Sink interface {
	// Refuse gives the final outcome of a request that has no answer of an instance.
	Refuse(o outcome.Outcome)
	// Deny refuses a request that the configuration does not allow.
	Deny(d Denial)
	// Answer passes on a whole answer.
	Answer(a exchange.Whole) error
	// Begin passes on the head of a stream, and Event one event.
	Begin(h exchange.Head) error
	Event(raw []byte, more bool) error
	// End ends a complete stream; Break ends one that is not, so that the caller sees it.
	End()
	Break()
}

// Denial says why the configuration does not allow a request.
type Denial int

// The denials.
const (
	NoRoute Denial = iota + 1
	NoTeam
	BodyTooLarge
)

// String returns the denial's name in logs.
func (d Denial) String() string {
	switch d {
	case NoRoute:
		return "no_route"
	case NoTeam:
		return "no_team"
	case BodyTooLarge:
		return "body_too_large"
	}
	return "unknown"
}

// Server serves requests. Set the exported fields before Run and Serve.
type Server struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Upstreams speaks to instances.
	Upstreams exchange.Upstreams
	// Allowance bounds repeated sends over all entries.
	Allowance retry.Allowance
	// OldWeightsGrace is how long after newer weights are named requests may begin on older ones; 0
	// is without an end.
	OldWeightsGrace time.Duration
	// Cold bounds what cold instances are sent.
	Cold ColdAllowance
	// Ends knows which instances ended under which requests; somebody else runs it. When nil, this
	// server knows by itself what it sees itself.
	Ends *ends.Tracker
	// Metrics counts what is served.
	Metrics *Metrics
	// Log receives one line for each event.
	Log *log.Logger

	once     sync.Once
	stopping atomic.Bool
	// began is when the server began to serve.
	began time.Time

	mu sync.Mutex
	// The fields below are guarded by mu.
	board   *balance.Balancer
	windows map[string]*retry.Window
	sends   sends
	// required holds the version of each model that was last told to be required.
	required map[string]uint64
	// failures is what this entry saw of instances that answer and fail; failed holds a token while
	// there is any.
	failures *suspects.Collector
	failed   chan struct{}
}

func (s *Server) init() {
	s.once.Do(func() {
		s.began = clock.Now()
		s.failures = suspects.NewCollector()
		s.failed = make(chan struct{}, 1)
		s.board = balance.New(rand.Uint64())
		s.windows = map[string]*retry.Window{}
		s.sends = sends{}
		s.required = map[string]uint64{}
		if s.Ends == nil {
			s.Ends = &ends.Tracker{Entries: func() int { return s.View().Entries }, Metrics: ends.NewMetrics(), Log: s.Log}
		}
	})
}

// Run forgets what is not used any more, and ends what can have no answer, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.init()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	starts := time.NewTicker(supersededInterval)
	defer starts.Stop()
	for {
		select {
		case <-starts.C:
			s.mu.Lock()
			s.endSuperseded()
			s.mu.Unlock()
		case <-ticker.C:
			now := clock.Now()
			s.mu.Lock()
			s.board.Prune(now.Add(-forgetAfter))
			s.tellRequired(now)
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// FailuresPending is signalled when requests have failed at instances that answered.
func (s *Server) FailuresPending() <-chan struct{} {
	s.init()
	return s.failed
}

// TakeFailures returns what was seen of such instances since the last call.
func (s *Server) TakeFailures() []suspects.Failures {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures.Drain()
}

// noteFailed notes that a request of a team failed at an instance; mu must be held.
func (s *Server) noteFailed(in registry.Instance, team string) {
	s.failures.RecordFailure(in, team, len(s.View().Instances[in.Service]), clock.Now())
	select {
	case s.failed <- struct{}{}:
	default:
	}
}

// Ready reports whether new callers are welcome.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.View().Config != nil
}

// Stopping reports whether the process has been told to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Stop makes the server not ready. Requests that still come are served.
func (s *Server) Stop() { s.stopping.Store(true) }

// Serve serves one request to its end.
func (s *Server) Serve(ctx context.Context, r *exchange.Request, sink Sink) {
	s.init()
	j := &job{server: s, request: r, sink: sink}
	if !j.admit(ctx) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.deadline.Add(lateAnswer)))
	defer cancel()
	j.run(ctx)
}

// window returns the counts of one service; mu must be held.
func (s *Server) window(service string) *retry.Window {
	w, ok := s.windows[service]
	if !ok {
		w = &retry.Window{Allowance: s.Allowance}
		s.windows[service] = w
	}
	return w
}
