package fleet_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Guards against decisions requested from a former leader: an answer must contain the leader that the
// answering control instance knows, not one that was relayed from another, and of two that differ the one
// that was named last counts. A leader that only sources out of reach name must not be used.
func TestEntriesKnowTheLeader(t *testing.T) {
	controls := startRelayingControls(t, 2, 2, time.Hour)
	var entries []*fleet.Follower
	for i, c := range controls {
		entries = append(entries, startRelayedEntry(t, "e", c.domain, controls[i], nil))
	}
	named := func(what, leader string) {
		t.Helper()
		for _, f := range entries {
			waitFor(t, what, func() bool { return f.View().Leader == leader })
		}
	}
	for _, c := range controls {
		c.source.RecordHeartbeat(instance("i", 1))
	}
	for _, f := range entries {
		waitFor(t, "both sources answer", func() bool { return len(f.View().Control) == 2 && len(liveIDs(f)) == 1 })
	}
	named("a source of the previous build names no leader", "")
	controls[0].source.PublishLeader(true, "first:1")
	named("one source names the leader", "first:1")
	controls[1].source.PublishLeader(true, "second:1")
	named("the leader has changed", "second:1")
	controls[1].stop()
	named("the source that named the new leader is lost", "first:1")
	controls[0].source.PublishLeader(false, "")
	named("no source knows a leader", "")
}
