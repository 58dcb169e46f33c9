package peers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// TestConflictingOwnersConverge starts two entries that do not know each other, so that both own
// every part of the directory. Each must answer from its own hints. After both join a third
// entry, one owner remains, and all entries must get the same hints, which may be empty.
func TestConflictingOwnersConverge(t *testing.T) {
	first, second := start(t, "e1", "d1"), start(t, "e2", "d1")
	keys := []prefix.Key{{1, 2, 3}}
	first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	second.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u2"})
	hint := func(upstream string) *placement.Hints {
		return &placement.Hints{Cached: []placement.CachedAt{{Upstream: upstream, Blocks: 1}}}
	}
	got := []*placement.Hints{first.hintsFor(keys), second.hintsFor(keys)}
	if diff := cmp.Diff([]*placement.Hints{hint("u1"), hint("u2")}, got); diff != "" {
		t.Fatal(diff)
	}
	third := start(t, "e3", "d1", first.Listener.Addr().String(), second.Listener.Addr().String())
	eventually(t, "all entries know each other", func() bool {
		return first.LiveInRegion() == 3 && second.LiveInRegion() == 3 && third.LiveInRegion() == 3
	})
	eventually(t, "all entries get the same hints", func() bool {
		a, b, c := first.hintsFor(keys), second.hintsFor(keys), third.hintsFor(keys)
		return cmp.Diff(a, b) == "" && cmp.Diff(b, c) == ""
	})
}
