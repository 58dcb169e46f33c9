package registry_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const heartbeatInterval = time.Second

func instance(id string, sequence uint64, leaving bool) registry.Instance {
	return registry.Instance{ID: id, Service: "s", Address: "at " + id, Sequence: sequence, Leaving: leaving}
}

func ids(instances []registry.Instance) []string {
	out := []string{}
	for _, in := range instances {
		out = append(out, in.ID)
	}
	return out
}

// A late heartbeat restores neither an older state nor an instance that left.
func TestNewestSequenceWins(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	r.RecordHeartbeat(instance("x", 2, true), now)
	r.RecordHeartbeat(instance("x", 1, false), now)
	if diff := cmp.Diff(true, r.Since(0)[0].Leaving); diff != "" {
		t.Error(diff)
	}
	r.Leave(registry.Incarnation{ID: "x"}, now)
	r.RecordHeartbeat(instance("x", 3, false), now)
	r.Leave(registry.Incarnation{ID: "never seen"}, now)
	r.RecordHeartbeat(instance("never seen", 1, false), now)
	for _, report := range r.Since(0) {
		if !report.Left {
			t.Errorf("%s came back", report.ID)
		}
	}
}

func TestOnlyChangesAreReported(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	r.RecordHeartbeat(instance("x", 1, false), now)
	lastChange := r.Change()
	r.RecordHeartbeat(instance("x", 2, false), now)
	if diff := cmp.Diff(0, len(r.Since(lastChange))); diff != "" {
		t.Error(diff)
	}
	r.RecordHeartbeat(instance("x", 3, true), now)
	if diff := cmp.Diff(1, len(r.Since(lastChange))); diff != "" {
		t.Error(diff)
	}
}

// A heartbeat that was sent before a load ended does not undo the version that the load brought.
func TestLateHeartbeatDoesNotUndoLoad(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	withVersion := func(sequence, version uint64) registry.Instance {
		in := instance("x", sequence, false)
		in.Weights = map[string]uint64{"m": version}
		return in
	}
	r.RecordHeartbeat(withVersion(1, 1), now)
	if !r.RecordQueriedWeights(withVersion(1, 1), "m", 2, now) {
		t.Error("a new version is not reported as a change")
	}
	r.RecordHeartbeat(withVersion(2, 1), now)
	if diff := cmp.Diff(uint64(2), r.Since(0)[0].Weights["m"]); diff != "" {
		t.Error(diff)
	}
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	merge(&m, "c1", now, r.Since(0)...)
	merge(&m, "c2", now, registry.Report{Instance: withVersion(3, 1)})
	if diff := cmp.Diff(uint64(2), m.Live(now)[0].Weights["m"]); diff != "" {
		t.Error(diff)
	}
}

// An engine may have older weights again, as after a load order that is carried out late. The older version
// is accepted at once from consecutive heartbeats. After a query it is accepted from a heartbeat only after
// some seconds, as the heartbeat may have been sent before. A later query takes precedence again.
func TestWeightsDowngradeIsAccepted(t *testing.T) {
	now := time.Unix(0, 0)
	withVersion := func(sequence, version uint64) registry.Instance {
		in := instance("x", sequence, false)
		in.Weights = map[string]uint64{"m": version}
		return in
	}
	one, two := registry.Registry{SilentAfter: time.Hour}, registry.Registry{SilentAfter: time.Hour}
	m := registry.Merged{Grace: time.Hour}
	at := func(after time.Duration) uint64 {
		merge(&m, "c1", now.Add(after), one.Since(0)...)
		merge(&m, "c2", now.Add(after), two.Since(0)...)
		return m.Live(now.Add(after))[0].Weights["m"]
	}
	one.RecordHeartbeat(withVersion(1, 2), now)
	got := []uint64{at(0)}
	one.RecordHeartbeat(withVersion(2, 1), now.Add(time.Second))
	got = append(got, at(time.Second))
	one.RecordQueriedWeights(withVersion(2, 1), "m", 2, now.Add(2*time.Second))
	got = append(got, at(2*time.Second))
	// The second registry receives the engine's first heartbeat, and does not know of the query.
	two.RecordHeartbeat(withVersion(3, 1), now.Add(3*time.Second))
	got = append(got, at(3*time.Second), at(6*time.Second), at(8*time.Second))
	one.RecordQueriedWeights(withVersion(3, 1), "m", 2, now.Add(9*time.Second))
	got = append(got, at(9*time.Second), at(20*time.Second))
	if diff := cmp.Diff([]uint64{2, 1, 2, 2, 2, 1, 2, 2}, got); diff != "" {
		t.Error(diff)
	}
}

// A crashed incarnation does not sign off; the next one at its address replaces it at once.
func TestSuccessorTakesAddressOfCrashedIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	old, next := instance("z old", 7, false), instance("a next", 1, false)
	next.Address = old.Address
	merge(&m, "c1", now, registry.Report{Instance: old})
	merge(&m, "c2", now, registry.Report{Instance: next})
	merge(&m, "c1", now, registry.Report{Instance: old})
	if diff := cmp.Diff([]string{"a next"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
}

// A process that starts late learns of the incarnations at an address in any order, and some control
// instances may have known the successor for longer than others have known its predecessor.
func TestAddressOwnerDoesNotDependOnReportOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	old, next := instance("old", 70, false), instance("next", 3, false)
	next.Address = old.Address
	ago := func(seconds int) time.Time { return now.Add(-time.Duration(seconds) * time.Second) }
	gone := registry.Report{Instance: old, Silent: true, FirstSeen: ago(60)}
	lately := registry.Report{Instance: old, FirstSeen: ago(2)}
	lives := registry.Report{Instance: next, FirstSeen: ago(9)}
	for name, order := range map[string][]registry.Report{
		"gone last":                     {lives, gone},
		"gone first":                    {gone, lives},
		"gone last, and back from late": {lives, lately, gone},
	} {
		m := registry.Merged{Grace: 4 * heartbeatInterval}
		for i, r := range order {
			merge(&m, fmt.Sprint("c", i), now, r)
		}
		if diff := cmp.Diff([]string{"next"}, ids(m.Live(now))); diff != "" {
			t.Error(name, diff)
		}
	}
}

