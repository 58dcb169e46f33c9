package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

func asTold(_ *world, in registry.Instance) registry.Instance { return in }

// Whatever comes late, twice, elsewhere or never, and whoever restarts: no earlier start of an
// instance is used once a later one is known, nor an instance whose address somebody else has
// taken since; and one that runs is used.
func TestOnlyTheLatestStartIsUsed(t *testing.T) {
	for seed := range uint64(300) {
		if wrong := run(seed, asTold); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// Each other reading of a start is wrong, and the model shows it.
func TestOtherReadingsOfAStartAreWrong(t *testing.T) {
	readings := map[string]reading{
		"the sequence alone orders": func(_ *world, in registry.Instance) registry.Instance {
			in.Start = 0
			return in
		},
		"the arrival orders": func(w *world, in registry.Instance) registry.Instance {
			w.arrivals++
			in.Start = registry.Start(w.arrivals)
			return in
		},
		"our clock orders": func(w *world, in registry.Instance) registry.Instance {
			key := in.ID + in.Address
			if w.starts[key] == 0 || in.Sequence%1000 <= 1 {
				w.starts[key] = registry.Start(w.now.UnixMilli())
			}
			in.Start = w.starts[key]
			return in
		},
	}
	for name, r := range readings {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if wrong := run(seed, r); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Error("no world shows it")
		})
	}
}

// A host's clock that went back makes the next start look like an earlier one: it is not used
// until the one before was not heard of for a minute, and then it is.
func TestStartAfterTheClockWentBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registry.Registry{SilentAfter: 4 * beat}
	m := registry.Merged{Grace: 4 * beat}
	before, after := instance("x", 50, false), instance("x", 1, false)
	before.Start, after.Start, after.Address = 2000, 1000, "elsewhere"
	r.RecordHeartbeat(before, now)
	var usedAt time.Duration
	for at := time.Duration(0); at < 2*time.Minute && usedAt == 0; at += beat {
		r.RecordHeartbeat(after, now.Add(at))
		after.Sequence++
		r.Sweep(now.Add(at))
		m.Merge("c", r.Since(0), now.Add(at))
		if live := m.Live(now.Add(at)); len(live) == 1 && live[0].Address == "elsewhere" {
			usedAt = at
		}
	}
	if usedAt < time.Minute || usedAt > time.Minute+10*beat {
		t.Errorf("it is used after %v", usedAt)
	}
}

// What is believed of weights ends with the incarnation.
func TestNextStartHasItsOwnWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registry.Registry{SilentAfter: time.Hour}
	m := registry.Merged{Grace: time.Hour}
	old, next := instance("x", 50, false), instance("x", 1, false)
	old.Start, old.Weights = 1000, map[string]uint64{"m": 5}
	next.Start, next.Weights = 2000, map[string]uint64{"m": 3}
	r.RecordHeartbeat(old, now)
	m.Merge("c", r.Since(0), now)
	r.RecordHeartbeat(next, now.Add(beat))
	if r.RecordQueriedWeights(old, "m", 9, now.Add(2*beat)) {
		t.Error("an answer of the earlier start is news")
	}
	m.Merge("c", r.Since(0), now.Add(2*beat))
	m.Merge("other", []registry.Report{{Instance: old}}, now.Add(2*beat))
	live := m.Live(now.Add(2 * beat))
	if diff := cmp.Diff(map[string]uint64{"m": 3}, live[0].Weights); diff != "" {
		t.Error(diff)
	}
}

// A snapshot brings back no earlier start than one that has reported itself, and a later one
// ends what it brought back.
func TestSnapshotsAndStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	of := func(start registry.Start) registry.Instance {
		in := instance("x", 7, false)
		in.Start = start
		in.Address = fmt.Sprint("at ", start)
		return in
	}
	cases := []struct {
		name           string
		written, heard registry.Start
		want           string
	}{
		{"an earlier start was written", 1000, 2000, "at 2000"},
		{"a later one was", 2000, 1000, "at 2000"},
		{"the same", 1000, 1000, "at 1000"},
	}
	for _, c := range cases {
		for _, first := range []bool{true, false} {
			r := registry.Registry{SilentAfter: 4 * beat}
			if first {
				r.Restore(registry.Report{Instance: of(c.written)}, now, 2*beat)
			}
			r.RecordHeartbeat(of(c.heard), now)
			if !first {
				r.Restore(registry.Report{Instance: of(c.written)}, now, 2*beat)
			}
			if diff := cmp.Diff(c.want, r.Since(0)[0].Address); diff != "" {
				t.Error(c.name, first, diff)
			}
		}
	}
}

// An instance of a service that nobody declared takes no address from one that is in use.
func TestUndeclaredServiceTakesNoAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	known, other := instance("known", 1, false), instance("other", 1, false)
	known.Start, other.Start = 1000, 2000
	other.Address, other.Service = known.Address, "unheard of"
	m := registry.Merged{Grace: 4 * beat, Declared: func(service string) bool { return service == "s" }}
	m.Merge("c", []registry.Report{{Instance: known}, {Instance: other}}, now)
	if diff := cmp.Diff([]string{"known"}, ids(m.Live(now))); diff != "" {
		t.Error(diff)
	}
	other.Service = "s"
	m.Merge("c", []registry.Report{{Instance: other}}, now)
	if diff := cmp.Diff([]string{"known"}, ids(m.Live(now))); diff != "" {
		t.Error("an older word of it: " + diff)
	}
}

// A heartbeat costs the same however many instances there are.
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
