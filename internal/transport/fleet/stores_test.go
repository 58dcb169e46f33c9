package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// What a store no longer holds is forgotten after a while, and a watcher that was away for
// longer is told everything anew.
func TestGonePartsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, heartbeat, quiet)
		publish := func(ids ...string) {
			parts := map[keeping.Part]int{}
			for _, id := range ids {
				parts[keeping.Part{ID: id}] = 10
			}
			source.PublishStore("store", fleet.Kept{Parts: parts})
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
