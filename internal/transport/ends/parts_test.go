package ends_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// Guards against parts of prompts that end instances and are never held, and against sound ones that are: those on
// which an answer has begun, in the attempt that broke or in another one since it was sent.
func TestPartsAreAccusedAndCleared(t *testing.T) {
	deadly, own, popular, seldom := quarantine.PartDigestOf("", "m", "deadly"), quarantine.PartDigestOf("", "m", "own"), quarantine.PartDigestOf("", "m", "popular"), quarantine.PartDigestOf("", "m", "seldom")
	tracker := newTracker()
	refuses := func(context.Context, registry.Instance) bool { return true }
	breaks := func(n int, begun bool, parts ...quarantine.Digest) {
		a := attempt(n, string(rune('a'+n)))
		a.Parts, a.Begun = parts, begun
		tracker.RecordBegun([]quarantine.Digest{popular})
		tracker.RecordBroken(context.Background(), a, refuses)
	}
	for n := range 3 {
		breaks(n, false, popular, deadly)
		breaks(n, false, seldom)
		breaks(n, true, own)
	}
	held := func(part quarantine.Digest) bool {
		verdict, status, done := tracker.Begin(digest(99), part)
		defer done()
		_, is := verdict.(quarantine.Hold)
		return is && status.Digest == part
	}
	got := map[string]bool{"deadly": held(deadly), "popular": held(popular), "own": held(own), "seldom": held(seldom)}
	if diff := cmp.Diff(map[string]bool{"deadly": true, "popular": false, "own": false, "seldom": true}, got); diff != "" {
		t.Error(diff)
	}
	await.Until(t, 20*time.Second, "a part is sent on which an answer has begun since", func() bool {
		tracker.RecordBegun([]quarantine.Digest{seldom})
		return !held(seldom)
	})
	var others ends.Tracker
	others.Entries, others.Metrics, others.Log = tracker.Entries, ends.NewMetrics(), tracker.Log
	facts, _ := tracker.Snapshot()
	others.Merge("a", facts)
	if verdict, _, _ := others.Begin(digest(98), popular, deadly); verdict == (quarantine.Send{}) {
		t.Error("another entry does not hold the part")
	}
	if verdict, _, _ := others.Begin(digest(97), popular, seldom); verdict != (quarantine.Send{}) {
		t.Errorf("another entry holds a part on which an answer has begun: %v", verdict)
	}
}
