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

// incarnation returns the incarnation of an instance that has not restarted.
func incarnation(id string) registry.Incarnation { return registry.Incarnation{ID: id} }

func pick(t *testing.T, b *balance.Balancer, in []registry.Instance, w balance.PickInfo) string {
	t.Helper()
	got, ok := b.Pick(in, w, now)
	if !ok {
		t.Fatal("no instance was chosen")
	}
	return got.ID
}

// Balancers that share no state must choose the same instance for a key, and the loss of an
// instance must move only its own keys.
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

func TestUnreachableInstanceIsAvoided(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	b.Begin(registry.Instance{ID: "i0"}, now)
	b.End(incarnation("i0"), balance.Result{Failed: true, Unreachable: true}, now)
	for range 20 {
		if id := pick(t, b, two, balance.PickInfo{}); id != "i1" {
			t.Fatalf("%s was chosen", id)
		}
	}
	if id := pick(t, b, two, balance.PickInfo{Tried: []registry.Incarnation{incarnation("i1")}}); id != "i0" {
		t.Error("the only instance left was not chosen")
	}
	if _, ok := b.Pick(two, balance.PickInfo{Tried: []registry.Incarnation{incarnation("i0"), incarnation("i1")}}, now); ok {
		t.Error("an instance that was tried was chosen again")
	}
}

// An instance that is slow, or that fails some of its requests quickly, must get fewer requests.
func TestSlowAndFailingInstancesGetFewer(t *testing.T) {
	for name, faulty := range map[string]balance.Result{
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
					result = faulty
				}
				b.End(incarnation(id), result, now)
			}
			if got["i0"] > 60 {
				t.Errorf("%v", got)
			}
		})
	}
}

// An instance that hangs must get no more requests until it sends a response, whatever its health
// checks say.
func TestUnresponsiveInstanceIsAvoided(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	key := uint64(1)
	first := pick(t, b, two, balance.PickInfo{Key: key})
	b.Begin(registry.Instance{ID: first}, now)
	later := now.Add(2 * time.Second)
	got, _ := b.Pick(two, balance.PickInfo{Key: key}, later)
	if got.ID == first {
		t.Error("an unresponsive instance was chosen")
	}
	b.RecordResponse(incarnation(first), later)
	got, _ = b.Pick(two, balance.PickInfo{Key: key}, later)
	if diff := cmp.Diff(first, got.ID); diff != "" {
		t.Error(diff)
	}
	// An instance without requests in flight is not expected to respond.
	b.End(incarnation(first), balance.Result{Latency: time.Millisecond}, later)
	got, _ = b.Pick(two, balance.PickInfo{Key: key}, later.Add(time.Hour))
	if diff := cmp.Diff(first, got.ID); diff != "" {
		t.Error(diff)
	}
}

// Requests that callers cancel must not count as successes of a failing instance.
func TestCanceledRequestsDoNotCount(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	for range 20 {
		b.Begin(two[0], now)
		b.End(incarnation("i0"), balance.Result{Failed: true, Latency: 5 * time.Millisecond}, now)
		b.Begin(two[1], now)
		b.End(incarnation("i1"), balance.Result{Latency: 20 * time.Millisecond}, now)
	}
	for range 100 {
		b.Begin(two[0], now)
		b.End(incarnation("i0"), balance.Result{Aborted: true}, now)
	}
	for range 10 {
		if id := pick(t, b, two, balance.PickInfo{}); id != "i1" {
			t.Fatalf("%s was chosen", id)
		}
	}
}

func TestBusyInstanceIsLastResort(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	w := balance.PickInfo{Busy: map[registry.Incarnation]bool{incarnation("i0"): true}}
	if id := pick(t, b, two, w); id != "i1" {
		t.Error("a busy instance was chosen")
	}
	if id := pick(t, b, two[:1], w); id != "i0" {
		t.Error("the only instance was not chosen")
	}
}

func TestNewWeightsAreNotOverloaded(t *testing.T) {
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
		t.Errorf("the only instance with new weights got %d of 1000 requests", got)
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
