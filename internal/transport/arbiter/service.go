// Package arbiter carries requests for decisions about long prompts from entries to the control instance
// that leads the control log, and the decisions back. The decisions themselves are made by package
// coordination/arbiter.
//
// Nothing depends on an answer: an entry that gets none in time decides by itself.
package arbiter

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// maxRefusalLines is how many refusals are logged per second: a burst on a deployment of 60 engines had
// over a hundred a second.
const maxRefusalLines = 20

// Service decides for the entries while this control instance leads. Its state begins anew with each term.
// Set the exported fields before the first call. It is safe for concurrent use.
type Service struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this control instance leads in it.
	Leading func() (term uint64, ok bool)
	// Log receives one line per event.
	Log *log.Logger

	mu sync.Mutex
	// The fields below are guarded by mu.

	// arbiter decides in term; it is nil unless this control instance led at the last call.
	arbiter *arbiter.Arbiter
	term    uint64
	// view is the view from which the arbiter has its engines, and services holds the services that it has
	// engines of.
	view     *fleet.View
	services map[string]bool
	// unresponsive holds the engines of the view that did not respond to the last poll.
	unresponsive map[registry.Incarnation]bool
	// loadsAt is when the newest load arrived, or zero.
	loadsAt time.Time
	// lines limits the lines about refusals, and skippedLines counts those left out since the last one.
	lines        *rate.Limiter
	skippedLines int
}

// Decide decides about one attempt.
func (s *Service) Decide(ctx context.Context, in *wire.DecideRequest) (*wire.DecideResponse, error) {
	r, ok := wire.ToArbiterRequest(in)
	if !ok {
		return nil, twirp.InvalidArgumentError("id", "a request needs an id and a digest")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead() {
		return nil, notLeading()
	}
	if ctx.Err() != nil {
		// The entry has canceled the call, and a grant would be held until it expires.
		return nil, twirp.NewError(twirp.Canceled, "the entry does not wait any more")
	}
	now := clock.Now()
	decision := s.arbiter.Decide(r, now)
	if refusal, ok := decision.(arbiter.Refusal); ok {
		s.logRefusal(r, refusal, now)
	}
	out := wire.FromDecision(decision)
	if !s.loadsAt.IsZero() {
		out.LoadsAgeMilliseconds = uint32(now.Sub(s.loadsAt).Milliseconds())
	}
	return out, nil
}

// Release ends grants.
func (s *Service) Release(_ context.Context, in *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead() {
		return nil, notLeading()
	}
	now := clock.Now()
	for _, id := range in.Ids {
		s.arbiter.Release(id, now)
	}
	return &wire.ReleaseResponse{}, nil
}

// RecordLoad records the load that an engine reported, and when the report arrived.
func (s *Service) RecordLoad(of registry.Incarnation, load balance.EngineLoad, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead() {
		return
	}
	if s.unresponsive[of] {
		delete(s.unresponsive, of)
		s.setEngines()
	}
	s.arbiter.RecordLoads(map[registry.Incarnation]balance.EngineLoad{of: load}, at)
	s.loadsAt = at
}

// RecordUnresponsive records that an engine did not respond. The arbiter would use its last load for longer.
func (s *Service) RecordUnresponsive(of registry.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead() || s.unresponsive[of] {
		return
	}
	s.unresponsive[of] = true
	s.setEngines()
}

func notLeading() error {
	return twirp.NewError(twirp.Unavailable, "this replica does not lead")
}

// lead prepares the arbiter for a call, with the engines of the current view. It reports false, and drops the
// arbiter, if this control instance does not lead; mu must be held.
func (s *Service) lead() bool {
	term, leading := s.Leading()
	if !leading {
		s.arbiter = nil
		return false
	}
	if s.arbiter == nil || s.term != term {
		s.arbiter, s.term = arbiter.New(rand.Uint64()), term
		s.view, s.services, s.unresponsive, s.loadsAt = nil, map[string]bool{}, map[registry.Incarnation]bool{}, time.Time{}
		s.lines = rate.NewLimiter(maxRefusalLines, maxRefusalLines)
	}
	if view := s.View(); view != s.view {
		s.view = view
		s.setEngines()
	}
	return true
}

// setEngines sets the engines of all tiered services by the view; mu must be held.
func (s *Service) setEngines() {
	view := s.view
	if view.Config == nil {
		return
	}
	for name, service := range view.Config.Services {
		if view.Config.Tiered(name) {
			s.services[name] = true
			s.arbiter.SetEngines(name, s.enginesOf(name), service.Engine.MemoryTokens)
		}
	}
	for name := range s.services {
		if !view.Config.Tiered(name) {
			delete(s.services, name)
			s.arbiter.SetEngines(name, nil, 0)
		}
	}
	s.forgetUnresponsive()
}

// forgetUnresponsive forgets the unresponsive engines that are not in the view any more; mu must be held.
func (s *Service) forgetUnresponsive() {
	if len(s.unresponsive) == 0 {
		return
	}
	gone := maps.Clone(s.unresponsive)
	for name := range s.view.Config.Services {
		for _, in := range s.view.Instances[name] {
			delete(gone, in.Incarnation())
		}
	}
	maps.DeleteFunc(s.unresponsive, func(of registry.Incarnation, _ bool) bool { return gone[of] })
}

// enginesOf returns the engines of a service that may get requests. If it returns none, entries decide by
// themselves which of the others to use. Unresponsive engines are left out unless they are more than half:
// then they count as engines without a load, as entries may reach them although this control instance
// cannot. mu must be held.
func (s *Service) enginesOf(service string) []arbiter.Engine {
	var responsive, all []arbiter.Engine
	for _, in := range s.view.Instances[service] {
		if !mayGetRequests(s.view, in) {
			continue
		}
		engine := arbiter.Engine{Incarnation: in.Incarnation(), FailureDomain: in.FailureDomain}
		all = append(all, engine)
		if !s.unresponsive[engine.Incarnation] {
			responsive = append(responsive, engine)
		}
	}
	if 2*len(responsive) < len(all) {
		return all
	}
	return responsive
}

// mayGetRequests reports whether requests may be placed at an instance, by the state that all entries receive.
func mayGetRequests(view *fleet.View, in registry.Instance) bool {
	_, evacuated := view.Evacuated[in.FailureDomain]
	_, unreachable := view.Unreachable[in.FailureDomain]
	of := in.Incarnation()
	return !evacuated && !unreachable && !in.Leaving && !view.Busy[of] && !view.Failing[of]
}

// logRefusal logs a refusal, unless there were too many in the last second; mu must be held.
func (s *Service) logRefusal(r arbiter.Request, refusal arbiter.Refusal, now time.Time) {
	if !s.lines.AllowN(now, 1) {
		s.skippedLines++
		return
	}
	s.Log.Info().Str("event", "arbiter_refused").Str("id", r.ID).Str("digest", r.Digest.String()).Str("service", r.Service).Str("team", r.Team).
		Int("urgency", r.Urgency).Int("tokens", r.Tokens).Int("excluded", len(r.Excluded)).Str("reason", refusal.Reason.String()).
		Dur("retry_after_ms", refusal.RetryAfter).Dur("left_ms", r.Remaining).Dur("loads_age_ms", now.Sub(s.loadsAt)).Int("skipped", s.skippedLines).Msg("")
	s.skippedLines = 0
}
