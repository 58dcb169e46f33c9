package peers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// TestTwoOwnersDoNoHarm has two entries that do not know each other, and so both own
// every part: each answers from its own hints, and when they meet one owner remains,
// whose hints, or lack of them, are all that anybody sees.
func TestTwoOwnersDoNoHarm(t *testing.T) {
	first, second := start(t, "e1", "d1"), start(t, "e2", "d1")
	keys := []prefix.Key{{1, 2, 3}}
	first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	second.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u2"})
	hint := func(upstream string) *placement.Hints {
		return &placement.Hints{Cached: []placement.CachedAt{{Upstream: upstream, Blocks: 1}}}
	}
	got := []*placement.Hints{first.lookUp(keys), second.lookUp(keys)}
	if diff := cmp.Diff([]*placement.Hints{hint("u1"), hint("u2")}, got); diff != "" {
		t.Fatal(diff)
	}
	third := start(t, "e3", "d1", first.Listener.Addr().String(), second.Listener.Addr().String())
	eventually(t, "all know all", func() bool {
		return first.LiveInRegion() == 3 && second.LiveInRegion() == 3 && third.LiveInRegion() == 3
	})
	eventually(t, "all see the same", func() bool {
		a, b, c := first.lookUp(keys), second.lookUp(keys), third.lookUp(keys)
		return cmp.Diff(a, b) == "" && cmp.Diff(b, c) == ""
	})
}
