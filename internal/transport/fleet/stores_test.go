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

// Removed parts must be forgotten after a while, and a poller that was away for longer must receive
// everything anew.
func TestRemovedPartsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The clock of a synctest bubble is that of package time.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, heartbeat, discardLogger)
		publish := func(ids ...string) {
			parts := map[keeping.Part]int{}
			for _, id := range ids {
				parts[keeping.Part{ID: id}] = 10
			}
			source.PublishStore("store", keeping.StoreContents{Parts: parts})
		}
		// ask returns the parts sent since the cursor of an answer: their tokens, and whether they
		// are all parts of the store.
		ask := func(since *wire.FleetResponse) (out *wire.FleetResponse, received map[string]int64, whole bool) {
			out, err := source.Watch(ctx, &wire.FleetRequest{Epoch: since.GetEpoch(), StoreChange: since.GetStoreChange()})
			if err != nil {
				t.Fatal(err)
			}
			received = map[string]int64{}
			for _, store := range out.Stores {
				whole = store.Whole
				for _, part := range store.Parts {
					received[part.Id] = part.Tokens
				}
			}
			return out, received, whole
		}
		publish("a", "b")
		first, _, _ := ask(nil)
		publish("b")
		second, received, whole := ask(first)
		if diff := cmp.Diff(map[string]int64{"a": 0}, received); diff != "" || whole {
			t.Error("right after the removal: ", whole, diff)
		}
		time.Sleep(time.Minute)
		publish("b", "c")
		_, received, whole = ask(second)
		if diff := cmp.Diff(map[string]int64{"c": 10}, received); diff != "" || whole {
			t.Error("poller that knew of the removal: ", whole, diff)
		}
		_, received, whole = ask(first)
		if diff := cmp.Diff(map[string]int64{"b": 10, "c": 10}, received); diff != "" || !whole {
			t.Error("poller with an expired cursor: ", whole, diff)
		}
	})
}

// Parts of stores must be sent as changes, and the newest contents of a store must win.
func TestStorePartsArePublished(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	part := func(id string) keeping.Part { return keeping.Part{Salt: "v1", ID: id} }
	publish := func(c *controlServer, until time.Duration, parts map[keeping.Part]int) {
		c.source.Load().PublishStore("store", keeping.StoreContents{Until: until, FreeTokens: 100, Parts: parts})
	}
	holds := func(want map[keeping.Part]int) func() bool {
		return func() bool { return cmp.Equal(want, f.View().Stores["store"].Parts) }
	}
	publish(a, 1*time.Second, map[keeping.Part]int{part("p"): 10, part("q"): 20})
	waitFor(t, "both parts are known", holds(map[keeping.Part]int{part("p"): 10, part("q"): 20}))
	publish(a, 2*time.Second, map[keeping.Part]int{part("q"): 20, part("r"): 30})
	waitFor(t, "the change is known", holds(map[keeping.Part]int{part("q"): 20, part("r"): 30}))
	publish(b, 3*time.Second, map[keeping.Part]int{part("s"): 40})
	waitFor(t, "the contents from the next leader are known", holds(map[keeping.Part]int{part("s"): 40}))
	if diff := cmp.Diff(3*time.Second, f.View().Stores["store"].Until); diff != "" {
		t.Error(diff)
	}
}

// Each store must have its own Until, and a store removed from the configuration must be forgotten,
// so that its Until does not advance.
func TestStoresHaveSeparateExpiryTimes(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	source := a.source.Load()
	ends := func() map[string]time.Duration {
		out := map[string]time.Duration{}
		for address, contents := range f.View().Stores {
			out[address] = contents.Until
		}
		return out
	}
	publish := func(address string, until time.Duration) {
		source.PublishStore(address, keeping.StoreContents{Until: until, Parts: map[keeping.Part]int{{ID: "p"}: 1}})
	}
	publish("x", 5*time.Second)
	publish("y", 2*time.Second)
	publish("z", 3*time.Second)
	waitFor(t, "all stores are known", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 5 * time.Second, "y": 2 * time.Second, "z": 3 * time.Second}, ends())
	})
	source.ForgetStore("z")
	publish("x", 6*time.Second)
	waitFor(t, "one store is forgotten, and one lags", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 6 * time.Second, "y": 2 * time.Second}, ends())
	})
	publish("z", 7*time.Second)
	waitFor(t, "the forgotten store is back", func() bool { return ends()["z"] == 7*time.Second })
}

// The loads that a source sent before it restarted must not stay in force, whatever its cursors
// are.
func TestLoadsAreDroppedWhenASourceRestarts(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	before := map[registry.Incarnation]balance.EngineLoad{{ID: "x"}: {Waiting: 7, Used: 60_000}}
	after := map[registry.Incarnation]balance.EngineLoad{{ID: "y"}: {Waiting: 2}}
	a.source.Load().PublishLoads(before, time.Second)
	waitFor(t, "the load is known", func() bool { return cmp.Equal(before, f.View().Loads) })
	a.restart()
	a.source.Load().PublishLoads(after, time.Second)
	waitFor(t, "only the new load is known", func() bool { return cmp.Equal(after, f.View().Loads) })
}

// A control instance that publishes no loads must not make those of the leader seem more recent.
func TestLoadsKeepTheirAge(t *testing.T) {
	leader, other := newControl(t), newControl(t)
	f := follow(t, leader, other)
	loads := map[registry.Incarnation]balance.EngineLoad{{ID: "x"}: {Used: 60_000}}
	leader.source.Load().PublishLoads(loads, time.Second)
	waitFor(t, "the load is known", func() bool { return cmp.Equal(loads, f.View().Loads) })
	receivedAt := f.View().LoadsAt
	other.restart()
	other.source.Load().Publish(ledger.Installed{}, map[string]uint64{"m": 9})
	waitFor(t, "an answer from the other source was applied", func() bool { return f.View().Weights["m"] == 9 })
	if diff := cmp.Diff(receivedAt, f.View().LoadsAt); diff != "" {
		t.Error(diff)
	}
}
