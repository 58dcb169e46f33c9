package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

func asReported(_ *simulation, in registry.Instance) registry.Instance { return in }

// Calls are delayed, reordered, lost or sent to different control instances, and instances and control
// instances restart. No earlier start of an instance is used once a later one is known, nor is an instance
// whose address another one has taken over since; and an instance that runs is used.
func TestOnlyTheLatestStartIsUsed(t *testing.T) {
	for seed := range uint64(300) {
		if violation := runSimulation(seed, asReported); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// The simulation detects each alternative ordering of starts as incorrect.
func TestOtherOrderingsOfStartsFail(t *testing.T) {
	mappings := map[string]startMapping{
		"the sequence alone orders": func(_ *simulation, in registry.Instance) registry.Instance {
			in.Start = 0
			return in
		},
		"the arrival orders": func(w *simulation, in registry.Instance) registry.Instance {
			w.arrivals++
			in.Start = registry.Start(w.arrivals)
			return in
		},
		"our clock orders": func(w *simulation, in registry.Instance) registry.Instance {
			key := in.ID + in.Address
			if w.starts[key] == 0 || in.Sequence%1000 <= 1 {
				w.starts[key] = registry.Start(w.now.UnixMilli())
			}
			in.Start = w.starts[key]
			return in
		},
	}
	for name, r := range mappings {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if violation := runSimulation(seed, r); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no seed detects a violation")
		})
	}
}

// If a host's clock was set back, the next start looks like an earlier one. It is used only after
// nothing has been heard of the previous one for a minute.
func TestStartAfterTheClockWentBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	before, after := instance("x", 50, false), instance("x", 1, false)
	before.Start, after.Start, after.Address = 2000, 1000, "elsewhere"
	r.RecordHeartbeat(before, now)
	var usedAt time.Duration
	for at := time.Duration(0); at < 2*time.Minute && usedAt == 0; at += heartbeatInterval {
		r.RecordHeartbeat(after, now.Add(at))
		after.Sequence++
		r.Sweep(now.Add(at))
		m.Merge("c", r.Since(0), now.Add(at))
		if live := m.Live(now.Add(at)); len(live) == 1 && live[0].Address == "elsewhere" {
			usedAt = at
		}
	}
	if usedAt < time.Minute || usedAt > time.Minute+10*heartbeatInterval {
		t.Errorf("it is used after %v", usedAt)
	}
}

// The known weights of an incarnation do not carry over to the next one.
func TestRestartResetsWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registry.Registry{SilentAfter: time.Hour}
	m := registry.Merged{Grace: time.Hour}
	old, next := instance("x", 50, false), instance("x", 1, false)
	old.Start, old.Weights = 1000, map[string]uint64{"m": 5}
	next.Start, next.Weights = 2000, map[string]uint64{"m": 3}
	r.RecordHeartbeat(old, now)
	m.Merge("c", r.Since(0), now)
	r.RecordHeartbeat(next, now.Add(heartbeatInterval))
	if r.RecordQueriedWeights(old, "m", 9, now.Add(2*heartbeatInterval)) {
		t.Error("an answer of the earlier start is reported as a change")
	}
	m.Merge("c", r.Since(0), now.Add(2*heartbeatInterval))
	m.Merge("other", []registry.Report{{Instance: old}}, now.Add(2*heartbeatInterval))
	live := m.Live(now.Add(2 * heartbeatInterval))
	if diff := cmp.Diff(map[string]uint64{"m": 3}, live[0].Weights); diff != "" {
		t.Error(diff)
	}
}

// A restored start does not replace a later one that has reported itself, and a later heartbeat
// replaces an earlier restored start.
func TestRestoredStartIsOrderedWithReportedOne(t *testing.T) {
	now := time.Unix(1000, 0)
	withStart := func(start registry.Start) registry.Instance {
		in := instance("x", 7, false)
		in.Start = start
		in.Address = fmt.Sprint("at ", start)
		return in
	}
	cases := []struct {
		name               string
		restored, reported registry.Start
		want               string
	}{
		{"an earlier start was restored", 1000, 2000, "at 2000"},
		{"a later start was restored", 2000, 1000, "at 2000"},
		{"the same start", 1000, 1000, "at 1000"},
	}
	for _, c := range cases {
		for _, restoreFirst := range []bool{true, false} {
			r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
			if restoreFirst {
				r.Restore(registry.Report{Instance: withStart(c.restored)}, now, 2*heartbeatInterval)
			}
			r.RecordHeartbeat(withStart(c.reported), now)
			if !restoreFirst {
				r.Restore(registry.Report{Instance: withStart(c.restored)}, now, 2*heartbeatInterval)
			}
			if diff := cmp.Diff(c.want, r.Since(0)[0].Address); diff != "" {
				t.Error(c.name, restoreFirst, diff)
			}
		}
	}
}

// An instance of an undeclared service does not take over the address of an instance in use.
func TestUndeclaredServiceDoesNotTakeOverAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	declared, undeclared := instance("known", 1, false), instance("other", 1, false)
	declared.Start, undeclared.Start = 1000, 2000
	undeclared.Address, undeclared.Service = declared.Address, "unheard of"
	m := registry.Merged{Grace: 4 * heartbeatInterval, Declared: func(service string) bool { return service == "s" }}
	m.Merge("c", []registry.Report{{Instance: declared}, {Instance: undeclared}}, now)
	if diff := cmp.Diff([]string{"known"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	undeclared.Service = "s"
	m.Merge("c", []registry.Report{{Instance: undeclared}}, now)
	if diff := cmp.Diff([]string{"known"}, ids(m.Live(now))); diff != "" {
		t.Error("a report with the same sequence number was applied: " + diff)
	}
}

// The cost of a heartbeat does not depend on the number of instances.
func BenchmarkHear(b *testing.B) {
	for _, n := range []int{175, 3100} {
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := registry.Registry{SilentAfter: time.Hour}
			var all []registry.Instance
			for i := range n {
				in := instance(fmt.Sprint("i", i), 1, false)
				in.Start, in.Weights = registry.Start(i+1), map[string]uint64{"m": 1}
				all = append(all, in)
				r.RecordHeartbeat(in, now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				in := &all[i%n]
				in.Sequence++
				r.RecordHeartbeat(*in, now)
			}
		})
	}
}
