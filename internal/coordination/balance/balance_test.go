package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

var now = time.Unix(0, 0)

func instances(n int) []registry.Instance {
	var out []registry.Instance
	for i := range n {
		out = append(out, registry.Instance{ID: fmt.Sprint("i", i), Slots: 8, Weights: map[string]uint64{"m": 1}})
	}
	return out
}

// life is the incarnation of an instance that never started again.
func life(id string) registry.Incarnation { return registry.Incarnation{ID: id} }

func pick(t *testing.T, b *balance.Balancer, in []registry.Instance, w balance.PickInfo) string {
	t.Helper()
	got, ok := b.Pick(in, w, now)
	if !ok {
		t.Fatal("nothing was chosen")
	}
	return got.ID
}

// Entries that know nothing of each other choose the same place, and the loss of one
// instance moves only its own keys.
func TestKeysStayInPlace(t *testing.T) {
	all := instances(10)
	moved := 0
	for key := uint64(1); key <= 1000; key++ {
		a := pick(t, balance.New(1), all, balance.PickInfo{Key: key})
		b := pick(t, balance.New(2), all, balance.PickInfo{Key: key})
		if a != b {
			t.Fatalf("key %d: %s and %s", key, a, b)
		}
		without := pick(t, balance.New(1), all[1:], balance.PickInfo{Key: key})
		if a != "i0" && without != a {
			moved++
		}
	}
	if diff := cmp.Diff(0, moved); diff != "" {
		t.Error(diff)
	}
}

func TestHotKeySpreads(t *testing.T) {
	b := balance.New(1)
	used := map[string]int{}
	for range 40 {
		id := pick(t, b, instances(10), balance.PickInfo{Key: 7})
		b.Begin(registry.Instance{ID: id}, now)
		used[id]++
	}
	for id, n := range used {
		if n > 7 {
			t.Errorf("%s has %d of 40", id, n)
		}
	}
}

func TestUnreachedIsAvoidedForAWhile(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	b.Begin(registry.Instance{ID: "i0"}, now)
	b.End(life("i0"), balance.Result{Failed: true, Unreachable: true}, now)
	for range 20 {
		if id := pick(t, b, two, balance.PickInfo{}); id != "i1" {
			t.Fatalf("%s was chosen", id)
		}
	}
	if id := pick(t, b, two, balance.PickInfo{Tried: []registry.Incarnation{life("i1")}}); id != "i0" {
		t.Error("the only one left was not chosen")
	}
	if _, ok := b.Pick(two, balance.PickInfo{Tried: []registry.Incarnation{life("i0"), life("i1")}}, now); ok {
		t.Error("one that was tried was chosen again")
	}
}

// A slow instance, and one that fails a part of its requests while it is quick, get fewer.
func TestSickInstancesGetFewer(t *testing.T) {
	for name, sick := range map[string]balance.Result{
		"slow":    {Latency: time.Second},
		"failing": {Failed: true, Latency: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			b := balance.New(1)
			got := map[string]int{}
			for range 600 {
				id := pick(t, b, instances(3), balance.PickInfo{})
				got[id]++
				b.Begin(registry.Instance{ID: id}, now)
				result := balance.Result{Latency: 20 * time.Millisecond}
				if id == "i0" {
					result = sick
				}
				b.End(life(id), result, now)
			}
			if got["i0"] > 60 {
				t.Errorf("%v", got)
			}
		})
	}
}

// An instance that hangs takes no more requests until it says a word, whatever its health.
func TestSilentInstanceGetsNoMore(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	key := uint64(1)
	first := pick(t, b, two, balance.PickInfo{Key: key})
	b.Begin(registry.Instance{ID: first}, now)
	later := now.Add(2 * time.Second)
	got, _ := b.Pick(two, balance.PickInfo{Key: key}, later)
	if got.ID == first {
		t.Error("a silent instance was chosen")
	}
	b.RecordResponse(life(first), later)
	got, _ = b.Pick(two, balance.PickInfo{Key: key}, later)
	if diff := cmp.Diff(first, got.ID); diff != "" {
		t.Error(diff)
	}
	// One without requests has no reason to speak.
	b.End(life(first), balance.Result{Latency: time.Millisecond}, later)
	got, _ = b.Pick(two, balance.PickInfo{Key: key}, later.Add(time.Hour))
	if diff := cmp.Diff(first, got.ID); diff != "" {
		t.Error(diff)
	}
}

// Callers that leave say nothing of an instance: one that fails is not made sound by them.
func TestCallersThatLeaveSayNothing(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	for range 20 {
		b.Begin(two[0], now)
		b.End(life("i0"), balance.Result{Failed: true, Latency: 5 * time.Millisecond}, now)
		b.Begin(two[1], now)
		b.End(life("i1"), balance.Result{Latency: 20 * time.Millisecond}, now)
	}
	for range 100 {
		b.Begin(two[0], now)
		b.End(life("i0"), balance.Result{Canceled: true}, now)
	}
	for range 10 {
		if id := pick(t, b, two, balance.PickInfo{}); id != "i1" {
			t.Fatalf("%s was chosen", id)
		}
	}
}

func TestBusyOnlyWhenNothingElseIsLeft(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	w := balance.PickInfo{Busy: map[registry.Incarnation]bool{life("i0"): true}}
	if id := pick(t, b, two, w); id != "i1" {
		t.Error("a busy one was chosen")
	}
	if id := pick(t, b, two[:1], w); id != "i0" {
		t.Error("the only one was not chosen")
	}
}

func TestNewWeightsAreNotOverrun(t *testing.T) {
	b := balance.New(1)
	ten := instances(10)
	ten[3].Weights = map[string]uint64{"m": 2}
	got := 0
	for key := uint64(1); key <= 1000; key++ {
		if pick(t, b, ten, balance.PickInfo{Key: key, Model: "m", Weights: 2}) == "i3" {
			got++
		}
	}
	if got < 150 || got > 400 {
		t.Errorf("one of ten got %d of 1000", got)
	}
	for i := range 7 {
		ten[i].Weights = map[string]uint64{"m": 2}
	}
	for key := uint64(1); key <= 1000; key++ {
		id := pick(t, b, ten, balance.PickInfo{Key: key, Model: "m", Weights: 2})
		if id == "i7" || id == "i8" || id == "i9" {
			t.Fatalf("%s has old weights, and most have new ones", id)
		}
	}
}
