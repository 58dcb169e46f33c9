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

const (
	// limitRate is the limit of an instance in requests per second, and limitAllowed the most
	// requests that it may get in limitWindow from entries that have known the limit for
	// limitKnownFor.
	limitRate     = 4.5
	limitWindow   = 4 * time.Second
	limitAllowed  = 32
	limitKnownFor = 500 * time.Millisecond
	// limitAfter is when the instance reports its limit, and limitLength the length of the
	// simulation.
	limitAfter  = 2 * time.Second
	limitLength = 16 * time.Second
	// limitFleet is the number of instances.
	limitFleet = 20
)

// sharing is how entries share a limit in the simulation.
type sharing int

const (
	// byQuota is what the balancer does.
	byQuota sharing = iota
	// equalRates has each entry send its part of the rate, at equal intervals.
	equalRates
	// unshared has entries send as if there were no limit.
	unshared
)

func (s sharing) String() string {
	return [...]string{"by quota", "equal rates", "unshared"}[s]
}

// limitReplay simulates entries and instances of which one has a limit.
type limitReplay struct {
	entries int
	// rate is the number of requests per second of each entry.
	rate    float64
	sharing sharing
	// restarts is how often an entry restarts, which loses what it knows of the limit, and
	// departures how often one stops for good, so that the others get other ranks.
	restarts, departures time.Duration
	// partitioned is the share of the entries that do not know of the others.
	partitioned float64
	// bursty says that there are no requests for 8 of 10 s.
	bursty bool
	// lostShare is the share of the answers that do not reach entries.
	lostShare float64
}

// limitEntry is an entry of a simulation.
type limitEntry struct {
	balancer *balance.Balancer
	// informed is when it first got the limit, or zero.
	informed time.Time
	// next is when an entry with equalRates may send again.
	next time.Time
}

// limitRun is a simulation in progress.
type limitRun struct {
	limitReplay
	random  *rand.Rand
	all     []registry.Instance
	entries []*limitEntry
	// departed is the number of entries that have stopped, which are the first ones.
	departed                   int
	nextRestart, nextDeparture time.Duration
	// counted holds when the instance got requests from entries that knew the limit, and sent
	// counts its requests from the first window on.
	counted []time.Time
	sent    int
}

// simulate returns the most requests that the instance got in a window from entries that knew the
// limit, and how much of the limit was used from the first window on.
func (r limitReplay) simulate(seed uint64) (most int, used float64) {
	p := &limitRun{
		limitReplay: r, random: rand.New(rand.NewPCG(seed, 2)), all: instances(limitFleet), entries: make([]*limitEntry, r.entries),
		nextRestart: r.restarts, nextDeparture: r.departures,
	}
	for n := range p.entries {
		p.entries[n] = p.newEntry()
	}
	between := float64(time.Second) / (r.rate * float64(r.entries))
	for at := time.Duration(0); at < limitLength; at += time.Duration(p.random.ExpFloat64() * between) {
		p.churn(at)
		if !r.bursty || at%(10*time.Second) >= 8*time.Second {
			p.request(at)
		}
	}
	return maxWithin(p.counted, limitWindow), float64(p.sent) / limitRate / (limitLength - limitAfter - limitWindow).Seconds()
}

func (p *limitRun) newEntry() *limitEntry {
	return &limitEntry{balancer: balance.New(p.random.Uint64())}
}

// churn restarts and stops entries when that is due.
func (p *limitRun) churn(at time.Duration) {
	if p.restarts > 0 && at > p.nextRestart {
		p.entries[p.random.IntN(len(p.entries))] = p.newEntry()
		p.nextRestart += p.restarts
	}
	if p.departures > 0 && at > p.nextDeparture && p.departed < len(p.entries)/2 {
		p.departed++
		p.nextDeparture += p.departures
	}
}

// request sends one request by a random entry.
func (p *limitRun) request(at time.Duration) {
	clock := now.Add(at)
	serving := len(p.entries) - p.departed
	rank := p.random.IntN(serving)
	e := p.entries[p.departed+rank]
	in, ok := e.pick(p.all, p.limitReplay, rank, serving, clock)
	if !ok {
		return
	}
	e.balancer.Begin(in, clock)
	e.balancer.RecordResponse(in.Incarnation(), clock)
	e.balancer.End(in.Incarnation(), balance.Result{Latency: 60 * time.Millisecond}, clock)
	if in.ID == "i0" && at >= limitAfter {
		p.arrive(e, in, at)
	}
}

// arrive counts a request at the instance, which reports its limit to the entry.
func (p *limitRun) arrive(e *limitEntry, in registry.Instance, at time.Duration) {
	clock := now.Add(at)
	if !e.informed.IsZero() && clock.Sub(e.informed) >= limitKnownFor {
		p.counted = append(p.counted, clock)
	}
	if at > limitAfter+limitWindow {
		p.sent++
	}
	if p.random.Float64() < p.lostShare {
		return
	}
	if e.informed.IsZero() {
		e.informed = clock
	}
	if p.sharing == byQuota {
		e.balancer.SetLimit(in.Incarnation(), limitRate, clock)
	}
}

// pick chooses an instance for a request of the entry, which is one of so many.
func (e *limitEntry) pick(all []registry.Instance, r limitReplay, rank, entries int, at time.Time) (registry.Instance, bool) {
	w := balance.PickInfo{Entries: entries, Rank: rank}
	if side := int(float64(entries) * r.partitioned); rank >= entries-side {
		w.Entries, w.Rank = side, rank-(entries-side)
	} else {
		w.Entries = entries - side
	}
	if r.sharing == equalRates && !e.informed.IsZero() && at.Before(e.next) {
		w.Tried = []registry.Incarnation{all[0].Incarnation()}
	}
	in, ok := e.balancer.Pick(all, w, at)
	if ok && in.ID == "i0" {
		e.next = at.Add(time.Duration(float64(w.Entries) / limitRate * float64(time.Second)))
	}
	return in, ok
}

// An instance that reported a limit still got its usual share of requests from each entry. With 4
// to 300 entries, some of which restart, stop, miss answers or do not know of each other, it must
// get no more than it may in any window. SHEDROCK_BENCH=1 prints the table, with other ways of
// sharing and how much of the limit each uses.
func TestLimitHoldsForManyEntries(t *testing.T) {
	bench := os.Getenv("SHEDROCK_BENCH") != ""
	seeds := 2
	if bench {
		seeds = 5
	}
	for _, entries := range []int{4, 8, 76, 300} {
		for _, r := range []limitReplay{
			{entries: entries, rate: 20},
			{entries: entries, rate: 5},
			{entries: entries, rate: 20, bursty: true},
			{entries: entries, rate: 20, restarts: time.Second},
			{entries: entries, rate: 20, departures: time.Second},
			{entries: entries, rate: 20, partitioned: 0.25},
			{entries: entries, rate: 20, partitioned: 0.5, departures: 2 * time.Second, restarts: time.Second, lostShare: 0.2},
		} {
			for _, how := range []sharing{byQuota, equalRates, unshared} {
				if how != byQuota && !bench {
					continue
				}
				r.sharing = how
				most, used := 0, 0.0
				for seed := range seeds {
					m, u := r.simulate(uint64(seed))
					most = max(most, m)
					used += u / float64(seeds)
				}
				name := fmt.Sprintf("%+v", r)
				if bench {
					fmt.Printf("%s: most %d, used %.2f\n", name, most, used)
				}
				if how == byQuota && most > limitAllowed {
					t.Errorf("%s: %d requests in a window, allowed %d", name, most, limitAllowed)
				}
			}
		}
	}
}
