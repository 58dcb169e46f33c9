package returns_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/returns"
)

const (
	replayStep = 5 * time.Millisecond
	// poolRuns is how many prompts fit in the memory of all engines, and meanRun how long each takes
	// it: room for poolRuns/meanRun prompts a second appears when all memory is in use.
	poolRuns     = 200
	meanRun      = 2 * time.Second
	promptTokens = 12_000
	fixedWait    = 2 * time.Second
	// soonEnough is the time from the first attempt in which admission meets the objective, and
	// soonWait the longest wait with which a caller is back in that time.
	soonEnough = time.Second
	soonWait   = 750 * time.Millisecond
)

// load is a course of arrivals of requests of some urgencies: the rate as a multiple of the rate at which room appears, and the
// multiple during a burst from burstFrom on.
type load struct {
	name               string
	urgencies          int
	calm, burst        float64
	burstTime, allTime time.Duration
}

const burstFrom = 8 * time.Second

var loads = []load{
	{"burst of 2 s", 3, 0.7, 2.2, 2 * time.Second, 24 * time.Second},
	{"burst of 6 s", 3, 0.7, 2.2, 6 * time.Second, 24 * time.Second},
	{"burst of 16 s", 3, 0.7, 2.2, 16 * time.Second, 32 * time.Second},
}

// caller is a caller that sends a prompt once, and once more if that was refused.
type caller struct {
	n, urgency   int
	first, again time.Duration
	// left is the time until its deadline, and returns says whether it sends the prompt again.
	left            time.Duration
	returns         bool
	refused, served int
	after           time.Duration
}

// replay is a pool of memory before which callers are admitted or refused.
type replay struct {
	// line is nil if refused callers get one fixed wait; longest bounds the others' waits.
	line    *returns.Line
	longest time.Duration
	random  *rand.Rand
	ends    []time.Duration
	// again holds the refused callers.
	again, all []*caller
	// newcomer is when a request was last admitted at its first attempt, and overtaken counts those
	// that were refused on their return within 0.2 s after that.
	newcomer  time.Duration
	overtaken int
}

// simulate plays a load.
func simulate(l load, line *returns.Line, longest time.Duration, seed uint64) outcomes {
	r := &replay{line: line, longest: longest, random: rand.New(rand.NewPCG(seed, 1))}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); at < l.allTime; at += replayStep {
		r.release(at)
		r.comeBack(at)
		factor := l.calm
		if at >= burstFrom && at < burstFrom+l.burstTime {
			factor = l.burst
		}
		for expected := factor * poolRuns / meanRun.Seconds() * replayStep.Seconds(); arrivals.Float64() < expected; expected-- {
			c := &caller{n: len(r.all), urgency: arrivals.IntN(l.urgencies), first: at, left: time.Duration(5+arrivals.IntN(15)) * time.Second, returns: arrivals.IntN(10) > 0}
			r.all = append(r.all, c)
			r.try(c, false, at)
		}
	}
	return r.outcomes()
}

func (r *replay) release(at time.Duration) {
	left := slices.DeleteFunc(r.ends, func(end time.Duration) bool { return end <= at })
	if r.line != nil {
		for range len(r.ends) - len(left) {
			r.line.RecordRelease(promptTokens, start.Add(at))
		}
	}
	r.ends = left
}

func (r *replay) comeBack(at time.Duration) {
	var later []*caller
	for _, c := range r.again {
		if c.again > at {
			later = append(later, c)
			continue
		}
		r.try(c, r.line != nil && r.line.Due(digest(c.n), start.Add(at)), at)
	}
	r.again = later
}

