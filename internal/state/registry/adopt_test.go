package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// departed returns the report of an incarnation that left or is leaving.
func departed(in registry.Instance, left bool, at time.Time) registry.Report {
	in.Leaving = !left
	return registry.Report{Instance: in, Left: left, FirstSeen: at.Add(-time.Minute), DepartedAt: at}
}

func started(id string, start registry.Start, sequence uint64) registry.Instance {
	in := instance(id, sequence, false)
	in.Start = start
	return in
}

// Guards against departures that are forgotten with the control instance that heard of them: another one that adopts a
// departure must publish it, and keep it over a restart.
func TestAdoptedDepartureIsPublished(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, left := range []bool{true, false} {
		r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
		if !r.Adopt(departed(started("x", 5, 7), left, now), now) {
			t.Fatal("not adopted")
		}
		if r.Adopt(departed(started("x", 5, 7), left, now), now) {
			t.Error("adopted twice")
		}
		restored := registry.Registry{SilentAfter: 4 * heartbeatInterval}
		restored.Restore(r.Since(0)[0], now, 2*heartbeatInterval)
		entry := registry.Merged{Grace: 4 * heartbeatInterval}
		entry.Merge("the lost one", []registry.Report{{Instance: started("x", 5, 6)}}, now)
		entry.Merge("the adopter", restored.Since(0), now)
		if diff := cmp.Diff(0, len(entry.Live(now))); diff != "" {
			t.Error(left, diff)
		}
		// An older report of the lost control instance, as from its file, must not undo the departure.
		entry.Merge("the lost one", []registry.Report{{Instance: started("x", 5, 6)}}, now)
		if diff := cmp.Diff(0, len(entry.Live(now))); diff != "" {
			t.Error(left, diff)
		}
		// The next incarnation of the id must be used at once, also if it reports to the adopter.
		restored.RecordHeartbeat(started("x", 6, 1), now)
		entry.Merge("the adopter", restored.Since(0), now)
		if diff := cmp.Diff(1, len(entry.Live(now))); diff != "" {
			t.Error(left, diff)
		}
	}
}

// A departure must not be adopted against newer knowledge of the same id, nor long after it.
func TestOutdatedDepartureIsNotAdopted(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, report := range map[string]registry.Report{
		"an earlier incarnation":      departed(started("x", 4, 9), true, now),
		"ready again since":           departed(started("x", 5, 6), false, now),
		"long ago":                    departed(started("x", 5, 9), true, now.Add(-2*time.Minute)),
		"not departing":               {Instance: started("x", 5, 9), FirstSeen: now},
		"seen after the departure":    {Instance: registry.Instance{ID: "x", Service: "s"}, Left: true, FirstSeen: now.Add(-time.Second), DepartedAt: now},
		"unknown to everyone":         {Instance: registry.Instance{ID: "y"}, Left: true, FirstSeen: now, DepartedAt: now},
		"of an earlier version":       {Instance: started("x", 5, 9), Left: true, FirstSeen: now},
		"of an incarnation that left": departed(started("gone", 5, 9), false, now),
	} {
		r := registry.Registry{SilentAfter: 4 * heartbeatInterval}
		r.RecordHeartbeat(started("x", 5, 7), now)
		r.Leave(registry.Incarnation{ID: "gone", Start: 5}, now)
		if r.Adopt(report, now) {
			t.Error(name, "was adopted")
		}
	}
}

// A departure without a start must end the incarnations that were seen before it in whatever order they become known.
func TestDepartureWithoutStartEndsEarlierIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	alive := registry.Report{Instance: started("x", 5, 7), FirstSeen: now.Add(-time.Minute)}
	left := registry.Report{Instance: registry.Instance{ID: "x"}, Left: true, FirstSeen: now.Add(-time.Second), DepartedAt: now}
	next := registry.Report{Instance: started("x", 6, 1), FirstSeen: now}
	for _, order := range [][]registry.Report{{alive, left}, {left, alive}} {
		var m registry.Merged
		m.Grace = 4 * heartbeatInterval
		m.Merge("a", order[:1], now)
		m.Merge("b", order[1:], now)
		if diff := cmp.Diff(0, len(m.Live(now))); diff != "" {
			t.Error(diff)
		}
		m.Merge("c", []registry.Report{next}, now)
		if diff := cmp.Diff(1, len(m.Live(now))); diff != "" {
			t.Error("the next incarnation: ", diff)
		}
	}
}

// Each departure of an instance in use must be listed once, and none that was known from the beginning.
func TestDeparturesAreListedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	m := registry.Merged{Grace: 4 * heartbeatInterval}
	m.Merge("a", []registry.Report{{Instance: started("x", 5, 7)}, departed(started("known", 5, 7), true, now)}, now)
	m.Merge("a", []registry.Report{departed(started("x", 5, 8), false, now)}, now)
	m.Merge("b", []registry.Report{departed(started("x", 5, 8), true, now)}, now)
	list := m.TakeDepartures()
	if diff := cmp.Diff(1, len(list)); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff([]any{"x", now}, []any{list[0].ID, list[0].DepartedAt}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, len(m.TakeDepartures())); diff != "" {
		t.Error(diff)
	}
}
