package balance_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// The engines of the simulation are like those of a real deployment: long prompts are an eighth of
// its requests by number, and take most of its memory.
const (
	step         = 5 * time.Millisecond
	engineMemory = 70_000
	promptTokens = 12_000
	// uncachedTokens of a prompt are computed by the engine; the others come from a store.
	uncachedTokens = 3_000
	prefillRate    = 48_000
	decodeTime     = 2 * time.Second
	latencyTarget  = 1200 * time.Millisecond
	retryAfter     = 2 * time.Second
	// pollInterval is how often an engine is polled for its load, and reportDelay how long its
	// report takes to reach the entries.
	pollInterval = 200 * time.Millisecond
	reportDelay  = 200 * time.Millisecond
)

// promptRun is a long prompt in progress.
type promptRun struct {
	id, key       uint64
	urgency, team int
	arrived, ends time.Time
	// returns is when its caller sends it again after a refusal.
	returns         time.Time
	refused, inTime bool
}

// replayEngine computes prompts one after the other and keeps their memory until their answers end.
type replayEngine struct {
	// ended holds the runs that ended in the current step.
	waiting, running, ended []*promptRun
	prefillUntil            time.Time
}

func (e *replayEngine) load() balance.EngineLoad {
	return balance.EngineLoad{Waiting: len(e.waiting), Used: len(e.running) * promptTokens}
}

// advance ends runs that are complete and starts waiting ones that have room. It returns how many
// it started, and how many of these within latencyTarget.
func (e *replayEngine) advance(at time.Time) (started, inTime int) {
	var running []*promptRun
	e.ended = e.ended[:0]
	for _, r := range e.running {
		if at.Before(r.ends) {
			running = append(running, r)
		} else {
			e.ended = append(e.ended, r)
		}
	}
	e.running = running
	for len(e.waiting) > 0 && (len(e.running)+1)*promptTokens <= engineMemory {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.prefillUntil.Before(at) {
			e.prefillUntil = at
		}
		e.prefillUntil = e.prefillUntil.Add(uncachedTokens * time.Second / prefillRate)
		r.ends = e.prefillUntil.Add(decodeTime)
		e.running = append(e.running, r)
		started++
		if e.prefillUntil.Sub(r.arrived) <= latencyTarget {
			inTime++
			r.inTime = true
		}
	}
	return started, inTime
}

// loadReport holds the loads that entries know from a time on.
type loadReport struct {
	at    time.Time
	loads map[registry.Incarnation]balance.EngineLoad
}

// policy is how entries use the loads of engines.
type policy struct {
	name string
	// useLoads and admit say whether entries know the loads, and refuse prompts by them; shareRoom
	// says whether they take the demand of the other entries into account.
	useLoads, admit, shareRoom bool
	// arbiter says that one arbiter decides for all entries.
	arbiter bool
}

var policies = []policy{
	{name: "by key only"},
	{name: "skip engines without room", useLoads: true},
	{name: "refuse when there is no room", useLoads: true, admit: true},
	{name: "refuse by demand of all entries", useLoads: true, admit: true, shareRoom: true},
}

// fleetReplay simulates a fleet of engines and entries in virtual time.
type fleetReplay struct {
	policy    policy
	engines   map[string]*replayEngine
	all       []registry.Instance
	balancers []*balance.Balancer
	random    *rand.Rand
	// interval is how often engines are polled.
	interval time.Duration
	// reports holds the loads that entries know, and those that have not reached them yet, the
	// oldest first. retries holds the refused prompts.
	reports []loadReport
	retries []*promptRun
	// teams and urgencies are the numbers of teams and of urgencies of the callers, which are drawn at random.
	teams, urgencies int
	callers          *rand.Rand
	// arbiter is nil unless it decides. releases holds the ends of runs that it does not know yet, and runs
	// all prompts.
	arbiter  *arbiter.Arbiter
	releases []release
	runs     []*promptRun
	// total counts prompts, and refused those that were refused twice.
	total, inTime, late, refused int
}

func newReplay(p policy, engines, entries int) *fleetReplay {
	f := &fleetReplay{policy: p, engines: map[string]*replayEngine{}, all: instances(engines), random: rand.New(rand.NewPCG(1, 2)), teams: 1, urgencies: 1, callers: rand.New(rand.NewPCG(3, 4)), interval: pollInterval}
	for _, in := range f.all {
		f.engines[in.ID] = &replayEngine{}
	}
	for n := range entries {
		f.balancers = append(f.balancers, balance.New(uint64(n)))
	}
	if p.arbiter {
		f.arbiter = newArbiter(f.all)
	}
	return f
}

// simulate applies a load, in prompts per second, with a burst in the middle third of the time.
func (f *fleetReplay) simulate(rate, burst float64, length time.Duration) {
	for at := time.Duration(0); at < length; at += step {
		clock := now.Add(at)
		for _, e := range f.engines {
			started, inTime := e.advance(clock)
			f.inTime += inTime
			f.late += started - inTime
			f.recordEnds(e.ended, clock)
		}
		if at%f.interval == 0 {
			f.report(clock)
		}
		f.informArbiter(clock)
		f.retryRefused(clock)
		expected := rate * step.Seconds()
		if at > length/3 && at < 2*length/3 {
			expected *= burst
		}
		for ; f.random.Float64() < expected; expected-- {
			f.total++
			r := &promptRun{id: uint64(f.total), key: 1 + f.random.Uint64N(119), arrived: clock}
			f.drawCaller(r, at > length/3 && at < 2*length/3 && burst > 1)
			f.runs = append(f.runs, r)
			f.send(r, clock)
		}
	}
}

