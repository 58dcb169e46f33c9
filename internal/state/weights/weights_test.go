package weights_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/state/weights"
)

var (
	start = time.Unix(1000, 0)
	bound = weights.GracePolicy{Period: 10 * time.Second}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func named(version uint64, seconds int) weights.Announcement {
	return weights.Announcement{Version: version, At: at(seconds)}
}

// Each version is required from its own bound on, also while a newer one is within its own.
func TestEachVersionHasItsOwnBound(t *testing.T) {
	h := weights.History{}.Announce(named(2, 0)).Announce(named(3, 5))
	got := map[int]uint64{}
	for _, second := range []int{0, 9, 10, 14, 15, 100} {
		got[second] = h.Required(at(second), bound)
	}
	if diff := cmp.Diff(map[int]uint64{0: 0, 9: 0, 10: 2, 14: 2, 15: 3, 100: 3}, got); diff != "" {
		t.Error(diff)
	}
	for version, want := range map[uint64]time.Time{1: at(10), 2: at(15)} {
		if end, ok := h.AllowedUntil(version, bound); !ok || !end.Equal(want) {
			t.Errorf("version %d may begin until %v, %v", version, end, ok)
		}
	}
	if end, ok := h.AllowedUntil(3, bound); ok {
		t.Errorf("the newest may begin until %v", end)
	}
}

// What several processes know joins to the earliest time of each version, in any order.
func TestTheEarliestTimeHolds(t *testing.T) {
	one := weights.History{}.Announce(named(2, 3)).Announce(named(3, 8))
	two := weights.History{}.Announce(named(2, 1)).Announce(named(3, 9))
	want := weights.History{}.Announce(named(2, 1)).Announce(named(3, 8))
	for _, got := range []weights.History{one.Merge(two), two.Merge(one)} {
		if diff := cmp.Diff(want.Announcements(), got.Announcements()); diff != "" {
			t.Error(diff)
		}
	}
}

// A version whose bound is certainly over is required at any time, also by one who has just
// begun to count.
func TestWhatIsDueStaysRequired(t *testing.T) {
	h := weights.History{}.Announce(named(3, 50)).Enforce(2)
	if diff := cmp.Diff(uint64(2), h.Required(at(50), bound)); diff != "" {
		t.Error(diff)
	}
	if _, known := h.Enforce(3).NewestAnnouncedAt(); known || h.Enforce(3).Newest() != 3 {
		t.Error("version 3 is the newest, and its time says nothing any more")
	}
	if end, ok := h.AllowedUntil(1, bound); !ok || end.After(at(0)) {
		t.Errorf("version 1 may begin until %v, %v", end, ok)
	}
}

// Who was out of reach of the control log has the whole time once more, also for a version that
// is due for others; and while it is out of reach, it goes on with what there is.
func TestOutOfReachCountsAnew(t *testing.T) {
	h := weights.History{}.Announce(named(3, 0)).Enforce(2)
	paused := bound
	paused.Unreachable = true
	if _, ends := h.AllowedUntil(1, paused); ends || h.Required(at(50), paused) != 0 {
		t.Error("something is required of who is cut off")
	}
	since := bound
	since.LastUnreachable = at(50)
	got := map[int]uint64{}
	for _, second := range []int{50, 59, 60} {
		got[second] = h.Required(at(second), since)
	}
	if diff := cmp.Diff(map[int]uint64{50: 0, 59: 0, 60: 3}, got); diff != "" {
		t.Error(diff)
	}
	if end, _ := h.AllowedUntil(1, since); !end.Equal(at(60)) {
		t.Errorf("version 1 may begin until %v", end)
	}
}

// Without a bound, only what is certainly due is required.
func TestWithoutABoundOnlyMarksCount(t *testing.T) {
	h := weights.History{}.Announce(named(3, 0)).Enforce(2)
	if diff := cmp.Diff(uint64(2), h.Required(at(1000), weights.GracePolicy{})); diff != "" {
		t.Error(diff)
	}
	if _, ends := h.AllowedUntil(2, weights.GracePolicy{}); ends {
		t.Error("version 2 has an end")
	}
}

// However many versions are named, and in whatever order they are heard of, what is required
// never falls with time, and is never less than by the namings one by one.
func TestNothingIsForgottenTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h weights.History
		var all []weights.Announcement
		for range rapid.IntRange(1, 60).Draw(t, "namings") {
			n := named(rapid.Uint64Range(1, 80).Draw(t, "version"), rapid.IntRange(0, 60).Draw(t, "second"))
			all = append(all, n)
			h = h.Announce(n)
		}
		if len(h.Announcements()) > 16 {
			t.Fatalf("%d namings are kept", len(h.Announcements()))
		}
		before := uint64(0)
		for second := range 80 {
			required := h.Required(at(second), bound)
			for _, n := range all {
				if n.Version > required && !at(second).Before(n.At.Add(bound.Period)) {
					t.Fatalf("version %d is required at second %d, and %d only by the history", n.Version, second, required)
				}
			}
			if required < before {
				t.Fatalf("what is required falls from %d to %d", before, required)
			}
			before = required
		}
	})
}
