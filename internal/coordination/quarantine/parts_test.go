package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

const (
	// partEnds is after how many ends a deadly part must be known, and leastBegun the least share of sound prompts
	// with its first part that must not be held meanwhile.
	partEnds   = 5
	leastBegun = 0.95
	// roots is how many first parts the prompts have, and middles how many parts follow these.
	roots, middles = 4, 40
)

func part(kind string, n uint64) quarantine.Digest {
	return quarantine.PartDigestOf("", "m", fmt.Sprint(kind, n))
}

// sendPrompts schedules sound prompts, no two alike, of which all share their parts with others.
func (r *replay) sendPrompts(interval time.Duration) {
	r.every(interval, func() {
		r.send(&request{
			digest: digestOf(r.random.Uint64()), parts: []quarantine.Digest{part("root", r.random.Uint64N(roots)), part("middle", r.random.Uint64N(middles))},
			took: 50*time.Millisecond + r.exponential(200*time.Millisecond),
		})
	})
}

// sendDeadlyPart schedules prompts, no two alike, of which one part ends the instance that begins to answer.
func (r *replay) sendDeadlyPart(n uint64, interval time.Duration) quarantine.Digest {
	d := part("deadly", n)
	r.every(interval, func() {
		r.send(&request{digest: digestOf(r.random.Uint64()), parts: []quarantine.Digest{part("root", r.random.Uint64N(roots)), part("middle", r.random.Uint64N(middles)), d}, deadly: &d})
	})
	return d
}

// laterPartSends counts the sends of a deadly part that reached instances after all entries must know of it.
func (r *replay) laterPartSends(d quarantine.Digest) int {
	if len(r.deaths[d]) < partEnds {
		return 0
	}
	later := 0
	for _, sent := range r.sends[d] {
		if sent.After(r.deaths[d][partEnds-1].Add(propagationTime)) {
			later++
		}
	}
	return later
}

type partDay struct {
	name     string
	deadly   []time.Duration
	trouble  func(r *replay)
	interval time.Duration
}

// Guards against prompts with one part in common that end one instance after the other, beside sound prompts with all
// their other parts: often and seldom, several parts at once, beside a deadly request, and amid losses of power,
// refusing cuts, closed connections and restarted entries.
func TestDeadlyPartsAmongSoundPrompts(t *testing.T) {
	const ms = time.Millisecond
	days := []partDay{
		{name: "a third of all prompts", deadly: []time.Duration{20 * ms}, interval: 10 * ms},
		{name: "some a second", deadly: []time.Duration{300 * ms}, interval: 10 * ms},
		{name: "one of a hundred", deadly: []time.Duration{time.Second}, interval: 10 * ms},
		{name: "three parts", deadly: []time.Duration{300 * ms, 300 * ms, 2 * time.Second}, interval: 10 * ms},
		{name: "a deadly request as well", deadly: []time.Duration{300 * ms}, interval: 10 * ms, trouble: func(r *replay) { r.sendPoison(1<<62, 300*ms) }},
		{name: "other failures", deadly: []time.Duration{300 * ms}, interval: 10 * ms, trouble: func(r *replay) {
			r.every(5*time.Second, func() { r.powerFailure(1) })
			r.every(20*time.Second, func() { r.powerFailure(10) })
			r.every(20*time.Second, func() { r.partition(7, 3*time.Second) })
			r.every(200*ms, func() { r.dropConnections(20) })
			r.every(15*time.Second, r.restartEntry)
		}},
		{name: "no deadly part, other failures", interval: 10 * ms, trouble: func(r *replay) {
			r.every(3*time.Second, func() { r.powerFailure(2) })
			r.every(10*time.Second, func() { r.powerFailure(10) })
			r.every(15*time.Second, r.restartEntry)
		}},
	}
	for _, c := range days {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				r, parts := playParts(seed, c, newBook)
				for _, d := range parts {
					later := r.laterPartSends(d)
					t.Logf("seed %d: %d ends, %d sends, %d of them later; %d served, %d held", seed, len(r.deaths[d]), len(r.sends[d]), later, r.served, r.held)
					if later > maxLaterSends {
						t.Errorf("seed %d: %d sends %s after the fifth end", seed, later, propagationTime)
					}
				}
				if share := float64(r.served) / float64(r.served+r.held); share < leastBegun {
					t.Errorf("seed %d: %d prompts served, %d held", seed, r.served, r.held)
				}
			}
		})
	}
}

func playParts(seed uint64, c partDay, newDecider func(uint64) decider) (r *replay, parts []quarantine.Digest) {
	r = newReplay(seed, func(entry int) decider { return newDecider(uint64(entry) * 0x9e3779b97f4a7c15) })
	r.sendPrompts(c.interval)
	r.play(5 * time.Second)
	for n, interval := range c.deadly {
		parts = append(parts, r.sendDeadlyPart(uint64(n), interval))
	}
	if c.trouble != nil {
		c.trouble(r)
	}
	r.play(day)
	return r, parts
}

// Guards against a replay that accepts any judgement: without evidence over parts the sends go on.
func TestReplayRejectsJudgementByRequestsOnly(t *testing.T) {
	c := partDay{deadly: []time.Duration{300 * time.Millisecond}, interval: 10 * time.Millisecond}
	r, parts := playParts(1, c, func(seed uint64) decider { return onlyRequests{quarantine.New(seed)} })
	if later := r.laterPartSends(parts[0]); later <= maxLaterSends {
		t.Errorf("%d sends later", later)
	}
}

// Guards against a part of one kind of request that is taken for that of another: by model, and by team if the team shares none.
func TestPartDigestsDiffer(t *testing.T) {
	digests := map[quarantine.Digest]bool{}
	for _, f := range [][3]string{{"", "m", "a"}, {"", "m", "b"}, {"", "n", "a"}, {"team", "m", "a"}, {"", "ma", ""}, {"m", "a", ""}} {
		digests[quarantine.PartDigestOf(f[0], f[1], f[2])] = true
	}
	digests[quarantine.DigestOf("", []string{"m"}, []byte("a"))] = true
	if len(digests) != 7 {
		t.Errorf("%d digests of 7 subjects", len(digests))
	}
}

// Guards against a try of a held digest that is counted though another digest of the same request held it back, and
// against a verdict by the wrong digest.
func TestStrictestVerdictHolds(t *testing.T) {
	book := quarantine.New(1)
	ends := func(n uint64, from, to int) {
		for i := from; i < to; i++ {
			f := end(fmt.Sprint(i), float64(i)).(quarantine.InstanceEnded)
			f.Digest = digestOf(n)
			book.Merge(f)
		}
	}
	ends(1, 0, 3)
	ends(2, 3, 9)
	subjects := []quarantine.Digest{digestOf(1), digestOf(2), digestOf(3)}
	now := at(1000)
	verdict, cause := book.Decide(subjects, 1, now)
	if diff := cmp.Diff([]string{"quarantine.Hold", digestOf(2).String()}, []string{fmt.Sprintf("%T", verdict), cause.String()}); diff != "" {
		t.Error(diff)
	}
	verdict, cause = book.Decide([]quarantine.Digest{digestOf(3), digestOf(1)}, 1, now)
	if diff := cmp.Diff([]string{"quarantine.SendAlone", digestOf(1).String()}, []string{fmt.Sprintf("%T", verdict), cause.String()}); diff != "" {
		t.Error(diff)
	}
}
