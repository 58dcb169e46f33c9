package detour_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// pathInstances is the size of a service, in pathDomains failure domains, and pathRate the requests that one entry
	// sends to it in a second.
	pathInstances = 60
	pathDomains   = 4
	pathRate      = 100
	// pathWork is how long a sound instance works on a request, and pathGivesUp how long a request waits for a silent one.
	pathWork    = 50 * time.Millisecond
	pathGivesUp = 350 * time.Millisecond
	// pathProbe is how long a round takes whose probes get no answer, and pathStep the interval of the watch.
	pathProbe = 300 * time.Millisecond
	pathStep  = 100 * time.Millisecond
	// pathSilence is how long instances are silent, and pathTime the time that is replayed.
	pathSilence = 1500 * time.Millisecond
	pathTime    = 3 * time.Second
	// pathSilentFrom is when that begins.
	pathSilentFrom = time.Second
	pathSeeds      = 200
)

// pathReplay is what becomes of an entry's path while instances are silent or new connections fail.
type pathReplay struct {
	name string
	// silent reports whether an instance is silent in the meantime.
	silent func(n int) bool
	// refused means that new connections fail at once, while open ones work.
	refused bool
	// real means that the path is lost.
	real bool
}

var pathReplays = []pathReplay{
	{name: "3 of 60 silent", silent: func(n int) bool { return n < 3 }},
	{name: "a failure domain of 4 silent", silent: func(n int) bool { return n%pathDomains == 0 }},
	{name: "half silent", silent: func(n int) bool { return n < pathInstances/2 }},
	{name: "three failure domains of 4 silent", silent: func(n int) bool { return n%pathDomains != 0 }},
	{name: "all silent", silent: func(int) bool { return true }, real: true},
	{name: "new connections are refused", silent: func(int) bool { return false }, refused: true, real: true},
}

// pathEvent is something that an entry sees.
type pathEvent struct {
	at time.Duration
	do func(now time.Time)
}

// lostAfter returns how long after the begin the path counted as lost; ok is false if it never did.
func (c pathReplay) lostAfter(seed uint64) (took time.Duration, ok bool) {
	random := newRandom(seed)
	var instances []registry.Instance
	for i := range pathInstances {
		instances = append(instances, registry.Instance{ID: fmt.Sprint("i", i), Start: 1, FailureDomain: fmt.Sprint("d", i%pathDomains)})
	}
	during := func(at time.Duration) bool { return at >= pathSilentFrom && at < pathSilentFrom+pathSilence }
	var p detour.Path
	var events []pathEvent
	for at := time.Duration(0); at < pathTime; at += time.Duration(random.ExpFloat64() / pathRate * float64(time.Second)) {
		target := random.IntN(pathInstances)
		incarnation := instances[target].Incarnation()
		events = append(events, pathEvent{at, p.Begin})
		switch {
		case during(at) && c.refused && random.IntN(4) == 0:
			// No open connection was free.
			events = append(events, pathEvent{at, func(now time.Time) {
				p.End()
				p.Failed(incarnation, now)
			}})
		case (during(at) || during(at+pathWork)) && c.silent(target):
			events = append(events, pathEvent{at + pathGivesUp, func(now time.Time) {
				p.End()
				p.Failed(incarnation, now)
			}})
		default:
			events = append(events, pathEvent{at + pathWork, func(now time.Time) {
				p.End()
				p.Responded(incarnation, now)
			}})
		}
	}
	var check func(at time.Duration) pathEvent
	// round begins a round of probes, and returns its end.
	var round func(at time.Duration) pathEvent
	round = func(at time.Duration) pathEvent {
		succeeded, length := 0, time.Millisecond
		for _, in := range detour.ProbeTargets(&p, instances, random) {
			var n int
			if _, err := fmt.Sscanf(in.ID, "i%d", &n); err != nil {
				panic(err)
			}
			switch {
			case during(at) && c.refused:
			case during(at) && c.silent(n):
				length = pathProbe
			default:
				succeeded++
			}
		}
		return pathEvent{at + length, func(now time.Time) {
			if p.Probed(succeeded, now) && p.State(now) != detour.Open {
				took, ok = now.Sub(after(pathSilentFrom)), true
			}
			if p.Undecided() && p.ProbeDue(pathInstances, now) {
				events = append(events, round(at+length))
			}
		}}
	}
	check = func(at time.Duration) pathEvent {
		return pathEvent{at, func(now time.Time) {
			if p.ProbeDue(pathInstances, now) {
				events = append(events, round(at))
			}
			events = append(events, check(at+pathStep))
		}}
	}
	events = append(events, check(0))
	for !ok {
		first := slices.MinFunc(events, byTime).at
		next := slices.IndexFunc(events, func(e pathEvent) bool { return e.at == first })
		e := events[next]
		if e.at > pathTime {
			break
		}
		events = slices.Delete(events, next, next+1)
		e.do(after(e.at))
	}
	return took, ok
}

func byTime(a, b pathEvent) int { return cmp.Compare(a.at, b.at) }

// Guards against a path that counts as lost because the instances that were probed are silent, while others answer; a
// path that is lost must be found within the time of the silence that is looked for and two rounds. With SHEDROCK_BENCH
// it logs a table.
func TestReplayOfLostPath(t *testing.T) {
	for _, c := range pathReplays {
		lost := 0
		var times []time.Duration
		for seed := range uint64(pathSeeds) {
			if took, ok := c.lostAfter(seed); ok {
				lost++
				times = append(times, took)
			}
		}
		var p95 time.Duration
		if lost > 0 {
			p95 = percentile(times)
		}
		if os.Getenv("SHEDROCK_BENCH") != "" {
			t.Logf("%-35s lost in %d of %d replays, p95 after %s", c.name, lost, pathSeeds, ms(p95))
		}
		switch {
		case c.real && (lost < pathSeeds || p95 > time.Second):
			t.Errorf("%s: found in %d of %d replays, p95 after %s", c.name, lost, pathSeeds, ms(p95))
		case !c.real && lost > 0:
			t.Errorf("%s: lost in %d of %d replays", c.name, lost, pathSeeds)
		}
	}
}
