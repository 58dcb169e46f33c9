package arbiter_test

import (
	"fmt"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	service = "m"
	// memory is the memory of each engine; a prompt of usual size takes a sixth of it, so that five have
	// room.
	memory = 60_000
	tokens = 10_000
	// headroom is the part of the memory that long prompts must not take.
	headroom = memory / 12
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// fixture is an arbiter with some engines.
type fixture struct {
	*arbiter.Arbiter
	engines []arbiter.Engine
	next    int
}

func newFixture(engines int, load balance.EngineLoad) *fixture {
	f := &fixture{Arbiter: arbiter.New(1)}
	// Refused requests return after a fixed time, except where returns are tested.
	f.NewReturns = nil
	f.set(engines)
	f.report(load, start)
	return f
}

// set sets the number of engines.
func (f *fixture) set(engines int) {
	f.engines = nil
	for i := range engines {
		f.engines = append(f.engines, arbiter.Engine{Incarnation: registry.Incarnation{ID: fmt.Sprint("e", i)}})
	}
	f.SetEngines(service, f.engines, memory)
}

// report gives all engines the same load.
func (f *fixture) report(load balance.EngineLoad, now time.Time) {
	loads := map[registry.Incarnation]balance.EngineLoad{}
	for _, e := range f.engines {
		loads[e.Incarnation] = load
	}
	f.RecordLoads(loads, now)
}

// request returns a request of usual size of one team, with an id and a digest of its own.
func (f *fixture) request() arbiter.Request {
	f.next++
	return arbiter.Request{
		ID: fmt.Sprint("r", f.next), Digest: quarantine.Digest{byte(f.next >> 8), byte(f.next)}, Service: service, Tokens: tokens, Team: "a",
		Objective: time.Second, Remaining: 10 * time.Second,
	}
}

func (f *fixture) decide(now time.Time, change func(r *arbiter.Request)) arbiter.Decision {
	r := f.request()
	change(&r)
	return f.Decide(r, now)
}

func as(r *arbiter.Request)                   { _ = r }
func key(k uint64) func(*arbiter.Request)     { return func(r *arbiter.Request) { r.Key = k } }
func urgency(u int) func(*arbiter.Request)    { return func(r *arbiter.Request) { r.Urgency = u } }
func team(name string) func(*arbiter.Request) { return func(r *arbiter.Request) { r.Team = name } }

func granted(d arbiter.Decision) bool {
	_, ok := d.(arbiter.Grant)
	return ok
}

// fill grants prompts until one is refused, and returns the ids of the grants.
func (f *fixture) fill(now time.Time, change func(r *arbiter.Request)) (ids []string) {
	for {
		r := f.request()
		change(&r)
		if !granted(f.Decide(r, now)) {
			return ids
		}
		ids = append(ids, r.ID)
	}
}

func refusal(reason arbiter.Reason) arbiter.Decision {
	return arbiter.Refusal{RetryAfter: 2 * time.Second, Reason: reason}
}
