// Package serving proxies requests to upstreams that registered themselves: it finds the
// route and the team, chooses an instance, sends the request there, forwards the response,
// and decides whether to send it again when an attempt fails.
//
// It is independent of the protocols on both sides, which are behind two interfaces: Sink for
// the caller and exchange.Upstreams for the instances. The decisions are made by the packages
// under coordination, which do no I/O; this package holds their state behind one mutex.
package serving

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/backlog"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/readspeed"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/streams"
)

const (
	// idleLoadTTL is how long the load of an unused instance is kept.
	idleLoadTTL = time.Minute
	// sweepInterval is how often the loads of unused instances are removed.
	sweepInterval = time.Second
	// deadlineGrace is how long after the deadline an instance may still send its own final response.
	// Callers get an outcome within 0.5 s after the route's timeout.
	deadlineGrace = 150 * time.Millisecond
)

// Sink writes the response to the caller of one request. Either exactly one of Refuse, Deny and
// Answer is called, or Begin, then Event any number of times, and finally End or Break. Begin and Event may
// be called from another goroutine than the others, but no two calls overlap. After an error, only Break is
// called.
type Sink interface {
	// Refuse sends the outcome of a request for which there is no response of an instance.
	Refuse(o outcome.Outcome)
	// Deny rejects a request that the configuration does not allow.
	Deny(d Denial)
	// Answer sends a complete response.
	Answer(a exchange.Whole) error
	// Begin sends the head of a stream, and Event one event. more is true when the next event has
	// already arrived.
	Begin(h exchange.Head) error
	Event(raw []byte, more bool) error
	// End ends a complete stream. Break ends an incomplete one so that the caller can detect it.
	End()
	Break()
}

// Denial is the reason why the configuration does not allow a request.
type Denial int

// The reasons for a denial: no route matches, the key belongs to no team and the route is not
// public, or the body exceeds the configured size.
const (
	NoRoute Denial = iota + 1
	NoTeam
	BodyTooLarge
)

// String returns the name of the denial that is written to logs.
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

// Server proxies requests to instances. Set the exported fields before calling Run and Serve.
type Server struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Upstreams sends requests to instances.
	Upstreams exchange.Upstreams
	// PathLostSince returns since when this entry has lost its direct path to the instances of a service; ok is false
	// if it has not. When nil, attempts wait until they fail.
	PathLostSince func(service string) (since time.Time, ok bool)
	// Allowance limits resends over all entries.
	Allowance retry.Allowance
	// OldWeightsGrace is how long after the announcement of newer weights requests may still begin on
	// older ones; 0 means without limit.
	OldWeightsGrace time.Duration
	// Cold limits the requests sent to cold instances.
	Cold ColdAllowance
	// Regions maps each failure domain to its region. A request whose data is restricted to regions is
	// sent nowhere else.
	Regions residency.Regions
	// Ends tracks which instances ended while they served which requests. The server does not call
	// its Run. When nil, the server uses a tracker of its own, which learns nothing from other entries.
	Ends *ends.Tracker
	// Streams holds where streams began. When nil, the server uses a tracker of its own, which other entries
	// do not share.
	Streams *streams.Tracker
	// Arbiter requests decisions from the leader about long prompts of tiered services. When nil, the server decides all by
	// itself.
	Arbiter Arbiter
	// Saves records the saves of prompt parts to stores. When nil, none is ordered.
	Saves Saves
	// BufferBytes limits what is held of the answers of tiered services that callers have not taken yet.
	// When 0, no answer is read ahead of its caller.
	BufferBytes int
	// Metrics receives the counts.
	Metrics *Metrics
	// Log receives one line per event.
	Log *log.Logger

	once sync.Once
	// stopping is nil until Stop is called, and ended is true once EndAll was called.
	stopping atomic.Pointer[stopPlan]
	ended    atomic.Bool
	// cut is true once the connections of callers are being closed because the process ends.
	cut atomic.Bool
	// startedAt is when the server was first used.
	startedAt time.Time
	// buffers is nil when BufferBytes is 0.
	buffers *buffers

	mu sync.Mutex
	// The fields below are guarded by mu.
	balancer *balance.Balancer
	windows  map[string]*retry.Window
	// backlogs holds the requests of each service that wait for room, and those that were refused for want of it.
	backlogs map[string]*backlog.Backlog
	inFlight inFlight
	// serving holds the admitted requests that have no outcome yet.
	serving map[*job]bool
	// answeredAt holds when an instance of each service last answered a request of this entry.
	answeredAt map[string]time.Time
	// reading holds what is known of the reading speed of the engines of each tiered service.
	reading map[string]*readspeed.Estimator
	// requiredLogged holds the required weight version of each model that was last logged.
	requiredLogged map[string]uint64
	learned        learnedWeights
	// failures collects failed requests at instances that responded. failurePending holds a token while
	// there are any.
	failures       *suspects.Collector
	failurePending chan struct{}
	// attemptBegan holds a token if an attempt has begun since Run last received it.
	attemptBegan chan struct{}
}

