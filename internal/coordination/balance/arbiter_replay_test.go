package balance_test

import (
	"encoding/binary"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// releaseDelay is how long after the end of a run the arbiter is notified of it.
	releaseDelay = 55 * time.Millisecond
	// callerDeadline is the time that callers have, from their first attempt.
	callerDeadline = 12 * time.Second
	// arbitrated is the name of the service.
	arbitrated = "m"
)

var arbiterPolicy = policy{name: "arbiter", arbiter: true}

// release is the end of a run, and when the arbiter is notified of it.
type release struct {
	id string
	at time.Time
}

func newArbiter(instances []registry.Instance) *arbiter.Arbiter {
	a := arbiter.New(1)
	var engines []arbiter.Engine
	for _, in := range instances {
		engines = append(engines, arbiter.Engine{Incarnation: in.Incarnation()})
	}
	a.SetEngines(arbitrated, engines, engineMemory)
	return a
}

// drawCaller gives a prompt an urgency and a team. In a burst team 0 sends three quarters of the prompts.
func (f *fleetReplay) drawCaller(r *promptRun, burst bool) {
	r.urgency = f.callers.IntN(f.urgencies)
	r.team = f.callers.IntN(f.teams)
	if burst && f.callers.IntN(4) > 0 {
		r.team = 0
	}
}

// attempt names the current attempt of a prompt.
func (r *promptRun) attempt() string { return fmt.Sprint(r.id, r.refused) }

// recordEnds notes that some runs have ended.
func (f *fleetReplay) recordEnds(ended []*promptRun, clock time.Time) {
	for _, r := range ended {
		f.releases = append(f.releases, release{r.attempt(), clock.Add(releaseDelay)})
	}
}

// informArbiter reports the loads and the ends of runs to the arbiter.
func (f *fleetReplay) informArbiter(clock time.Time) {
	if f.arbiter == nil {
		return
	}
	for len(f.releases) > 0 && !clock.Before(f.releases[0].at) {
		f.arbiter.Release(f.releases[0].id, clock)
		f.releases = f.releases[1:]
	}
	loads := f.known(clock)
	f.arbiter.RecordLoads(loads, f.reports[0].at)
}

// ask lets the arbiter decide a prompt.
func (f *fleetReplay) ask(r *promptRun, clock time.Time) {
	request := arbiter.Request{
		ID: r.attempt(), Service: arbitrated, Key: r.key, Tokens: promptTokens, Urgency: r.urgency, Team: fmt.Sprint(r.team),
		Objective: latencyTarget, Remaining: callerDeadline - clock.Sub(r.arrived),
	}
	binary.BigEndian.PutUint64(request.Digest[:], r.id*0x9e3779b97f4a7c15)
	switch d := f.arbiter.Decide(request, clock).(type) {
	case arbiter.Grant:
		f.engines[d.Engine.ID].waiting = append(f.engines[d.Engine.ID].waiting, r)
	case arbiter.Refusal:
		f.refuse(r, clock.Add(d.RetryAfter))
	case arbiter.Unknown:
		panic("the loads are known in the replay")
	}
}

// inTimeShare returns the share of the prompts of some callers that were in time.
func (f *fleetReplay) inTimeShare(callers func(r *promptRun) bool) float64 {
	inTime, all := 0, 0
	for _, r := range f.runs {
		if !callers(r) {
			continue
		}
		all++
		if r.inTime {
			inTime++
		}
	}
	return float64(inTime) / float64(max(all, 1))
}

func (f *fleetReplay) String() string {
	of := func(n int) float64 { return float64(n) / float64(f.total) }
	out := fmt.Sprintf("in time %.3f late %.3f refused twice %.3f", of(f.inTime), of(f.late), of(f.refused))
	for u := range f.urgencies {
		if f.urgencies > 1 {
			own, others := f.inTimeOfTeams(u)
			out += fmt.Sprintf("; urgency %d: bursting team %.3f, others %.3f", u, own, others)
		}
	}
	return out
}

// inTimeOfTeams returns the shares of the prompts of an urgency that were in time: of the team that sends
// the burst, and of all others.
func (f *fleetReplay) inTimeOfTeams(urgency int) (bursting, others float64) {
	return f.inTimeShare(func(r *promptRun) bool { return r.urgency == urgency && r.team == 0 }),
		f.inTimeShare(func(r *promptRun) bool { return r.urgency == urgency && r.team != 0 })
}

// Many entries that decide by old loads send to the same free engine, and refuse where there is room. One
// arbiter for 60 engines and 79 entries must serve at least as many prompts in time as if a single entry
// decided for all; more urgent prompts must come first, and a team that sends a burst must not displace
// others. SHEDROCK_BENCH=1 prints the table.
func TestArbiterInBurst(t *testing.T) {
	calm := runBurst(arbiterPolicy, 79, 8, 3, 40, 1)
	if calm.refused > 0 || calm.inTime < calm.total*95/100 {
		t.Errorf("of %d prompts without a burst %d are in time and %d refused", calm.total, calm.inTime, calm.refused)
	}
	for _, rate := range []float64{60, 80, 100} {
		runBurst(policies[3], 79, 1, 1, rate, 2.2)
		single := runBurst(policies[3], 1, 1, 1, rate, 2.2)
		alike := runBurst(arbiterPolicy, 79, 1, 1, rate, 2.2)
		mixed := runBurst(arbiterPolicy, 79, 8, 3, rate, 2.2)
		for _, f := range []*fleetReplay{alike, mixed} {
			if f.inTime < single.inTime || f.late > f.total*8/100 {
				t.Errorf("rate %.0f: %v, and if one entry decides %v", rate, f, single)
			}
		}
		mixed.checkOrder(t)
	}
}

func runBurst(p policy, entries, teams, urgencies int, rate, burst float64) *fleetReplay {
	f := newReplay(p, 60, entries)
	f.teams, f.urgencies = teams, urgencies
	f.simulate(rate, burst, 48*time.Second)
	if os.Getenv("SHEDROCK_BENCH") != "" {
		fmt.Printf("rate %3.0f, %2d entries, %d teams, %d urgencies, %-31s %v\n", rate, entries, teams, urgencies, p.name, f)
	}
	return f
}

// checkOrder checks that no less urgent prompts are preferred, nor those of the bursting team. One in a
// hundred may be late for reasons other than the order.
func (f *fleetReplay) checkOrder(t *testing.T) {
	t.Helper()
	const tolerance = 0.01
	previous := 1.0
	for u := range f.urgencies {
		share := f.inTimeShare(func(r *promptRun) bool { return r.urgency == u })
		bursting, others := f.inTimeOfTeams(u)
		if share > previous+tolerance || bursting > others+tolerance {
			t.Errorf("urgency %d: %.3f, and of the more urgent %.3f: %v", u, share, previous, f)
		}
		previous = share
	}
}
