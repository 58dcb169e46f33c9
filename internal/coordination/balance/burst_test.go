package balance_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// The engines of the replay are like those of a deployment that was measured: an eighth of its
// requests by number, and most of its memory, are long prompts.
const (
	step         = 5 * time.Millisecond
	engineMemory = 70_000
	promptTokens = 12_000
	// ownTokens are read at the engine, the others come from a store.
	ownTokens  = 3_000
	readRate   = 48_000
	answerTime = 2 * time.Second
	inTime     = 1200 * time.Millisecond
	comeBack   = 2 * time.Second
	// askPause and tellDelay are how often an engine is asked, and how late entries hear of it.
	askPause  = 200 * time.Millisecond
	tellDelay = 200 * time.Millisecond
)

// promptRun is a long prompt on its way.
type promptRun struct {
	key           uint64
	arrived, ends time.Time
	refused       bool
}

// replayEngine reads prompts one after the other and keeps their memory until their answers end.
type replayEngine struct {
	waiting, running []*promptRun
	readUntil        time.Time
}

func (e *replayEngine) load() balance.EngineLoad {
	return balance.EngineLoad{Waiting: len(e.waiting), Used: len(e.running) * promptTokens}
}

// work ends runs and begins those that have room; it returns how many of these are in time.
func (e *replayEngine) work(at time.Time) (began, timely int) {
	var running []*promptRun
	for _, r := range e.running {
		if at.Before(r.ends) {
			running = append(running, r)
		}
	}
	e.running = running
	for len(e.waiting) > 0 && (len(e.running)+1)*promptTokens <= engineMemory {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.readUntil.Before(at) {
			e.readUntil = at
		}
		e.readUntil = e.readUntil.Add(ownTokens * time.Second / readRate)
		r.ends = e.readUntil.Add(answerTime)
		e.running = append(e.running, r)
		began++
		if e.readUntil.Sub(r.arrived) <= inTime {
			timely++
		}
	}
	return began, timely
}

// toldLoads are loads that entries know from a time on.
type toldLoads struct {
	at    time.Time
	loads map[registry.Incarnation]balance.EngineLoad
}

// policy is how entries go by what engines tell.
type policy struct {
	name string
	// told and admit say whether entries know engines' loads, and refuse by them; share says
	// whether they refuse together what all of them have no room for.
	told, admit, share bool
}

var policies = []policy{
	{name: "by key alone"},
	{name: "past engines without room", told: true},
	{name: "refused when there is no room", told: true, admit: true},
	{name: "refused by all entries together", told: true, admit: true, share: true},
}

// fleetReplay is a fleet of engines and entries in virtual time.
type fleetReplay struct {
	policy  policy
	engines map[string]*replayEngine
	all     []registry.Instance
	boards  []*balance.Balancer
	random  *rand.Rand
	// pause is how often engines are asked.
	pause time.Duration
	// told holds the loads that entries go by, and those on their way, the oldest first.
	told  []toldLoads
	later []*promptRun
	// asked counts prompts, and refused those that were refused twice.
	asked, timely, late, refused int
}

func newReplay(p policy, engines, entries int) *fleetReplay {
	f := &fleetReplay{policy: p, engines: map[string]*replayEngine{}, all: instances(engines), random: rand.New(rand.NewPCG(1, 2)), pause: askPause}
	for _, in := range f.all {
		f.engines[in.ID] = &replayEngine{}
	}
	for n := range entries {
		f.boards = append(f.boards, balance.New(uint64(n)))
	}
	return f
}

// play plays a load, in prompts a second, with a burst from a third to two thirds of the time.
func (f *fleetReplay) play(rate, burst float64, length time.Duration) {
	for at := time.Duration(0); at < length; at += step {
		clock := now.Add(at)
		for _, e := range f.engines {
			began, timely := e.work(clock)
			f.timely += timely
			f.late += began - timely
		}
		if at%f.pause == 0 {
			f.tell(clock)
		}
		f.callers(clock)
		expected := rate * step.Seconds()
		if at > length/3 && at < 2*length/3 {
			expected *= burst
		}
		for ; f.random.Float64() < expected; expected-- {
			f.asked++
			f.send(&promptRun{key: 1 + f.random.Uint64N(119), arrived: clock}, clock)
		}
	}
}

func (f *fleetReplay) tell(clock time.Time) {
	loads := map[registry.Incarnation]balance.EngineLoad{}
	for id, e := range f.engines {
		loads[life(id)] = e.load()
	}
	f.told = append(f.told, toldLoads{clock.Add(tellDelay), loads})
}

