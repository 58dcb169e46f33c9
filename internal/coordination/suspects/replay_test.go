package suspects_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// judged is how often a control instance judges, and told how late entries know of it: they tell
	// what they saw together, and are told with the next news.
	judged = 200 * time.Millisecond
	told   = 250 * time.Millisecond
	// sickAfter is when instances begin to fail, sickFor for how long, and healthyFor for how long the
	// replay goes on after that.
	sickAfter  = time.Second
	sickFor    = 6 * time.Second
	healthyFor = 6 * time.Second
	// repeatable is the part of the requests that may run again elsewhere, and try sick instances.
	repeatable = 0.1
)

var start = time.Unix(0, 0)

// world is a fleet before a service of which some instances answer and fail, for a while.
type world struct {
	name               string
	entries, instances int
	// rate is how many requests a second there are in all, by teams of unequal size.
	rate float64
	sick int
	// sickShare is the part of its requests that a sick instance fails.
	sickShare float64
	// natural is the part of all requests that fail wherever they go.
	natural float64
	// hostile is the part of the requests that one team sends, always the same, which always fail.
	hostile float64
	// alone says that nobody tells anybody anything.
	alone bool
}

// judgement is what entries know from a time on.
type judgement struct {
	at      time.Duration
	failing map[registry.Incarnation]bool
}

// result is what became of the requests.
type result struct {
	// lost counts the requests that sick instances failed and that may not run again, and lostLate those of them later than a
	// second after they began to.
	lost, lostLate int
	// innocents counts, for each judgement, the instances left alone that are well.
	innocents int
	// back is the part of their usual requests that instances get at the end that were sick.
	back float64
}

func (w world) play(seed uint64) (out result) {
	random := rand.New(rand.NewPCG(seed, 7))
	var all []registry.Instance
	for n := range w.instances {
		all = append(all, registry.Instance{ID: fmt.Sprint("i", n), Service: "s", FailureDomain: fmt.Sprint("d", n%4), Slots: 8})
	}
	var boards []*balance.Balancer
	var collectors []*suspects.Collector
	for n := range uint64(w.entries) {
		boards = append(boards, balance.New(seed*1000+n))
		collectors = append(collectors, suspects.NewCollector())
	}
	book := suspects.New()
	known := map[registry.Incarnation]bool{}
	var coming []judgement
	judgeAt := judged
	got := 0
	length := sickAfter + sickFor + healthyFor
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / w.rate * float64(time.Second)) {
		clock := start.Add(at)
		for len(coming) > 0 && at >= coming[0].at {
			known = coming[0].failing
			coming = coming[1:]
		}
		for ; judgeAt <= at; judgeAt += judged {
			if w.alone {
				continue
			}
			for _, c := range collectors {
				book.Add(c.Drain(), start.Add(judgeAt))
			}
			next := map[registry.Incarnation]bool{}
			coming = append(coming, judgement{judgeAt + told, next})
			for _, of := range book.Ejected(w.entries, start.Add(judgeAt)) {
				next[of] = true
				if !w.first(of) {
					out.innocents++
				}
			}
		}
		e := random.IntN(w.entries)
		team := fmt.Sprint("t", random.IntN(1+random.IntN(12)))
		wish := balance.PickInfo{Key: random.Uint64() | 1, Failing: known, Entries: w.entries, Rank: e, Retryable: random.Float64() < repeatable}
		isHostile := random.Float64() < w.hostile
		if isHostile {
			wish.Key, team = 12345, "hostile"
		}
		in, ok := boards[e].Pick(all, wish, clock)
		if !ok {
			continue
		}
		collectors[e].RecordRequest("s", team, clock)
		boards[e].Begin(in, clock)
		boards[e].RecordResponse(in.Incarnation(), clock)
		ill := w.isSick(in.Incarnation(), at) && random.Float64() < w.sickShare
		failed := ill || isHostile || random.Float64() < w.natural
		boards[e].End(in.Incarnation(), balance.Result{Failed: failed, Latency: 60 * time.Millisecond}, clock)
		if failed {
			collectors[e].RecordFailure(in, team, w.instances, clock)
		}
		if ill && !wish.Retryable {
			out.lost++
			if at > sickAfter+time.Second {
				out.lostLate++
			}
		}
		if at > length-time.Second && w.first(in.Incarnation()) {
			got++
		}
	}
	out.back = float64(got) / (w.rate * float64(w.sick) / float64(w.instances))
	return out
}

// isSick reports whether an instance fails at a time; the first ones do.
func (w world) isSick(of registry.Incarnation, at time.Duration) bool {
	return w.first(of) && at >= sickAfter && at < sickAfter+sickFor
}

// first reports whether an instance is among those that fail for a while.
func (w world) first(of registry.Incarnation) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(of.ID, "i"))
	return err == nil && n < w.sick
}

// The pattern: a sixth of a service's instances say that they are well and fail all, before fleets of 8,
// 76 and 300 entries, of which each meets an instance every few seconds. All entries know within a
// second: of what would be lost in six seconds a quarter is at most (half among failures by nature), and
// then a request a second for each tries them until they are well. A route that fails by nature, a team that sends what always fails and a
// service that fails as a whole get no instance left alone. SHEDROCK_BENCH=1 prints the table.
func TestFailingInstancesAreLeftAlone(t *testing.T) {
	small := world{entries: 8, instances: 14, rate: 308, sick: 2, sickShare: 1}
	grown := world{entries: 76, instances: 112, rate: 1225, sick: 17, sickShare: 1}
	large := world{entries: 300, instances: 150, rate: 1650, sick: 22, sickShare: 1}
	var worlds []world
	for name, w := range map[string]world{"small": small, "grown": grown, "large": large} {
		with := func(what string, change func(*world)) {
			c := w
			c.name = name + ", " + what
			change(&c)
			worlds = append(worlds, c)
		}
		with("each by itself", func(c *world) { c.alone = true })
		with("all sick ones fail all", func(*world) {})
		with("sick ones fail half", func(c *world) { c.sickShare = 0.6 })
		with("a route fails by nature", func(c *world) { c.natural = 0.14 })
		with("a route fails by nature, none is sick", func(c *world) { c.natural, c.sick = 0.14, 0 })
		with("a hostile team", func(c *world) { c.hostile, c.sick = 0.1, 0 })
		with("half of all fail", func(c *world) { c.natural, c.sick = 0.5, 0 })
	}
	for _, w := range worlds {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			w.check(t)
		})
	}
}

func (w world) check(t *testing.T) {
	r := w.play(1)
	if os.Getenv("SHEDROCK_BENCH") != "" {
		fmt.Printf("%-50s lost %5d, later than a second %5d, innocents %3d, back %.2f\n", w.name, r.lost, r.lostLate, r.innocents, r.back)
	}
	// Among failures by nature it takes more of them to tell who is ill.
	part := 4.0
	if w.natural > 0 {
		part = 2
	}
	usual := (1 - repeatable) * w.rate * float64(w.sick) / float64(w.instances) * w.sickShare * sickFor.Seconds()
	if !w.alone && float64(r.lost) > usual/part {
		t.Errorf("%s: %d requests are lost, of %.0f that sick instances would fail", w.name, r.lost, usual)
	}
	if r.innocents > 0 {
		t.Errorf("%s: instances that are well are left alone %d times", w.name, r.innocents)
	}
	if !w.alone && w.sick > 0 && r.back < 0.6 {
		t.Errorf("%s: %.2f of their requests are back at the end", w.name, r.back)
	}
}