func (s *Server) init() {
	s.once.Do(func() {
		s.startedAt = clock.Now()
		s.failures = suspects.NewCollector()
		s.failurePending = make(chan struct{}, 1)
		s.attemptBegan = make(chan struct{}, 1)
		s.balancer = balance.New(rand.Uint64())
		s.windows = map[string]*retry.Window{}
		s.backlogs = map[string]*backlog.Backlog{}
		s.inFlight = inFlight{}
		s.serving = map[*job]bool{}
		s.answeredAt = map[string]time.Time{}
		s.reading = map[string]*readspeed.Estimator{}
		s.requiredLogged = map[string]uint64{}
		s.learned = learnedWeights{}
		if s.BufferBytes > 0 {
			s.buffers = newBuffers(s.BufferBytes, s.Metrics, s.Log)
		}
		if s.Streams == nil {
			s.Streams = &streams.Tracker{View: s.View, Metrics: streams.NewMetrics(), Log: s.Log}
		}
		if s.Ends == nil {
			s.Ends = &ends.Tracker{Entries: func() int { return s.View().Entries }, Metrics: ends.NewMetrics(), Log: s.Log}
		}
	})
}

// Run removes idle state, cancels attempts that can no longer get a response, and sends requests whose instances are
// silent to others as well, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.init()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	// stale fires when attempts in flight are to be checked; it is nil while there are none.
	var stale <-chan time.Time
	for {
		select {
		case <-s.attemptBegan:
			if stale == nil {
				stale = time.After(supersededInterval)
			}
		case <-stale:
			stale = nil
			if s.checkInFlight() > 0 {
				stale = time.After(supersededInterval)
			}
		case <-ticker.C:
			now := clock.Now()
			s.mu.Lock()
			s.balancer.Prune(now.Add(-idleLoadTTL))
			s.reportRequired(now)
			s.learned.prune(s.View(), now)
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// FailuresPending returns a channel that receives when requests have failed at instances that responded.
func (s *Server) FailuresPending() <-chan struct{} {
	s.init()
	return s.failurePending
}

// TakeFailures returns the failures at such instances since the last call.
func (s *Server) TakeFailures() []suspects.Failures {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures.Drain()
}

// recordFailure records that a request of a team failed at an instance. excessive is true if the instance sent more than
// a sound one does. mu must be held.
func (s *Server) recordFailure(in registry.Instance, team string, excessive bool) {
	s.failures.RecordFailure(in, team, excessive, len(s.View().Instances[in.Service]), clock.Now())
	select {
	case s.failurePending <- struct{}{}:
	default:
	}
}

// Ready reports whether the server should receive new requests: it has a configuration and is not stopping.
func (s *Server) Ready() bool {
	return !s.Stopping() && s.View().Config != nil
}

// Serve serves one request and returns when the response has been sent.
func (s *Server) Serve(ctx context.Context, r *exchange.Request, sink Sink) {
	s.init()
	j := &job{server: s, request: r, sink: sink, callerCtx: ctx}
	if !j.admit(ctx) {
		return
	}
	defer s.beginServing(j)()
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(j.deadline.Add(deadlineGrace)))
	defer cancel()
	j.stop = cancel
	j.run(ctx)
}

// window returns the resend window of one service. mu must be held.
func (s *Server) window(service string) *retry.Window {
	w, ok := s.windows[service]
	if !ok {
		w = &retry.Window{Allowance: s.Allowance}
		s.windows[service] = w
	}
	return w
}
