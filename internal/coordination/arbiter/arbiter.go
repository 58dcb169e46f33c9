// Package arbiter decides where the long prompts of a service run while its engines are nearly full. One
// arbiter decides for all entries, so that they don't send to the same free engine at once, as they do
// when each decides by loads that are some tenths of a second old.
//
// Its state is rebuilt from the engines' reports within one polling round; correctness never depends
// on it.
package arbiter

import (
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/returns"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// grantExpiry is after what time a grant without a release is forgotten. Most runs are shorter.
	grantExpiry = 30 * time.Second
	// fixedRetryAfter is the Retry-After of refused requests for which no return time is computed.
	fixedRetryAfter = 2 * time.Second
	// callerPatience is the divisor for the longest time that a caller waits before it retries, as a
	// part of the time that it has left.
	callerPatience = 3
	// A caller retries within returnNumerator/returnDenominator of the objective, so that its answer can
	// still be in time. Later returns would take the room of requests that still can be.
	returnNumerator, returnDenominator = 3, 4
)

// Arbiter decides for all engines of some services. Use New to make one. It is not safe for concurrent
// use.
type Arbiter struct {
	// NewReturns makes the Returns of a service. New sets it; if it is nil, refused requests return after
	// a fixed time. It must not change after the first call of SetEngines.
	NewReturns func() Returns

	random   *rand.Rand
	services map[string]*service
	// open holds the grants without a release by request id, and queue the same grants and some that were
	// released, the oldest first.
	open     map[string]*grant
	queue    []*grant
	unlisted int64
}

// grant is a request that was placed.
type grant struct {
	id      string
	service *service
	engine  *engine
	tokens  int
	at      time.Time
	// closed says that the grant was released or has expired.
	closed bool
	answer Grant
}

// New returns an Arbiter without engines.
func New(seed uint64) *Arbiter {
	return &Arbiter{
		NewReturns: func() Returns { return returns.New() }, random: rand.New(rand.NewPCG(seed, 0xa4b1)), services: map[string]*service{}, open: map[string]*grant{},
	}
}

// SetEngines sets the engines of a service and the memory of each of them in tokens. The state of engines
// that remain is kept.
func (a *Arbiter) SetEngines(name string, engines []Engine, memory int) {
	s, ok := a.services[name]
	if !ok {
		s = newService(a.random)
		if a.NewReturns != nil {
			s.returns = a.NewReturns()
		}
		a.services[name] = s
	}
	s.setEngines(engines, memory)
}

// RecordLoads records the loads that engines reported, and when these arrived. Engines that are missing
// keep their loads.
func (a *Arbiter) RecordLoads(loads map[registry.Incarnation]balance.EngineLoad, at time.Time) {
	a.expire(at)
	for _, s := range a.services {
		s.recordLoads(loads, at)
	}
}

// Decide places or refuses a request. A request with the id of an open grant gets the same answer again.
func (a *Arbiter) Decide(r Request, now time.Time) Decision {
	a.expire(now)
	if g, ok := a.open[r.ID]; ok {
		return g.answer
	}
	s, ok := a.services[r.Service]
	if !ok {
		a.unlisted++
		return Unknown{}
	}
	s.forget(now)
	switch d := s.decide(r, now).(type) {
	case placement:
		return a.grant(s, r, d, now)
	case refused:
		return s.refuse(r, d.reason, now)
	case undecided:
	}
	s.stats.Unknown++
	return Unknown{}
}

func (a *Arbiter) grant(s *service, r Request, p placement, now time.Time) Grant {
	answer := Grant{Engine: p.engine.target, Free: p.engine.free(s.memory)}
	g := &grant{id: r.ID, service: s, engine: p.engine, tokens: r.Tokens, at: now, answer: answer}
	a.open[r.ID] = g
	a.queue = append(a.queue, g)
	s.recordGrant(r, g, p.reader)
	return answer
}

// Release records that the run of a granted request has ended, or never began. Unknown ids are ignored.
func (a *Arbiter) Release(id string, now time.Time) {
	a.expire(now)
	g, ok := a.open[id]
	if !ok {
		return
	}
	a.close(g)
	g.engine.release(g, now)
	g.service.recordRelease(g, now)
}

func (a *Arbiter) close(g *grant) {
	delete(a.open, g.id)
	g.closed = true
	g.service.stats.OpenGrants--
}

// expire forgets the grants that were not released in time.
func (a *Arbiter) expire(now time.Time) {
	for len(a.queue) > 0 && (a.queue[0].closed || now.Sub(a.queue[0].at) >= grantExpiry) {
		if g := a.queue[0]; !g.closed {
			a.close(g)
			g.engine.drop(g)
		}
		a.queue[0] = nil
		a.queue = a.queue[1:]
	}
}

// Snapshot returns the counters.
func (a *Arbiter) Snapshot() Stats {
	out := Stats{Services: map[string]ServiceStats{}, Unlisted: a.unlisted}
	for name, s := range a.services {
		out.Services[name] = s.snapshot()
	}
	return out
}
