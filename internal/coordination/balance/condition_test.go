package balance_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// When all instances rested or were at their limits, callers got no usable retry delay. The delay
// must be the time until the first instance accepts a request.
func TestBackpressureHasRemainingTime(t *testing.T) {
	limited, resting := registry.Instance{ID: "limited", Slots: 4}, registry.Instance{ID: "resting", Slots: 4}
	both := []registry.Instance{limited, resting}
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name      string
		setUp     func(b *balance.Balancer)
		instances []registry.Instance
		info      balance.PickInfo
		want      balance.Backpressure
	}{
		{"a limit", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.Pick(both[:1], balance.PickInfo{}, at(0))
		}, both[:1], balance.PickInfo{}, balance.Limited{Remaining: 7 * time.Second}},
		{"a limit that was cleared", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.ClearLimit(limited.Incarnation(), at(1))
		}, both[:1], balance.PickInfo{}, nil},
		{"no quota for this entry", func(b *balance.Balancer) { b.SetLimit(limited.Incarnation(), 0.5, at(0)) }, both[:1], balance.PickInfo{Entries: 300, Rank: 17}, balance.Limited{Remaining: 2 * time.Second}},
		{"rest", func(b *balance.Balancer) { b.SetRestUntil(resting.Incarnation(), at(5), at(0)) }, both[1:], balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"an earlier end later", func(b *balance.Balancer) {
			b.SetRestUntil(resting.Incarnation(), at(5), at(0))
			b.SetRestUntil(resting.Incarnation(), at(4), at(1))
		}, both[1:], balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"the shorter of both", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.Pick(both[:1], balance.PickInfo{}, at(0))
			b.SetRestUntil(resting.Incarnation(), at(5), at(0))
		}, both, balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"an instance that was tried", func(b *balance.Balancer) { b.SetRestUntil(resting.Incarnation(), at(5), at(0)) }, both[1:], balance.PickInfo{Tried: []registry.Incarnation{resting.Incarnation()}}, nil},
		{"a rest that is over", func(b *balance.Balancer) { b.SetRestUntil(resting.Incarnation(), at(3), at(0)) }, both[1:], balance.PickInfo{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New(1)
			c.setUp(b)
			_, ok := b.Pick(c.instances, c.info, at(3))
			if diff := cmp.Diff(c.want, b.Backpressure(c.instances, c.info, at(3))); diff != "" {
				t.Error(diff)
			}
			if tried := len(c.info.Tried) > 0; ok != (c.want == nil && !tried) {
				t.Errorf("chosen: %v", ok)
			}
		})
	}
}

// A resting instance was chosen when there was no other, when the others were busy or failing, and
// to resume a stream.
func TestRestingInstanceIsNeverChosen(t *testing.T) {
	resting, other := registry.Instance{ID: "resting", Slots: 4}, registry.Instance{ID: "other", Slots: 4}
	all := []registry.Instance{resting, other}
	only := func(in registry.Instance) map[registry.Incarnation]bool {
		return map[registry.Incarnation]bool{in.Incarnation(): true}
	}
	for name, w := range map[string]balance.PickInfo{
		"by wait": {}, "by key": {Key: 1}, "others busy": {Busy: only(other)}, "others failing": {Failing: only(other)},
		"itself failing, and due for a probe": {Failing: only(resting), Retryable: true}, "others tried": {Tried: []registry.Incarnation{other.Incarnation()}},
	} {
		b := balance.New(1)
		b.SetRestUntil(resting.Incarnation(), now.Add(time.Second), now)
		for range 100 {
			if in, ok := b.Pick(all, w, now); ok && in.ID == resting.ID {
				t.Errorf("%s: chosen while it rests", name)
				break
			}
		}
	}
}

// A rest was dropped with the state of an unused instance; a resting instance is always unused.
func TestRestSurvivesPrune(t *testing.T) {
	resting := registry.Instance{ID: "resting", Slots: 4}
	b := balance.New(1)
	b.SetRestUntil(resting.Incarnation(), now.Add(time.Hour), now)
	for s := range 200 {
		at := now.Add(time.Duration(s) * time.Second)
		if _, ok := b.Pick([]registry.Instance{resting}, balance.PickInfo{}, at); ok {
			t.Fatalf("chosen after %d s", s)
		}
		b.Prune(at.Add(-time.Minute))
	}
	resting.Start = 1
	if _, ok := b.Pick([]registry.Instance{resting}, balance.PickInfo{}, now); !ok {
		t.Error("the next incarnation was not chosen")
	}
}

// An instance that had reported in an answer that it is about to stop was chosen again while other
// sources still listed it. The report must hold for the incarnation, and the next one at the
// address must be chosen.
func TestLeavingHoldsForTheIncarnation(t *testing.T) {
	leaves := registry.Instance{ID: "leaves", Slots: 4}
	b := balance.New(1)
	got := []bool{b.SetLeaving(leaves.Incarnation()), b.SetLeaving(leaves.Incarnation())}
	for s := range 200 {
		at := now.Add(time.Duration(s) * time.Second)
		if _, ok := b.Pick([]registry.Instance{leaves}, balance.PickInfo{}, at); ok {
			t.Fatalf("chosen after %d s", s)
		}
		b.Prune(at.Add(-time.Minute))
	}
	if held := b.Backpressure([]registry.Instance{leaves}, balance.PickInfo{}, now); held != nil {
		t.Errorf("a request waits for an instance that is about to stop: %+v", held)
	}
	leaves.Start = 1
	_, ok := b.Pick([]registry.Instance{leaves}, balance.PickInfo{}, now)
	if diff := cmp.Diff([]bool{true, false, true}, append(got, ok)); diff != "" {
		t.Error(diff)
	}
}

// Guards against the loss of a rest that an instance asked for right after a restart under its ID: the answer counted for
// the run before, whose state was dropped with the news of the new start.
func TestRestReportedBeforeTheNewStartIsKnown(t *testing.T) {
	before := registry.Instance{ID: "restarted", Slots: 4, Start: 1}
	after := before
	after.Start = 2
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	const second = 1000
	for _, c := range []struct {
		name string
		// listed is when the new start is first listed, asked when the answer arrives, and rest what it asks for.
		listed, asked, rest int
		// rests and free are when the instance must not be chosen, and when it must.
		rests []int
		free  int
	}{
		{"news after the answer", 2 * second, 1 * second, 4 * second, []int{1001, 2 * second, 4 * second}, 6 * second},
		{"news before the answer", 1 * second, 2 * second, 4 * second, []int{2001, 5 * second}, 7 * second},
		{"news long after the answer", 5 * second, 1 * second, 60 * second, []int{1001, 4 * second}, 6 * second},
		{"a long rest", 2 * second, 1 * second, 3600 * second, []int{1001, 2 * second, 30 * second}, 32 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New(1)
			chosen := func(ms int) bool {
				in := before
				if ms >= c.listed {
					in = after
				}
				_, ok := b.Pick([]registry.Instance{in}, balance.PickInfo{}, at(ms))
				return ok
			}
			for _, ms := range []int{0, c.listed, c.asked} {
				if ms <= c.asked && !chosen(ms) {
					t.Errorf("not chosen at %d ms", ms)
				}
			}
			b.SetRestUntil(before.Incarnation(), at(c.asked+c.rest), at(c.asked))
			for _, ms := range c.rests {
				if chosen(ms) {
					t.Errorf("chosen at %d ms", ms)
				}
			}
			if !chosen(c.free) {
				t.Errorf("not chosen at %d ms", c.free)
			}
		})
	}
}