func (r *replay) try(c *caller, due bool, at time.Duration) {
	free := (poolRuns - len(r.ends)) * promptTokens
	if !due && r.line != nil {
		free -= r.line.Reserved(c.urgency, start.Add(at))
	}
	if free >= promptTokens {
		c.served, c.after = c.refused+1, at-c.first
		r.ends = append(r.ends, at+time.Duration((0.5+r.random.Float64())*float64(meanRun)))
		if r.line != nil {
			r.line.Served(digest(c.n))
		}
		if c.refused == 0 {
			r.newcomer = at
		}
		return
	}
	c.refused++
	if c.refused == 2 {
		if at-r.newcomer <= 200*time.Millisecond {
			r.overtaken++
		}
		return
	}
	wait, most := fixedWait, (c.left-(at-c.first))/3
	if r.line != nil {
		wait = r.line.Refuse(digest(c.n), promptTokens, c.urgency, min(most, r.longest), start.Add(at))
	}
	if wait <= most && c.returns {
		c.again = at + wait + time.Duration(10+r.random.IntN(40))*time.Millisecond
		r.again = append(r.again, c)
	}
}

// outcomes sums up what became of the callers.
type outcomes struct {
	refused, overtaken int
	// served and early are shares of all callers, and onReturn the share of the refused ones that
	// were served on their return; early ones were served soonEnough. median and ninth are the times
	// from the first attempt of those served on return.
	served, early, onReturn float64
	median, ninth           time.Duration
}

func (r *replay) outcomes() (o outcomes) {
	o.overtaken = r.overtaken
	var waits []time.Duration
	served, early := 0, 0
	for _, c := range r.all {
		o.refused += min(c.refused, 1)
		if c.served > 0 {
			served++
			if c.after <= soonEnough {
				early++
			}
		}
		if c.served == 2 {
			waits = append(waits, c.after)
		}
	}
	slices.Sort(waits)
	all := float64(len(r.all))
	o.served, o.early, o.onReturn = float64(served)/all, float64(early)/all, float64(len(waits))/float64(max(o.refused, 1))
	if len(waits) > 0 {
		o.median, o.ninth = waits[len(waits)/2], waits[len(waits)*9/10]
	}
	return o
}

// Guards against returns that come in a second burst, as with one fixed Retry-After for all: more of
// the refused callers must be served on their return. Guards also against waits by which all callers
// are served late although as many could be served soon: with waits up to soonWait, more of all
// callers must be served soonEnough. SHEDROCK_BENCH=1 prints the table.
func TestReturnsAfterABurst(t *testing.T) {
	for _, l := range loads {
		for seed := range uint64(3) {
			show := func(name string, o outcomes) outcomes {
				if os.Getenv("SHEDROCK_BENCH") != "" {
					fmt.Printf("%-13s seed %d, %-14s refused %4d, of these served on return %.3f, after %v (median) %v (90%%); of all served %.3f, within %v %.3f\n",
						l.name, seed, name, o.refused, o.onReturn, o.median, o.ninth, o.served, soonEnough, o.early)
				}
				return o
			}
			fixed := show("fixed 2 s", simulate(l, nil, 0, seed))
			spread := show("up to 4 s", simulate(l, returns.New(), 4*time.Second, seed))
			soon := show("up to 0.75 s", simulate(l, returns.New(), soonWait, seed))
			if spread.onReturn < fixed.onReturn || spread.served < fixed.served {
				t.Errorf("%s: %+v, and with a fixed wait %+v", l.name, spread, fixed)
			}
			if soon.early < fixed.early {
				t.Errorf("%s: %+v, and with a fixed wait %+v", l.name, soon, fixed)
			}
		}
	}
}

// Guards against newcomers that get the room of requests that were refused before.
func TestNewcomersDoNotOvertakeReturns(t *testing.T) {
	oneUrgency := load{"one urgency", 1, 0.7, 2.2, 6 * time.Second, 24 * time.Second}
	for _, longest := range []time.Duration{soonWait, 4 * time.Second} {
		o := simulate(oneUrgency, returns.New(), longest, 1)
		if o.overtaken > 0 || o.onReturn == 0 {
			t.Errorf("waits up to %v: %d requests were overtaken, %.3f served on return", longest, o.overtaken, o.onReturn)
		}
	}
}