// Later heartbeats do not change the time at which an instance was first seen.
func TestFirstSeenIsKept(t *testing.T) {
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	first := time.Unix(50, 0)
	r.RecordHeartbeat(instance("x", 1, false), first)
	r.RecordHeartbeat(instance("x", 2, true), first.Add(heartbeatInterval))
	if diff := cmp.Diff(first, r.Since(0)[0].FirstSeen); diff != "" {
		t.Error(diff)
	}
}

// A restored instance that does not report itself falls silent after a while; one that left stays left.
func TestRestore(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	for _, report := range []registry.Report{
		{Instance: instance("reports", 3, false)}, {Instance: instance("is gone", 3, false)},
		{Instance: instance("left", 3, false), Left: true}, {Instance: instance("was silent", 3, false), Silent: true},
	} {
		r.Restore(report, now, 2*heartbeatInterval)
	}
	if n := len(r.Since(0)); n != 3 {
		t.Errorf("%d instances are known, want 3", n)
	}
	r.RecordHeartbeat(instance("reports", 4, false), now.Add(heartbeatInterval))
	r.RecordHeartbeat(instance("left", 4, false), now.Add(heartbeatInterval))
	var silent []string
	for _, in := range r.Sweep(now.Add(2*heartbeatInterval + 1)) {
		silent = append(silent, in.ID)
	}
	if diff := cmp.Diff([]string{"is gone"}, silent); diff != "" {
		t.Error(diff)
	}
	for _, report := range r.Since(0) {
		if report.ID == "left" && !report.Left {
			t.Error("an instance that left came back")
		}
	}
}

func TestSilenceAndReturn(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	r.RecordHeartbeat(instance("x", 1, false), now)
	if diff := cmp.Diff(0, len(r.Sweep(now.Add(4*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1, len(r.Sweep(now.Add(5*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
	r.RecordHeartbeat(instance("x", 2, false), now.Add(6*heartbeatInterval))
	if diff := cmp.Diff(false, r.Since(0)[0].Silent); diff != "" {
		t.Error(diff)
	}
}

func merge(m *registry.Merged, source string, now time.Time, reports ...registry.Report) {
	m.Merge(source, reports, now)
}

// An instance may switch to another control instance. Each control instance knows a part of the
// reports, and the newest report holds.
func TestMergedJoinsSources(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	merge(&m, "c1", now, registry.Report{Instance: instance("x", 1, false)}, registry.Report{Instance: instance("y", 1, false)})
	merge(&m, "c2", now, registry.Report{Instance: instance("x", 5, true)})
	merge(&m, "c1", now, registry.Report{Instance: instance("x", 4, false)})
	if diff := cmp.Diff([]string{"y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	// y switched to c2, so the missing heartbeats at c1 do not count.
	merge(&m, "c2", now, registry.Report{Instance: instance("y", 2, false)})
	merge(&m, "c1", now, registry.Report{Instance: instance("y", 1, false), Silent: true})
	if diff := cmp.Diff([]string{"y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	merge(&m, "c2", now, registry.Report{Instance: instance("y", 2, false), Silent: true})
	if diff := cmp.Diff([]string{}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
}

// When a source comes back without state, its instances are kept until a few heartbeats have been missed.
func TestDroppedSourceKeepsInstancesDuringGrace(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	merge(&m, "c1", now, registry.Report{Instance: instance("x", 1, false)}, registry.Report{Instance: instance("y", 1, false)})
	m.DropSource("c1", now)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now.Add(3*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
	merge(&m, "c1", now.Add(3*heartbeatInterval), registry.Report{Instance: instance("x", 2, false)})
	if diff := cmp.Diff([]string{"x"}, ids(m.Live(now.Add(5*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
}

// The reports of a restarted source that it has not sent again hold until it has sent everything.
func TestSourceResync(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	report := func(id string, silent bool) registry.Report {
		return registry.Report{Instance: instance(id, 1, false), Silent: silent}
	}
	merge(&m, "c1", now, report("x", false), report("y", false), report("z", false))
	m.BeginResync("c1")
	merge(&m, "c1", now, report("x", false), report("z", true))
	now = now.Add(60 * heartbeatInterval)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	m.EndResync("c1", now)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now.Add(3*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"x"}, ids(m.Live(now.Add(5*heartbeatInterval)))); diff != "" {
		t.Error(diff)
	}
}

// Reports are listed in the order of their newest changes, in either direction.
func TestReportsAreListedInOrder(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	for _, id := range []string{"x", "y", "z"} {
		r.RecordHeartbeat(instance(id, 1, false), now)
	}
	r.RecordHeartbeat(instance("x", 2, true), now)
	list := func(reports iter.Seq2[uint64, registry.Report]) []string {
		out := []string{}
		for change, report := range reports {
			out = append(out, fmt.Sprint(report.ID, change))
		}
		return out
	}
	if diff := cmp.Diff([]string{"z3", "x4"}, list(r.After(2))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"z3", "y2"}, list(r.UpTo(3))); diff != "" {
		t.Error(diff)
	}
	r.Leave(registry.Incarnation{ID: "z"}, now)
	r.Sweep(now.Add(2 * time.Minute))
	for _, report := range r.Since(0) {
		if report.ID == "z" || !report.Silent {
			t.Errorf("%+v is listed", report)
		}
	}
}
