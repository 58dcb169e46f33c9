package directory_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Applies random operations to contexts and objects, and compares the blocks of each team and
// the order of eviction with a plain list.
func TestHeldFollowsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const contexts = 12
		d := directory.New(100)
		var order []int // contexts by last use, the least recent first
		stored := map[int]uint64{}
		use := func(n int) {
			order = append(slices.DeleteFunc(order, func(o int) bool { return o == n }), n)
		}
		team := func(n int) uint16 { return uint16(n % 3) }
		for step := range uint64(80) {
			n := rapid.IntRange(0, contexts-1).Draw(t, "context")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d.RecordRun(key(n+1), 1, 0, 1)
				use(n)
			case 1:
				d.RecordStored(key(n+1), prefix.Key{}, 1, team(n), directory.Object{Store: 1, Blocks: 1, Object: step + 1})
				stored[n] = step + 1
				use(n)
			case 2:
				d.DropObject(key(n + 1))
				delete(stored, n)
			case 3:
				guaranteed := map[uint16]int{0: 2}
				var got []uint64
				for _, o := range d.EvictLeastRecentlyUsed(1, 1, guaranteed) {
					got = append(got, o.Object)
				}
				var want []uint64
				if evicted, ok := leastRecentlyUsed(order, stored, team, guaranteed); ok {
					want = append(want, stored[evicted])
					delete(stored, evicted)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatal(diff)
				}
			}
			if diff := cmp.Diff(count(stored, team), d.BlocksByTeam(1)); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func count(stored map[int]uint64, team func(int) uint16) map[uint16]int {
	out := map[uint16]int{}
	for n := range stored {
		out[team(n)]++
	}
	return out
}

// leastRecentlyUsed returns the first context in the order of use whose team holds more than its guaranteed
// blocks.
func leastRecentlyUsed(order []int, stored map[int]uint64, team func(int) uint16, guaranteed map[uint16]int) (n int, ok bool) {
	held := count(stored, team)
	for _, n := range order {
		if _, ok := stored[n]; ok && held[team(n)] > guaranteed[team(n)] {
			return n, true
		}
	}
	return 0, false
}
