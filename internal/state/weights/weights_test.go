package weights_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/state/weights"
)

var (
	start  = time.Unix(1000, 0)
	policy = weights.GracePolicy{Period: 10 * time.Second}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func announcement(version uint64, seconds int) weights.Announcement {
	return weights.Announcement{Version: version, At: at(seconds)}
}

// Each version is required from the end of its own grace period, also while that of a newer one lasts.
func TestEachVersionHasItsOwnGracePeriod(t *testing.T) {
	h := weights.History{}.Announce(announcement(2, 0)).Announce(announcement(3, 5))
	got := map[int]uint64{}
	for _, second := range []int{0, 9, 10, 14, 15, 100} {
		got[second] = h.Required(at(second), policy)
	}
	if diff := cmp.Diff(map[int]uint64{0: 0, 9: 0, 10: 2, 14: 2, 15: 3, 100: 3}, got); diff != "" {
		t.Error(diff)
	}
	for version, want := range map[uint64]time.Time{1: at(10), 2: at(15)} {
		if end, ok := h.AllowedUntil(version, policy); !ok || !end.Equal(want) {
			t.Errorf("requests may begin on version %d until %v, %v", version, end, ok)
		}
	}
	if end, ok := h.AllowedUntil(3, policy); ok {
		t.Errorf("requests may begin on the newest version only until %v", end)
	}
}

// Merging histories keeps the earliest time of each version, in any order.
func TestMergeKeepsEarliestAnnouncement(t *testing.T) {
	one := weights.History{}.Announce(announcement(2, 3)).Announce(announcement(3, 8))
	two := weights.History{}.Announce(announcement(2, 1)).Announce(announcement(3, 9))
	want := weights.History{}.Announce(announcement(2, 1)).Announce(announcement(3, 8))
	for _, got := range []weights.History{one.Merge(two), two.Merge(one)} {
		if diff := cmp.Diff(want.Announcements(), got.Announcements()); diff != "" {
			t.Error(diff)
		}
	}
}

// A version whose grace period has certainly ended is required at any time, even if the process has only
// just learned of it.
func TestEnforcedVersionStaysRequired(t *testing.T) {
	h := weights.History{}.Announce(announcement(3, 50)).Enforce(2)
	if diff := cmp.Diff(uint64(2), h.Required(at(50), policy)); diff != "" {
		t.Error(diff)
	}
	if _, known := h.Enforce(3).NewestAnnouncedAt(); known || h.Enforce(3).Newest() != 3 {
		t.Error("version 3 is not the newest, or its announcement time is still reported")
	}
	if end, ok := h.AllowedUntil(1, policy); !ok || end.After(at(0)) {
		t.Errorf("requests may begin on version 1 until %v, %v", end, ok)
	}
}

// A process that could not reach the control log gets a full grace period afterwards, even for a version
// that is enforced elsewhere. While it cannot reach it, no version is required.
func TestUnreachableProcessGetsFullGracePeriod(t *testing.T) {
	h := weights.History{}.Announce(announcement(3, 0)).Enforce(2)
	unreachable := policy
	unreachable.Unreachable = true
	if _, ends := h.AllowedUntil(1, unreachable); ends || h.Required(at(50), unreachable) != 0 {
		t.Error("a version is required while the control log is unreachable")
	}
	reconnected := policy
	reconnected.LastUnreachable = at(50)
	got := map[int]uint64{}
	for _, second := range []int{50, 59, 60} {
		got[second] = h.Required(at(second), reconnected)
	}
	if diff := cmp.Diff(map[int]uint64{50: 0, 59: 0, 60: 3}, got); diff != "" {
		t.Error(diff)
	}
	if end, _ := h.AllowedUntil(1, reconnected); !end.Equal(at(60)) {
		t.Errorf("requests may begin on version 1 until %v", end)
	}
}

// Without a grace period, only the enforced version is required.
func TestWithoutGracePeriodOnlyEnforcedVersionIsRequired(t *testing.T) {
	h := weights.History{}.Announce(announcement(3, 0)).Enforce(2)
	if diff := cmp.Diff(uint64(2), h.Required(at(1000), weights.GracePolicy{})); diff != "" {
		t.Error(diff)
	}
	if _, ends := h.AllowedUntil(2, weights.GracePolicy{}); ends {
		t.Error("there is an end to requests on version 2")
	}
}

// For any number of announcements in any order, the required version never falls over time, and is never
// lower than each announcement on its own requires.
func TestBoundedHistoryRequiresNoLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h weights.History
		var all []weights.Announcement
		for range rapid.IntRange(1, 60).Draw(t, "announcements") {
			n := announcement(rapid.Uint64Range(1, 80).Draw(t, "version"), rapid.IntRange(0, 60).Draw(t, "second"))
			all = append(all, n)
			h = h.Announce(n)
		}
		if len(h.Announcements()) > 16 {
			t.Fatalf("%d announcements are kept", len(h.Announcements()))
		}
		before := uint64(0)
		for second := range 80 {
			required := h.Required(at(second), policy)
			for _, n := range all {
				if n.Version > required && !at(second).Before(n.At.Add(policy.Period)) {
					t.Fatalf("version %d is required at second %d, but the history requires only %d", n.Version, second, required)
				}
			}
			if required < before {
				t.Fatalf("the required version falls from %d to %d", before, required)
			}
			before = required
		}
	})
}
