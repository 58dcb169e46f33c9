package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// endsKnownWithin is how soon all entries must know of a request under which instances ended.
const endsKnownWithin = 3 * time.Second

var deadlyRequest = quarantine.DigestOf("team", []string{"/deadly"}, nil)

// startTracker starts an entry that follows some sources and tracks instance ends.
func startTracker(t *testing.T, name string, controls ...*controlServer) *ends.Tracker {
	t.Helper()
	tracker := &ends.Tracker{Entries: func() int { return 1 }, Metrics: ends.NewMetrics(), Log: discardLogger}
	followWith(t, name, tracker, controls...)
	return tracker
}

// recordEnd makes an entry observe that an instance ended under the deadly request.
func recordEnd(tracker *ends.Tracker, instance string) { recordEndOf(tracker, instance, time.Now()) }

// recordEndOf makes an entry observe that an instance ended under the deadly request that was sent at a time.
func recordEndOf(tracker *ends.Tracker, instance string, sent time.Time) {
	in := registry.Instance{ID: instance, Address: "at " + instance}
	tracker.RecordBroken(context.Background(), ends.Attempt{Request: "r", Digest: deadlyRequest, To: in, Sent: sent}, refusesConnections)
}

// recordSuccess makes an entry observe that the deadly request succeeded.
func recordSuccess(tracker *ends.Tracker) {
	tracker.RecordSuccess(ends.Attempt{Request: "r", Digest: deadlyRequest, To: registry.Instance{ID: "i-0"}, Sent: time.Now()})
}

// waitSuccess waits until an entry knows that the deadly request succeeded.
func waitSuccess(t *testing.T, tracker *ends.Tracker) {
	t.Helper()
	waitFor(t, "the other entry's success is known", func() bool {
		_, c, done := tracker.Begin(deadlyRequest)
		done()
		return !c.LastSuccess.IsZero()
	})
}

// isHeld reports whether an entry holds the deadly request.
func isHeld(tracker *ends.Tracker) bool {
	verdict, c, done := tracker.Begin(deadlyRequest)
	done()
	_, hold := verdict.(quarantine.Hold)
	return hold && c.Held
}

// waitHeld waits until an entry holds the deadly request, and checks how long that took.
func waitHeld(t *testing.T, what string, tracker *ends.Tracker, since time.Time) {
	t.Helper()
	waitFor(t, what, func() bool { return isHeld(tracker) })
	if took := time.Since(since); took > endsKnownWithin {
		t.Errorf("%s after %s", what, took)
	}
}

// Each of three entries observes one end, and all must learn of all three. Those without a common
// source learn of them through an entry that polls both sources, without a leader. An entry that
// starts must know them before it serves, and a source that restarts must receive them again.
func TestEndsAreKnownToAllEntries(t *testing.T) {
	left, right := newControl(t), newControl(t)
	a := startTracker(t, "a", left)
	b := startTracker(t, "b", left, right)
	c := startTracker(t, "c", right)
	began := time.Now()
	recordEnd(a, "i-1")
	recordEnd(b, "i-2")
	recordEnd(c, "i-3")
	for name, tracker := range map[string]*ends.Tracker{"a": a, "b": b, "c": c} {
		waitHeld(t, name+" knows of three ends", tracker, began)
	}

	out, err := left.source.Load().Watch(context.Background(), &wire.FleetRequest{})
	if diff := cmp.Diff(3, len(out.GetFacts())); diff != "" || err != nil {
		t.Error("facts in the first answer to an entry that starts: ", diff, err)
	}

	began = time.Now()
	left.restart()
	d := startTracker(t, "d", left)
	waitHeld(t, "an entry of the restarted source knows of three ends", d, began)
}

// A failure domain that is cut off must act on its own observations, and exchange facts with the
// others once it is connected again.
func TestPartitionedDomainMergesFacts(t *testing.T) {
	here, there := newControl(t), newControl(t)
	a, b := startTracker(t, "a", here), startTracker(t, "b", there)
	for _, instance := range []string{"i-1", "i-2", "i-3"} {
		recordEnd(a, instance)
	}
	if !isHeld(a) || isHeld(b) {
		t.Error("held by the entry that observed the ends, and by the other: ", isHeld(a), isHeld(b))
	}
	began := time.Now()
	startTracker(t, "between", here, there)
	waitHeld(t, "the other domain knows of three ends", b, began)
}

// Guards against a request that is held for an end before its success, because another entry saw the success.
func TestSuccessClearsRequestEverywhere(t *testing.T) {
	source := newControl(t)
	a, b := startTracker(t, "a", source), startTracker(t, "b", source)
	recordEnd(a, "i-1")
	recordSuccess(b)
	waitSuccess(t, a)
	recordEnd(a, "i-2")
	recordEnd(a, "i-3")
	if isHeld(a) {
		t.Error("a request is held because of an end before its success and two after it")
	}
}

// Guards against a popular request that is held after one event that ended many instances, because another entry saw its success.
func TestSuccessElsewhereOutweighsEndsAtOnce(t *testing.T) {
	source := newControl(t)
	a, b := startTracker(t, "a", source), startTracker(t, "b", source)
	recordSuccess(b)
	sent := time.Now()
	recordEndOf(a, "i-1", sent)
	waitSuccess(t, a)
	for _, instance := range []string{"i-2", "i-3", "i-4", "i-5"} {
		recordEndOf(a, instance, sent)
	}
	if isHeld(a) {
		t.Error("a request that succeeded is held because of five ends at once right after")
	}
}

// refusesConnections reports that an instance's address refuses connections.
func refusesConnections(context.Context, registry.Instance) bool { return true }

// All processes may lose power at once, so a control instance must publish the facts that it wrote
// to its file before the restart.
func TestFactsArePersisted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, discardLogger)
	first.Persist(life, path)
	now := time.Now()
	facts := []quarantine.Fact{quarantine.InstanceEnded{Digest: deadlyRequest, Incarnation: registry.Incarnation{ID: "i-1", Start: 1}, Address: "at i-1", Sent: now, At: now}}
	_, err := first.Tell(t.Context(), &wire.TellRequest{Facts: wire.FromFacts(facts, now)})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the file is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	next := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	next.Persist(t.Context(), path)
	out, err := next.Watch(t.Context(), &wire.FleetRequest{})
	if diff := cmp.Diff(1, len(out.GetFacts())); diff != "" || err != nil {
		t.Error("facts: ", diff, err)
	}
}