// known returns what entries know of engines' loads.
func (f *fleetReplay) known(clock time.Time) map[registry.Incarnation]balance.EngineLoad {
	for len(f.told) > 1 && !clock.Before(f.told[1].at) {
		f.told = f.told[1:]
	}
	return f.told[0].loads
}

// callers has those come back that were refused.
func (f *fleetReplay) callers(clock time.Time) {
	for len(f.later) > 0 && clock.Sub(f.later[0].arrived) >= comeBack {
		r := f.later[0]
		f.later = f.later[1:]
		f.send(r, clock)
	}
}

func (f *fleetReplay) send(r *promptRun, clock time.Time) {
	b := f.boards[f.random.IntN(len(f.boards))]
	w := balance.PickInfo{Key: r.key, Tokens: promptTokens, Memory: engineMemory, Entries: 1}
	if f.policy.told {
		w.Loads = f.known(clock)
		w.LoadsInterval = f.pause
	}
	if f.policy.share {
		w.Entries = len(f.boards)
	}
	if f.policy.admit {
		if _, ok := b.Admit(f.all, w, clock); !ok {
			f.refuse(r)
			return
		}
	}
	in, _ := b.Pick(f.all, w, clock)
	b.Begin(in, clock)
	b.Reserve(in.Incarnation(), w, clock)
	b.End(in.Incarnation(), balance.Result{Latency: time.Millisecond}, clock)
	f.engines[in.ID].waiting = append(f.engines[in.ID].waiting, r)
}

// refuse refuses a prompt; its caller comes back once.
func (f *fleetReplay) refuse(r *promptRun) {
	if r.refused {
		f.refused++
		return
	}
	r.refused = true
	f.later = append(f.later, r)
}

// In a burst of more long prompts than engines have memory for, each step of the policy serves
// more of them in time; without a burst nobody is refused. SHEDROCK_BENCH=1 prints the table.
func TestBurstOfLongPrompts(t *testing.T) {
	fleets := []struct {
		engines, entries int
		rate             float64
	}{{9, 9, 12}, {60, 79, 80}}
	for _, size := range fleets {
		timely := map[string]float64{}
		for _, p := range policies {
			f := newReplay(p, size.engines, size.entries)
			f.play(size.rate, 2.2, 48*time.Second)
			timely[p.name] = float64(f.timely) / float64(f.asked)
			if os.Getenv("SHEDROCK_BENCH") != "" {
				fmt.Printf("%d engines, %d entries, %-33s in time %.3f late %.3f refused twice %.3f\n", size.engines, size.entries,
					p.name, timely[p.name], float64(f.late)/float64(f.asked), float64(f.refused)/float64(f.asked))
			}
			calm := newReplay(p, size.engines, size.entries)
			calm.play(size.rate/2, 1, 20*time.Second)
			if calm.refused > 0 || calm.timely < calm.asked*95/100 {
				t.Errorf("%s: of %d prompts of a calm time %d are in time and %d refused", p.name, calm.asked, calm.timely, calm.refused)
			}
		}
		if before, now := timely[policies[0].name], timely[policies[3].name]; now < before+0.1 {
			t.Errorf("%d engines: %.3f in time, and %.3f by key alone", size.engines, now, before)
		}
	}
}

// In a large fleet each entry sees few of the prompts at an engine, so it goes by what engines
// tell, and the older that is, the more of them meet at one. The pattern: 163 engines before 294
// entries, whose long prompts fill engines for a while. Loads are told each 0.33 s in such a fleet;
// each 1.1 s serves far fewer in time, and counting what was sent for as long as it is not told
// serves more than not.
func TestLargeFleetNeedsFreshLoads(t *testing.T) {
	const engines, entries, rate = 163, 294, 200.0
	timely := func(pause time.Duration) float64 {
		f := newReplay(policies[3], engines, entries)
		f.pause = pause
		f.play(rate, 1.7, 24*time.Second)
		share := float64(f.timely) / float64(f.asked)
		if os.Getenv("SHEDROCK_BENCH") != "" {
			fmt.Printf("%d engines, %d entries, loads each %v: in time %.3f late %.3f refused twice %.3f\n", engines, entries, pause,
				share, float64(f.late)/float64(f.asked), float64(f.refused)/float64(f.asked))
		}
		return share
	}
	fresh, old := timely(330*time.Millisecond), timely(1100*time.Millisecond)
	if fresh < old+0.08 {
		t.Errorf("%.3f in time with fresh loads, and %.3f with old ones", fresh, old)
	}
}
