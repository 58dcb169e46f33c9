package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/control"
)

// testSave is the save of a part by a holder.
func testSave(part, holder string) keeping.Save {
	return keeping.Save{
		Store: "k:1", Part: keeping.Part{Salt: "s", ID: part}, Tokens: 100, Holder: holder, Request: "r-" + holder,
		Engine: registry.Incarnation{ID: "e", Start: 7}, EngineAddress: "e:1", Remaining: 3 * time.Second,
	}
}

// What is known of open stores and of saves under way survives the loss of all replicas, both in the log and in a snapshot, and
// a leader reads all of it in its first read after a restart.
func TestOpenStoresSurviveALossOfAllReplicas(t *testing.T) {
	cases := []struct {
		name          string
		snapshotBytes int64
	}{{"log", 0}, {"snapshot", 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := t.TempDir()
			run := func(t *testing.T, f func(context.Context, *control.Replica)) {
				folder, recovered, ledger, err := control.Open(path)
				if err != nil {
					t.Fatal(err)
				}
				r := &control.Replica{Folder: folder, RecoveredState: recovered, Ledger: ledger, SnapshotBytes: c.snapshotBytes}
				client := startAlone(t, r)
				await.Until(t, callTimeout, "the replica leads", func() bool { _, leads := r.Leading(); return leads })
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				f(ctx, r)
				if err := client.NameWeights(ctx, "m", 5); err != nil {
					t.Fatal(err)
				}
			}
			t.Run("before", func(t *testing.T) {
				run(t, func(ctx context.Context, r *control.Replica) {
					recorded, err := r.CommitSaves(ctx, []keeping.Save{testSave("a", "h1"), testSave("b", "h1")})
					if diff := cmp.Diff([]bool{true, true}, recorded); diff != "" || err != nil {
						t.Fatal(diff, err)
					}
					recorded, err = r.CommitSaves(ctx, []keeping.Save{testSave("a", "h2"), testSave("c", "h2")})
					if diff := cmp.Diff([]bool{false, true}, recorded); diff != "" || err != nil {
						t.Fatal(diff, err)
					}
					if err := r.CommitSaveEnds(ctx, []keeping.Save{testSave("a", "h2"), testSave("b", "h1")}); err != nil {
						t.Fatal(err)
					}
					if err := r.CommitSavesRecorded(ctx); err != nil {
						t.Fatal(err)
					}
					for _, epoch := range []uint64{6, 7} {
						if err := r.CommitOpenStore(ctx, "k:1", epoch); err != nil {
							t.Fatal(err)
						}
					}
				})
			})
			t.Run("after", func(t *testing.T) {
				run(t, func(ctx context.Context, r *control.Replica) {
					got, err := r.CommittedStores(ctx)
					if err != nil {
						t.Fatal(err)
					}
					want := keeping.Committed{OpenEpochs: map[string]uint64{"k:1": 7}, Weights: map[string]uint64{"m": 5}, Saves: []keeping.Save{testSave("a", "h1"), testSave("c", "h2")}, SavesRecorded: true}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Error(diff)
					}
				})
			})
		})
	}
}
