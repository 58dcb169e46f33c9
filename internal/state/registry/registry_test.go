package registry_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const beat = time.Second

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

// A heartbeat that comes late brings back neither an older state nor one that left.
func TestNewestSequenceWins(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
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

func TestOnlyChangesAreTold(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
	r.RecordHeartbeat(instance("x", 1, false), now)
	mark := r.Change()
	r.RecordHeartbeat(instance("x", 2, false), now)
	if diff := cmp.Diff(0, len(r.Since(mark))); diff != "" {
		t.Error(diff)
	}
	r.RecordHeartbeat(instance("x", 3, true), now)
	if diff := cmp.Diff(1, len(r.Since(mark))); diff != "" {
		t.Error(diff)
	}
}

// What a load brought is not taken back by a heartbeat that was sent before its end.
func TestWeightsOnlyRise(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
	with := func(sequence, version uint64) registry.Instance {
		in := instance("x", sequence, false)
		in.Weights = map[string]uint64{"m": version}
		return in
	}
	r.RecordHeartbeat(with(1, 1), now)
	if !r.RecordQueriedWeights(with(1, 1), "m", 2, now) {
		t.Error("a new version is no news")
	}
	r.RecordHeartbeat(with(2, 1), now)
	if diff := cmp.Diff(uint64(2), r.Since(0)[0].Weights["m"]); diff != "" {
		t.Error(diff)
	}
	m := registry.Merged{Grace: 4 * beat}
	take(&m, "c1", now, r.Since(0)...)
	take(&m, "c2", now, registry.Report{Instance: with(3, 1)})
	if diff := cmp.Diff(uint64(2), m.Live(now)[0].Weights["m"]); diff != "" {
		t.Error(diff)
	}
}

// An engine that has older weights again, as by an order that is carried out late, is believed
// to have them: at once by heartbeats that follow one another, and some seconds after it was
// asked, as a heartbeat may have been sent before. When it is asked once more, that holds.
func TestWeightsThatFellAreBelieved(t *testing.T) {
	now := time.Unix(0, 0)
	with := func(sequence, version uint64) registry.Instance {
		in := instance("x", sequence, false)
		in.Weights = map[string]uint64{"m": version}
		return in
	}
	one, two := registry.Registry{SilentAfter: time.Hour}, registry.Registry{SilentAfter: time.Hour}
	m := registry.Merged{Grace: time.Hour}
	at := func(after time.Duration) uint64 {
		take(&m, "c1", now.Add(after), one.Since(0)...)
		take(&m, "c2", now.Add(after), two.Since(0)...)
		return m.Live(now.Add(after))[0].Weights["m"]
	}
	one.RecordHeartbeat(with(1, 2), now)
	got := []uint64{at(0)}
	one.RecordHeartbeat(with(2, 1), now.Add(time.Second))
	got = append(got, at(time.Second))
	one.RecordQueriedWeights(with(2, 1), "m", 2, now.Add(2*time.Second))
	got = append(got, at(2*time.Second))
	// The second one hears the engine for the first time, and knows of no answer.
	two.RecordHeartbeat(with(3, 1), now.Add(3*time.Second))
	got = append(got, at(3*time.Second), at(6*time.Second), at(8*time.Second))
	one.RecordQueriedWeights(with(3, 1), "m", 2, now.Add(9*time.Second))
	got = append(got, at(9*time.Second), at(20*time.Second))
	if diff := cmp.Diff([]uint64{2, 1, 2, 2, 2, 1, 2, 2}, got); diff != "" {
		t.Error(diff)
	}
}

// A crashed incarnation says nothing; the next one at its address takes its place at once.
func TestAddressBelongsToTheNewestIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * beat}
	old, next := instance("z old", 7, false), instance("a next", 1, false)
	next.Address = old.Address
	take(&m, "c1", now, registry.Report{Instance: old})
	take(&m, "c2", now, registry.Report{Instance: next})
	take(&m, "c1", now, registry.Report{Instance: old})
	if diff := cmp.Diff([]string{"a next"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
}

// Who comes late hears of the incarnations of an address in any order, and from control
// instances of which some know the successor longer than others know its forerunner.
func TestAddressBelongsToTheYoungestIncarnation(t *testing.T) {
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
		m := registry.Merged{Grace: 4 * beat}
		for i, r := range order {
			take(&m, fmt.Sprint("c", i), now, r)
		}
		if diff := cmp.Diff([]string{"next"}, ids(m.Live(now))); diff != "" {
			t.Error(name, diff)
		}
	}
}

