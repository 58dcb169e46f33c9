package serving

import (
	"context"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// minAttemptTime is the least time until the deadline with which an attempt is sent.
	minAttemptTime = 5 * time.Millisecond
	// noRoomRetryAfter is the Retry-After of a long prompt for which no engine has memory. Long prompts
	// run for about 2 s, so about half of the memory in use has passed to other requests by then. In a
	// burst, 3.0% of the requests were refused for good with 0.3 s, and 2.3% with 1.5 to 3 s.
	noRoomRetryAfter = 2 * time.Second
	// evacuatedRetryAfter is the Retry-After when all instances of the service are in evacuated failure
	// domains. The end of an evacuation cannot be predicted.
	evacuatedRetryAfter = 2 * time.Second
	// regionRetryAfter is the Retry-After when all instances of the service are outside the regions in
	// which the request's data may be. Only a change of the configuration or of the fleet ends that.
	regionRetryAfter = 2 * time.Second
)

// ColdAllowance sets how far all entries together may exceed the rate that a cold instance sustains,
// within one second. The zero value sets no bound.
type ColdAllowance struct {
	// The bound is the sustained rate times Overage plus Slack requests.
	Overage, Slack float64
}

// capacity returns the capacity of a cold instance that sustains the given number of requests per second.
func (c ColdAllowance) capacity(rate float64) balance.Capacity {
	out := balance.Capacity{Rate: rate}
	if c.Overage > 0 {
		out.Max = rate*c.Overage + c.Slack
	}
	return out
}

// freeMemory is an amount of free memory, from engine reports of the given age. ok is false when it is
// not known.
type freeMemory struct {
	tokens int
	age    time.Duration
	ok     bool
}

// place chooses the instance of the next attempt. It returns the request's outcome when the request
// must not be sent now.
func (j *job) place(ctx context.Context) outcome.Outcome {
	if clock.Until(j.deadline) < minAttemptTime {
		return j.attempts.GiveUp()
	}
	if o := j.checkStopping(); o != nil {
		return o
	}
	if o := j.checkQuarantine(); o != nil {
		return o
	}
	j.consult(ctx)
	o := j.chooseWithRoom(ctx)
	j.server.Metrics.countConsultation(j.service, j.consultation)
	if o != nil {
		j.releaseGrant()
		j.done()
	}
	return o
}

// choose picks the instance of the next attempt and records the attempt with the balancer. It sets full if none has room.
func (j *job) choose() outcome.Outcome {
	j.full = false
	view := j.server.View()
	pickInfo := j.pickInfo(view)
	now := clock.Now()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	instances := j.usable(view, now)
	if len(instances) == 0 && len(view.Instances[j.service]) > 0 {
		if o := j.noVersion(view.Instances[j.service]); o != nil {
			return o
		}
		return j.noWeights()
	}
	if in, o, decided := j.followArbiter(instances, pickInfo, now); decided {
		if o == nil {
			j.begin(in, view, pickInfo, now)
		}
		return o
	}
	balancer := j.server.balancer
	if j.refusable() {
		room, ok := balancer.Admit(instances, pickInfo, now)
		if !ok {
			j.memory = freeMemory{tokens: room, age: now.Sub(view.LoadsAt), ok: true}
			return outcome.NotRun{RetryAfter: noRoomRetryAfter, Reason: outcome.ReasonNoRoom}
		}
	}
	in, ok := balancer.Pick(instances, pickInfo, now)
	if !ok && len(instances) > 0 && !slices.ContainsFunc(instances, j.inAllowedRegion) {
		return j.attempts.Reject(regionRetryAfter, outcome.ReasonRegion)
	}
	if !ok && allEvacuated(instances, view) {
		return j.attempts.Reject(evacuatedRetryAfter, outcome.ReasonEvacuated)
	}
	if !ok {
		return j.noInstance(instances, pickInfo, now)
	}
	j.begin(in, view, pickInfo, now)
	return nil
}

// begin records that the next attempt is sent to an instance. The server's mu must be held.
func (j *job) begin(in registry.Instance, view *fleet.View, pickInfo balance.PickInfo, now time.Time) {
	balancer := j.server.balancer
	j.instance = j.server.learned.apply(in)
	j.triedInstances = append(j.triedInstances, in.Incarnation())
	j.attemptNumber++
	j.condition = j.currentCondition(now)
	j.memory = freeMemory{}
	j.waiting = view.Loads[in.Incarnation()].Waiting
	if free, ok := balancer.Free(in.Incarnation(), pickInfo, now); ok {
		j.memory = freeMemory{tokens: free, age: now.Sub(view.LoadsAt), ok: true}
	}
	balancer.Begin(in, now)
	j.countAttempt()
	j.server.Metrics.beginAttempt(j.service, j.condition)
	j.server.failures.RecordRequest(j.service, j.team.Name, now)
	if pickInfo.Tokens > 0 {
		balancer.Reserve(in.Incarnation(), pickInfo, now)
	}
}

// noInstance returns the request's outcome when none of the instances accepts it now. The server's mu
// must be held.
func (j *job) noInstance(instances []registry.Instance, pickInfo balance.PickInfo, now time.Time) outcome.Outcome {
	switch held := j.server.balancer.Backpressure(instances, pickInfo, now).(type) {
	case balance.Resting:
		return j.attempts.Reject(held.Remaining, outcome.ReasonResting)
	case balance.Limited:
		return j.attempts.Reject(held.Remaining, outcome.ReasonLimited)
	case balance.Full:
		j.full = true
	}
	return j.attempts.GiveUp()
}

// inAllowedRegion reports whether the request's data may be at an instance.
func (j *job) inAllowedRegion(in registry.Instance) bool {
	return j.residency.Allows(in.FailureDomain, j.server.Regions)
}

// allEvacuated reports whether there are instances and all of them are in evacuated failure domains.
func allEvacuated(instances []registry.Instance, view *fleet.View) bool {
	used := func(in registry.Instance) bool {
		_, is := view.Evacuated[in.FailureDomain]
		return !is
	}
	return len(instances) > 0 && !slices.ContainsFunc(instances, used)
}

// pickInfo returns the input for choosing the instance of the next attempt.
func (j *job) pickInfo(view *fleet.View) balance.PickInfo {
	service := view.Config.Services[j.service]
	pickInfo := balance.PickInfo{
		Tried: j.triedInstances, Busy: view.Busy, Failing: view.Failing, Retryable: j.route.AllowsRetries(), Entries: view.Entries, Rank: view.Rank,
		Cold: j.server.Cold.capacity(service.ColdRate), ColdFor: service.ColdFor, Evacuated: view.Evacuated, Returned: view.Returned, Unreachable: view.Unreachable,
		Residency: j.residency, Regions: j.server.Regions,
	}
	p := j.request.Prompt
	if p == nil {
		return pickInfo
	}
	pickInfo.Key = p.SharedKey()
	pickInfo.Model = p.Model
	pickInfo.Weights = view.Weights[p.Model]
	if engine := service.Engine; engine != nil {
		pickInfo.Tokens = p.Tokens + p.MaxOutputTokens
		pickInfo.Memory = engine.MemoryTokens
		pickInfo.Loads = view.Loads
		pickInfo.LoadsInterval = view.LoadsInterval
	}
	return pickInfo
}
