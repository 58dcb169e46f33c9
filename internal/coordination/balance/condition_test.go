package balance_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// A caller was told to come back at any time when all instances rested or had as many requests as they
// take: it is told when the first of them takes one.
func TestHeldBackSaysHowLong(t *testing.T) {
	limited, tired := registry.Instance{ID: "limited", Slots: 4}, registry.Instance{ID: "tired", Slots: 4}
	both := []registry.Instance{limited, tired}
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name  string
		say   func(b *balance.Balancer)
		among []registry.Instance
		wish  balance.PickInfo
		want  balance.Backpressure
	}{
		{"a limit", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.Pick(both[:1], balance.PickInfo{}, at(0))
		}, both[:1], balance.PickInfo{}, balance.Limited{Remaining: 7 * time.Second}},
		{"a limit that was taken back", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.ClearLimit(limited.Incarnation(), at(1))
		}, both[:1], balance.PickInfo{}, nil},
		{"another entry's turn", func(b *balance.Balancer) { b.SetLimit(limited.Incarnation(), 0.5, at(0)) }, both[:1], balance.PickInfo{Entries: 300, Rank: 17}, balance.Limited{Remaining: 2 * time.Second}},
		{"rest", func(b *balance.Balancer) { b.SetRestUntil(tired.Incarnation(), at(5), at(0)) }, both[1:], balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"a shorter rest later", func(b *balance.Balancer) {
			b.SetRestUntil(tired.Incarnation(), at(5), at(0))
			b.SetRestUntil(tired.Incarnation(), at(4), at(1))
		}, both[1:], balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"the first of both", func(b *balance.Balancer) {
			b.SetLimit(limited.Incarnation(), 0.1, at(0))
			b.Pick(both[:1], balance.PickInfo{}, at(0))
			b.SetRestUntil(tired.Incarnation(), at(5), at(0))
		}, both, balance.PickInfo{}, balance.Resting{Remaining: 2 * time.Second}},
		{"one that was tried", func(b *balance.Balancer) { b.SetRestUntil(tired.Incarnation(), at(5), at(0)) }, both[1:], balance.PickInfo{Tried: []registry.Incarnation{tired.Incarnation()}}, nil},
		{"rest that is over", func(b *balance.Balancer) { b.SetRestUntil(tired.Incarnation(), at(3), at(0)) }, both[1:], balance.PickInfo{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New(1)
			c.say(b)
			_, ok := b.Pick(c.among, c.wish, at(3))
			if diff := cmp.Diff(c.want, b.Backpressure(c.among, c.wish, at(3))); diff != "" {
				t.Error(diff)
			}
			if tried := len(c.wish.Tried) > 0; ok != (c.want == nil && !tried) {
				t.Errorf("chosen: %v", ok)
			}
		})
	}
}

// A resting instance was chosen when nothing else was left, when the others were busy or failing, and by
// those that go on with a stream.
func TestRestIsKeptWhateverElseIsThere(t *testing.T) {
	tired, other := registry.Instance{ID: "tired", Slots: 4}, registry.Instance{ID: "other", Slots: 4}
	all := []registry.Instance{tired, other}
	those := func(in registry.Instance) map[registry.Incarnation]bool {
		return map[registry.Incarnation]bool{in.Incarnation(): true}
	}
	for name, w := range map[string]balance.PickInfo{
		"by wait": {}, "by key": {Key: 1}, "others busy": {Busy: those(other)}, "others failing": {Failing: those(other)},
		"itself failing, and to be tried": {Failing: those(tired), Retryable: true}, "others tried": {Tried: []registry.Incarnation{other.Incarnation()}},
	} {
		b := balance.New(1)
		b.SetRestUntil(tired.Incarnation(), now.Add(time.Second), now)
		for range 100 {
			if in, ok := b.Pick(all, w, now); ok && in.ID == tired.ID {
				t.Errorf("%s: chosen while it rests", name)
				break
			}
		}
	}
}

// A rest was forgotten with the load of an instance that is not used, as one that rests is not.
func TestRestOutlastsDisuse(t *testing.T) {
	tired := registry.Instance{ID: "tired", Slots: 4}
	b := balance.New(1)
	b.SetRestUntil(tired.Incarnation(), now.Add(time.Hour), now)
	for s := range 200 {
		at := now.Add(time.Duration(s) * time.Second)
		if _, ok := b.Pick([]registry.Instance{tired}, balance.PickInfo{}, at); ok {
			t.Fatalf("chosen after %d s", s)
		}
		b.Prune(at.Add(-time.Minute))
	}
	tired.Start = 1
	if _, ok := b.Pick([]registry.Instance{tired}, balance.PickInfo{}, now); !ok {
		t.Error("the next incarnation was not chosen")
	}
}

// An instance that had said in an answer that it will end was chosen again by whatever listed it as there:
// its own word holds for the incarnation, and the next one at the address is chosen.
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
		t.Errorf("a request is to wait for one that will end: %+v", held)
	}
	leaves.Start = 1
	_, ok := b.Pick([]registry.Instance{leaves}, balance.PickInfo{}, now)
	if diff := cmp.Diff([]bool{true, false, true}, append(got, ok)); diff != "" {
		t.Error(diff)
	}
}
