package control_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/transport/control"
)

// What is known of open stores survives the loss of all replicas, both in the log and in a snapshot, and
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
					want := keeping.Committed{OpenEpochs: map[string]uint64{"k:1": 7}, Weights: map[string]uint64{"m": 5}}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Error(diff)
					}
				})
			})
		})
	}
}
