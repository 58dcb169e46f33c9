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

// tracking starts an entry that follows some sources and tracks ends of instances.
func tracking(t *testing.T, name string, controls ...*control) *ends.Tracker {
	t.Helper()
	tracker := &ends.Tracker{Entries: func() int { return 1 }, Metrics: ends.NewMetrics(), Log: quiet}
	followWith(t, name, tracker, controls...)
	return tracker
}

// see has an entry see that an instance ended under the deadly request.
func see(tracker *ends.Tracker, instance string) {
	in := registry.Instance{ID: instance, Address: "at " + instance}
	tracker.RecordBroken(context.Background(), ends.Attempt{Request: "r", Digest: deadlyRequest, To: in, Sent: time.Now()}, refuses)
}

// holds reports whether an entry holds the deadly request.
func holds(tracker *ends.Tracker) bool {
	verdict, c, done := tracker.Begin(deadlyRequest)
	done()
	_, hold := verdict.(quarantine.Hold)
	return hold && c.Held
}

// known waits until an entry holds the deadly request, and checks how long that took.
func known(t *testing.T, what string, tracker *ends.Tracker, since time.Time) {
	t.Helper()
	wait(t, what, func() bool { return holds(tracker) })
	if took := time.Since(since); took > endsKnownWithin {
		t.Errorf("%s after %s", what, took)
	}
}

// Each of three entries sees one end, and all know of three: those that share no source learn by
// an entry between, without a leader. One that starts anew knows before it serves, and a source
// that does is told again.
func TestEndsAreKnownToAllEntries(t *testing.T) {
	left, right := newControl(t), newControl(t)
	a := tracking(t, "a", left)
	b := tracking(t, "b", left, right)
	c := tracking(t, "c", right)
	began := time.Now()
	see(a, "i-1")
	see(b, "i-2")
	see(c, "i-3")
	for name, tracker := range map[string]*ends.Tracker{"a": a, "b": b, "c": c} {
		known(t, name+" knows of three ends", tracker, began)
	}

	out, err := left.source.Load().Watch(context.Background(), &wire.FleetRequest{})
	if diff := cmp.Diff(3, len(out.GetFacts())); diff != "" || err != nil {
		t.Error("facts in the first answer to an entry that starts: ", diff, err)
	}

	began = time.Now()
	left.restart()
	d := tracking(t, "d", left)
	known(t, "an entry of a source that forgot all knows", d, began)
}

// A domain that is cut off goes by what it sees, and joins what it learned once it is back.
func TestDomainThatWasCutOffJoinsWhatItLearned(t *testing.T) {
	here, there := newControl(t), newControl(t)
	a, b := tracking(t, "a", here), tracking(t, "b", there)
	for _, instance := range []string{"i-1", "i-2", "i-3"} {
		see(a, instance)
	}
	if !holds(a) || holds(b) {
		t.Error("held where it was seen, and where it was not: ", holds(a), holds(b))
	}
	began := time.Now()
	tracking(t, "between", here, there)
	known(t, "the other domain knows", b, began)
}

// A good answer seen by one entry clears a request everywhere, whoever saw the ends.
func TestGoodAnswerClearsEverywhere(t *testing.T) {
	source := newControl(t)
	a, b := tracking(t, "a", source), tracking(t, "b", source)
	b.RecordSuccess(ends.Attempt{Request: "r", Digest: deadlyRequest, To: registry.Instance{ID: "i-0"}, Sent: time.Now()})
	see(a, "i-1")
	wait(t, "the other entry's answer is known", func() bool {
		_, c, done := a.Begin(deadlyRequest)
		done()
		return !c.LastSuccess.IsZero()
	})
	see(a, "i-2")
	see(a, "i-3")
	if holds(a) {
		t.Error("a request that came to a good end is held by ends that came at once")
	}
}

// refuses says that an instance's address refuses connections.
func refuses(context.Context, registry.Instance) bool { return true }

// All processes may lose power at once: a control instance tells what it had written down.
func TestFactsAreRemembered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, quiet)
	first.Persist(life, path)
	now := time.Now()
	facts := []quarantine.Fact{quarantine.InstanceEnded{Digest: deadlyRequest, Incarnation: registry.Incarnation{ID: "i-1", Start: 1}, Address: "at i-1", Sent: now, At: now}}
	_, err := first.Tell(t.Context(), &wire.TellRequest{Facts: wire.FromFacts(facts, now)})
	if err != nil {
		t.Fatal(err)
	}
	wait(t, "it is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	next := fleet.NewSource(t.Context(), heartbeat, quiet)
	next.Persist(t.Context(), path)
	out, err := next.Watch(t.Context(), &wire.FleetRequest{})
	if diff := cmp.Diff(1, len(out.GetFacts())); diff != "" || err != nil {
		t.Error("facts: ", diff, err)
	}
}