// A registry tells since when it knows an instance, whatever it hears of it later.
func TestFirstHeard(t *testing.T) {
	r := registry.Registry{SilentAfter: 4 * beat}
	first := time.Unix(50, 0)
	r.RecordHeartbeat(instance("x", 1, false), first)
	r.RecordHeartbeat(instance("x", 2, true), first.Add(beat))
	if diff := cmp.Diff(first, r.Since(0)[0].FirstSeen); diff != "" {
		t.Error(diff)
	}
}

// What was written down counts for a while, unless it is heard of; one that left stays away.
func TestRecall(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
	for _, report := range []registry.Report{
		{Instance: instance("reports", 3, false)}, {Instance: instance("is gone", 3, false)},
		{Instance: instance("left", 3, false), Left: true}, {Instance: instance("was silent", 3, false), Silent: true},
	} {
		r.Restore(report, now, 2*beat)
	}
	if n := len(r.Since(0)); n != 3 {
		t.Errorf("%d are known", n)
	}
	r.RecordHeartbeat(instance("reports", 4, false), now.Add(beat))
	r.RecordHeartbeat(instance("left", 4, false), now.Add(beat))
	var silent []string
	for _, in := range r.Sweep(now.Add(2*beat + 1)) {
		silent = append(silent, in.ID)
	}
	if diff := cmp.Diff([]string{"is gone"}, silent); diff != "" {
		t.Error(diff)
	}
	for _, report := range r.Since(0) {
		if report.ID == "left" && !report.Left {
			t.Error("one that left came back")
		}
	}
}

func TestSilenceAndReturn(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
	r.RecordHeartbeat(instance("x", 1, false), now)
	if diff := cmp.Diff(0, len(r.Sweep(now.Add(4*beat)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1, len(r.Sweep(now.Add(5*beat)))); diff != "" {
		t.Error(diff)
	}
	r.RecordHeartbeat(instance("x", 2, false), now.Add(6*beat))
	if diff := cmp.Diff(false, r.Since(0)[0].Silent); diff != "" {
		t.Error(diff)
	}
}

func take(m *registry.Merged, source string, now time.Time, reports ...registry.Report) {
	m.Merge(source, reports, now)
}

// An instance may report to another control instance than before; each of them knows a
// part, and the newest word holds.
func TestMergedJoinsSources(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * beat}
	take(&m, "c1", now, registry.Report{Instance: instance("x", 1, false)}, registry.Report{Instance: instance("y", 1, false)})
	take(&m, "c2", now, registry.Report{Instance: instance("x", 5, true)})
	take(&m, "c1", now, registry.Report{Instance: instance("x", 4, false)})
	if diff := cmp.Diff([]string{"y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	// y went over to c2; that c1 does not hear it any more means nothing.
	take(&m, "c2", now, registry.Report{Instance: instance("y", 2, false)})
	take(&m, "c1", now, registry.Report{Instance: instance("y", 1, false), Silent: true})
	if diff := cmp.Diff([]string{"y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	take(&m, "c2", now, registry.Report{Instance: instance("y", 2, false), Silent: true})
	if diff := cmp.Diff([]string{}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
}

// A source that comes back empty makes nobody forget an instance until a few heartbeats
// have been missed.
func TestEmptySourceForgetsNobodyAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * beat}
	take(&m, "c1", now, registry.Report{Instance: instance("x", 1, false)}, registry.Report{Instance: instance("y", 1, false)})
	m.DropSource("c1", now)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now.Add(3*beat)))); diff != "" {
		t.Error(diff)
	}
	take(&m, "c1", now.Add(3*beat), registry.Report{Instance: instance("x", 2, false)})
	if diff := cmp.Diff([]string{"x"}, ids(m.Live(now.Add(5*beat)))); diff != "" {
		t.Error(diff)
	}
}

// A source that began anew vouches on for what it has not told again, until it has told
// everything.
func TestRestartedSourceTellsStepByStep(t *testing.T) {
	now := time.Unix(0, 0)
	m := registry.Merged{Grace: 4 * beat}
	report := func(id string, silent bool) registry.Report {
		return registry.Report{Instance: instance(id, 1, false), Silent: silent}
	}
	take(&m, "c1", now, report("x", false), report("y", false), report("z", false))
	m.BeginResync("c1")
	take(&m, "c1", now, report("x", false), report("z", true))
	now = now.Add(60 * beat)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	m.EndResync("c1", now)
	if diff := cmp.Diff([]string{"x", "y"}, ids(m.Live(now.Add(3*beat)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"x"}, ids(m.Live(now.Add(5*beat)))); diff != "" {
		t.Error(diff)
	}
}

// Reports are listed by their newest change, from either end.
func TestReportsAreListedInOrder(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
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