func (f *fleetReplay) report(clock time.Time) {
	loads := map[registry.Incarnation]balance.EngineLoad{}
	for id, e := range f.engines {
		loads[incarnation(id)] = e.load()
	}
	f.reports = append(f.reports, loadReport{clock.Add(reportDelay), loads})
}

// known returns the loads that entries know.
func (f *fleetReplay) known(clock time.Time) map[registry.Incarnation]balance.EngineLoad {
	for len(f.reports) > 1 && !clock.Before(f.reports[1].at) {
		f.reports = f.reports[1:]
	}
	return f.reports[0].loads
}

// retryRefused sends refused prompts again when their retry delay has passed.
func (f *fleetReplay) retryRefused(clock time.Time) {
	var due []*promptRun
	f.retries = slices.DeleteFunc(f.retries, func(r *promptRun) bool {
		if clock.Before(r.returns) {
			return false
		}
		due = append(due, r)
		return true
	})
	for _, r := range due {
		f.send(r, clock)
	}
}

func (f *fleetReplay) send(r *promptRun, clock time.Time) {
	b := f.balancers[f.random.IntN(len(f.balancers))]
	if f.arbiter != nil {
		f.ask(r, clock)
		return
	}
	w := balance.PickInfo{Key: r.key, Tokens: promptTokens, Memory: engineMemory, Entries: 1}
	if f.policy.useLoads {
		w.Loads = f.known(clock)
		w.LoadsInterval = f.interval
	}
	if f.policy.shareRoom {
		w.Entries = len(f.balancers)
	}
	if f.policy.admit {
		if _, ok := b.Admit(f.all, w, clock); !ok {
			f.refuse(r, clock.Add(retryAfter))
			return
		}
	}
	in, _ := b.Pick(f.all, w, clock)
	b.Begin(in, clock)
	b.Reserve(in.Incarnation(), w, clock)
	b.End(in.Incarnation(), balance.Result{Latency: time.Millisecond}, clock)
	f.engines[in.ID].waiting = append(f.engines[in.ID].waiting, r)
}

// refuse refuses a prompt; its caller retries once.
func (f *fleetReplay) refuse(r *promptRun, returns time.Time) {
	if r.refused {
		f.refused++
		return
	}
	r.refused, r.returns = true, returns
	f.retries = append(f.retries, r)
}

// In a burst of long prompts that needs more memory than the engines have, the full policy must
// serve more of them in time than placement by key alone; without a burst no prompt may be refused.
// SHEDROCK_BENCH=1 prints the table for each step of the policy.
func TestBurstOfLongPrompts(t *testing.T) {
	fleets := []struct {
		engines, entries int
		rate             float64
	}{{9, 9, 12}, {60, 79, 80}}
	for _, size := range fleets {
		inTime := map[string]float64{}
		for _, p := range policies {
			f := newReplay(p, size.engines, size.entries)
			f.simulate(size.rate, 2.2, 48*time.Second)
			inTime[p.name] = float64(f.inTime) / float64(f.total)
			if os.Getenv("SHEDROCK_BENCH") != "" {
				fmt.Printf("%d engines, %d entries, %-33s in time %.3f late %.3f refused twice %.3f\n", size.engines, size.entries,
					p.name, inTime[p.name], float64(f.late)/float64(f.total), float64(f.refused)/float64(f.total))
			}
			calm := newReplay(p, size.engines, size.entries)
			calm.simulate(size.rate/2, 1, 20*time.Second)
			if calm.refused > 0 || calm.inTime < calm.total*95/100 {
				t.Errorf("%s: of %d prompts without a burst %d are in time and %d refused", p.name, calm.total, calm.inTime, calm.refused)
			}
		}
		if byKey, now := inTime[policies[0].name], inTime[policies[3].name]; now < byKey+0.1 {
			t.Errorf("%d engines: %.3f in time, and %.3f by key alone", size.engines, now, byKey)
		}
	}
}

// In a large fleet each entry sends few of the prompts that an engine gets, so it depends on
// reported loads, and the older these are, the more prompts of different entries meet at one
// engine. Simulates 163 engines and 294 entries whose long prompts fill the engines for a while.
// Loads are reported every 0.33 s in such a fleet; with one report in 1.1 s far fewer prompts are
// in time. Reservations are counted for as long as a report may not include them, which serves more
// prompts than not counting them.
func TestLargeFleetNeedsFreshLoads(t *testing.T) {
	const engines, entries, rate = 163, 294, 200.0
	inTime := func(interval time.Duration) float64 {
		f := newReplay(policies[3], engines, entries)
		f.interval = interval
		f.simulate(rate, 1.7, 24*time.Second)
		share := float64(f.inTime) / float64(f.total)
		if os.Getenv("SHEDROCK_BENCH") != "" {
			fmt.Printf("%d engines, %d entries, loads each %v: in time %.3f late %.3f refused twice %.3f\n", engines, entries, interval,
				share, float64(f.late)/float64(f.total), float64(f.refused)/float64(f.total))
		}
		return share
	}
	fresh, old := inTime(330*time.Millisecond), inTime(1100*time.Millisecond)
	if fresh < old+0.08 {
		t.Errorf("%.3f in time with recent loads, and %.3f with old ones", fresh, old)
	}
}
