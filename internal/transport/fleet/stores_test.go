package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// What a store no longer holds is forgotten after a while, and a watcher that was away for
// longer is told everything anew.
func TestGonePartsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The time of a bubble is Go's.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, heartbeat, quiet)
		publish := func(ids ...string) {
			parts := map[keeping.Part]int{}
			for _, id := range ids {
				parts[keeping.Part{ID: id}] = 10
			}
			source.PublishStore("store", keeping.StoreContents{Parts: parts})
		}
		// ask returns the parts that are told behind a mark: their tokens, and whether they
		// are all that there are.
		ask := func(since *wire.FleetResponse) (out *wire.FleetResponse, told map[string]int64, whole bool) {
			out, err := source.Watch(ctx, &wire.FleetRequest{Epoch: since.GetEpoch(), StoreChange: since.GetStoreChange()})
			if err != nil {
				t.Fatal(err)
			}
			told = map[string]int64{}
			for _, store := range out.Stores {
				whole = store.Whole
				for _, part := range store.Parts {
					told[part.Id] = part.Tokens
				}
			}
			return out, told, whole
		}
		publish("a", "b")
		first, _, _ := ask(nil)
		publish("b")
		second, told, whole := ask(first)
		if diff := cmp.Diff(map[string]int64{"a": 0}, told); diff != "" || whole {
			t.Error("at once: ", whole, diff)
		}
		time.Sleep(time.Minute)
		publish("b", "c")
		_, told, whole = ask(second)
		if diff := cmp.Diff(map[string]int64{"c": 10}, told); diff != "" || whole {
			t.Error("who knew of it: ", whole, diff)
		}
		_, told, whole = ask(first)
		if diff := cmp.Diff(map[string]int64{"b": 10, "c": 10}, told); diff != "" || !whole {
			t.Error("who was away: ", whole, diff)
		}
	})
}

// Parts of stores come as what changed, and the newest word on a store holds.
func TestKeptPartsAreTold(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	part := func(id string) keeping.Part { return keeping.Part{Salt: "v1", ID: id} }
	publish := func(c *control, until time.Duration, parts map[keeping.Part]int) {
		c.source.Load().PublishStore("store", keeping.StoreContents{Until: until, FreeTokens: 100, Parts: parts})
	}
	holds := func(want map[keeping.Part]int) func() bool {
		return func() bool { return cmp.Equal(want, f.View().Stores["store"].Parts) }
	}
	publish(a, 1*time.Second, map[keeping.Part]int{part("p"): 10, part("q"): 20})
	wait(t, "both are known", holds(map[keeping.Part]int{part("p"): 10, part("q"): 20}))
	publish(a, 2*time.Second, map[keeping.Part]int{part("q"): 20, part("r"): 30})
	wait(t, "the change is known", holds(map[keeping.Part]int{part("q"): 20, part("r"): 30}))
	publish(b, 3*time.Second, map[keeping.Part]int{part("s"): 40})
	wait(t, "another leads now", holds(map[keeping.Part]int{part("s"): 40}))
	if diff := cmp.Diff(3*time.Second, f.View().Stores["store"].Until); diff != "" {
		t.Error(diff)
	}
}

// Each store has an end of its own, and one that is not part of the configuration any more
// is forgotten, so that its end does not move on.
func TestStoresHaveTheirOwnEnds(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	source := a.source.Load()
	ends := func() map[string]time.Duration {
		out := map[string]time.Duration{}
		for address, kept := range f.View().Stores {
			out[address] = kept.Until
		}
		return out
	}
	publish := func(address string, until time.Duration) {
		source.PublishStore(address, keeping.StoreContents{Until: until, Parts: map[keeping.Part]int{{ID: "p"}: 1}})
	}
	publish("x", 5*time.Second)
	publish("y", 2*time.Second)
	publish("z", 3*time.Second)
	wait(t, "all are known", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 5 * time.Second, "y": 2 * time.Second, "z": 3 * time.Second}, ends())
	})
	source.ForgetStore("z")
	publish("x", 6*time.Second)
	wait(t, "one is forgotten, and one lags", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 6 * time.Second, "y": 2 * time.Second}, ends())
	})
	publish("z", 7*time.Second)
	wait(t, "it is back", func() bool { return ends()["z"] == 7*time.Second })
}

// A source that began anew does not leave the loads of its earlier life in force, whatever
// its marks are.
func TestLoadsOfAnEarlierLife(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	before := map[registry.Incarnation]balance.EngineLoad{{ID: "x"}: {Waiting: 7, Used: 60_000}}
	after := map[registry.Incarnation]balance.EngineLoad{{ID: "y"}: {Waiting: 2}}
	a.source.Load().PublishLoads(before, time.Second)
	wait(t, "the load is known", func() bool { return cmp.Equal(before, f.View().Loads) })
	a.restart()
	a.source.Load().PublishLoads(after, time.Second)
	wait(t, "only the new one is", func() bool { return cmp.Equal(after, f.View().Loads) })
}

// A control instance that tells no loads does not make those of the leader look younger.
func TestLoadsKeepTheirAge(t *testing.T) {
	leader, other := newControl(t), newControl(t)
	f := follow(t, leader, other)
	loads := map[registry.Incarnation]balance.EngineLoad{{ID: "x"}: {Used: 60_000}}
	leader.source.Load().PublishLoads(loads, time.Second)
	wait(t, "the load is known", func() bool { return cmp.Equal(loads, f.View().Loads) })
	told := f.View().LoadsAt
	other.restart()
	other.source.Load().Publish(ledger.Installed{}, map[string]uint64{"m": 9})
	wait(t, "the other is heard again", func() bool { return f.View().Weights["m"] == 9 })
	if diff := cmp.Diff(told, f.View().LoadsAt); diff != "" {
		t.Error(diff)
	}
}
