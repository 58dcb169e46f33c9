package serving

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// shortest is the least time that makes an attempt worth sending.
	shortest = 5 * time.Millisecond
	// roomAfter is when a caller may come back whose long prompt finds no room: those that
	// take it now run for about 2 s, so half of it has changed hands by then. In a burst 3.0 in a
	// hundred requests were refused for good with 0.3 s, and 2.3 with 1.5 to 3 s.
	roomAfter = 2 * time.Second
	// evacuatedAfter is when a caller may come back whose service has instances in evacuated
	// failure domains only: nobody knows when that ends.
	evacuatedAfter = 2 * time.Second
)

// ColdAllowance says how far above what a cold instance bears it may be sent in one second by all entries
// together. Its zero value declares no bound.
type ColdAllowance struct {
	// Overage is a factor and Slack a number of requests.
	Overage, Slack float64
}

// bound returns what a cold instance bears that bears so many requests a second.
func (c ColdAllowance) bound(rate float64) balance.Capacity {
	out := balance.Capacity{Rate: rate}
	if c.Overage > 0 {
		out.Max = rate*c.Overage + c.Slack
	}
	return out
}

// known is how much memory was free, by what engines told age before.
type known struct {
	tokens int
	age    time.Duration
	ok     bool
}

// place chooses the instance of the next attempt; it returns the request's end when there is
// none for it.
func (j *job) place() outcome.Outcome {
	if clock.Until(j.deadline) < shortest {
		return j.tries.GiveUp()
	}
	if o := j.permit(); o != nil {
		return o
	}
	o := j.choose()
	if o != nil {
		j.done()
	}
	return o
}

// choose picks the instance of the next attempt.
func (j *job) choose() outcome.Outcome {
	view := j.server.View()
	wish := j.wish(view)
	now := clock.Now()
	instances := j.usable(view, now)
	if len(instances) == 0 && len(view.Instances[j.service]) > 0 {
		return j.noWeights()
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	board := j.server.board
	// Whoever goes on with a stream has a part of it already, and would lose that.
	if j.number == 0 && !j.request.Resumes {
		room, ok := board.Admit(instances, wish, now)
		if !ok {
			j.room = known{tokens: room, age: now.Sub(view.LoadsAt), ok: true}
			return outcome.NotRun{RetryAfter: roomAfter, Reason: outcome.ReasonNoRoom}
		}
	}
	in, ok := board.Pick(instances, wish, now)
	if !ok && evacuated(instances, view) {
		return j.tries.Reject(evacuatedAfter, outcome.ReasonEvacuated)
	}
	if !ok {
		return j.noInstance(instances, wish, now)
	}
	j.instance = in
	j.tried = append(j.tried, in.Incarnation())
	j.number++
	j.condition = j.knownCondition(now)
	j.room = known{}
	if free, ok := board.Free(in.Incarnation(), wish, now); ok {
		j.room = known{tokens: free, age: now.Sub(view.LoadsAt), ok: true}
	}
	board.Begin(in, now)
	j.server.Metrics.begin(j.service, j.condition)
	j.server.failures.RecordRequest(j.service, j.team.Name, now)
	if wish.Tokens > 0 {
		board.Reserve(in.Incarnation(), wish, now)
	}
	return nil
}

// noInstance is the request's end when none of some instances takes it now; the server's mu must be held.
func (j *job) noInstance(instances []registry.Instance, wish balance.PickInfo, now time.Time) outcome.Outcome {
	switch held := j.server.board.Backpressure(instances, wish, now).(type) {
	case balance.Resting:
		return j.tries.Reject(held.Remaining, outcome.ReasonResting)
	case balance.Limited:
		return j.tries.Reject(held.Remaining, outcome.ReasonLimited)
	}
	return j.tries.GiveUp()
}

// evacuated reports whether there are instances, all of them in failure domains that are evacuated.
func evacuated(instances []registry.Instance, view *fleet.View) bool {
	used := func(in registry.Instance) bool {
		_, is := view.Evacuated[in.FailureDomain]
		return !is
	}
	return len(instances) > 0 && !slices.ContainsFunc(instances, used)
}

// wish says what the next attempt asks for.
func (j *job) wish(view *fleet.View) balance.PickInfo {
	service := view.Config.Services[j.service]
	wish := balance.PickInfo{
		Tried: j.tried, Busy: view.Busy, Failing: view.Failing, Retryable: j.route.Repeats(), Entries: view.Entries, Rank: view.Rank,
		Cold: j.server.Cold.bound(service.ColdRate), ColdFor: service.ColdFor, Evacuated: view.Evacuated, Returned: view.Returned,
	}
	p := j.request.Prompt
	if p == nil {
		return wish
	}
	wish.Key = p.SharedKey()
	wish.Model = p.Model
	wish.Weights = view.Weights[p.Model]
	if engine := service.Engine; engine != nil {
		wish.Tokens = p.Tokens + p.MostOut
		wish.Memory = engine.MemoryTokens
		wish.Loads = view.Loads
		wish.LoadsInterval = view.LoadsInterval
	}
	return wish
}
