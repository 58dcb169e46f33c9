package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// simulationRelays is the number of relays that the entry reads.
	simulationRelays = 2
	// maxFreeze is how long a relay may be frozen. The entry goes on reading its old state meanwhile.
	maxFreeze = 5 * time.Second
)

// relayMapping maps a report that a relay passes on, or whether its restart is noticed. The identity is the
// correct mapping of reports.
type relayMapping struct {
	report         func(r registry.Report) registry.Report
	ignoresRestart bool
}

func correctRelay() relayMapping {
	return relayMapping{report: func(r registry.Report) registry.Report { return r }}
}

// relay is a control instance that merges the reports of all sources and passes them on.
type relay struct {
	name   string
	merged registry.Merged
	table  registry.Table
	// cursors holds the change of each source up to which the relay has merged, and epochs the restarts
	// of each source that it has seen.
	cursors, epochs []uint64
	frozenUntil     time.Time
	// restarted is true until the entry has resynced after a restart of the relay, and cursor is the
	// entry's position.
	restarted bool
	cursor    uint64
}

// relayedSimulation is a simulation in which an entry reads the reports through relays, which freeze and
// restart.
type relayedSimulation struct {
	*simulation
	mapping relayMapping
	relays  []*relay
	// epochs counts the restarts of each source.
	epochs []uint64
	entry  registry.Merged
}

func newRelayedSimulation(seed uint64, mapping relayMapping) *relayedSimulation {
	w := &relayedSimulation{
		simulation: newSimulation(seed, func(_ *simulation, in registry.Instance) registry.Instance { return in }), mapping: mapping,
		epochs: make([]uint64, simulationSources), entry: registry.Merged{Grace: 4 * heartbeatInterval},
	}
	for i := range simulationRelays {
		w.relays = append(w.relays, newRelay(fmt.Sprint("r", i)))
	}
	return w
}

func newRelay(name string) *relay {
	return &relay{
		name: name, merged: registry.Merged{Grace: 4 * heartbeatInterval, TrackChanges: true},
		cursors: make([]uint64, simulationSources), epochs: make([]uint64, simulationSources),
	}
}

// step advances the time by one tick, and returns the invariant that the entry violates afterwards, if any.
func (w *relayedSimulation) step() string {
	before := append([]*registry.Registry(nil), w.sources...)
	violation := w.simulation.step()
	if violation != "" {
		return "without relays: " + violation
	}
	for i, source := range w.sources {
		if source != before[i] {
			w.epochs[i]++
		}
	}
	w.disturb()
	for _, r := range w.relays {
		if !w.now.Before(r.frozenUntil) {
			w.relay(r)
		}
		w.read(r)
	}
	direct := w.merged
	w.merged = w.entry
	defer func() { w.entry, w.merged = w.merged, direct }()
	return w.checkInvariants()
}

// disturb freezes or restarts a relay now and then. At least one relay is up to date at any time.
func (w *relayedSimulation) disturb() {
	for _, r := range w.relays {
		if w.now.Before(r.frozenUntil) {
			return
		}
	}
	i := w.random.IntN(simulationRelays)
	switch w.random.IntN(60) {
	case 0:
		w.relays[i].frozenUntil = w.now.Add(time.Duration(w.random.Int64N(int64(maxFreeze))))
	case 1:
		cursor := w.relays[i].cursor
		w.relays[i] = newRelay(w.relays[i].name)
		w.relays[i].cursor = cursor
		w.relays[i].restarted = true
	}
}

// relay lets a relay merge what the sources have reported since it last did.
func (w *relayedSimulation) relay(r *relay) {
	for i, source := range w.sources {
		name := fmt.Sprint("c", i)
		restarted := r.epochs[i] != w.epochs[i]
		if restarted {
			r.epochs[i], r.cursors[i] = w.epochs[i], 0
			r.merged.BeginResync(name)
		}
		r.merged.Merge(name, source.Since(r.cursors[i]), w.now)
		r.cursors[i] = source.Change()
		if restarted {
			r.merged.EndResync(name, w.now)
		}
	}
	r.merged.LiveByService(w.now)
	for _, id := range r.merged.Changed() {
		report, known := r.merged.Report(id, w.now)
		if known {
			r.table.Put(report)
		} else {
			r.table.Remove(id)
		}
	}
}

// read lets the entry merge what a relay has changed since it last read it.
func (w *relayedSimulation) read(r *relay) {
	resync := r.restarted && !w.mapping.ignoresRestart
	if resync {
		r.cursor = 0
		w.entry.BeginResync(r.name)
	}
	var reports []registry.Report
	for _, report := range r.table.After(r.cursor) {
		reports = append(reports, w.mapping.report(report))
	}
	w.entry.Merge(r.name, reports, w.now)
	r.cursor = max(r.cursor, r.table.Change())
	if resync {
		r.restarted = false
		w.entry.EndResync(r.name, w.now)
	}
}

func runRelayedSimulation(seed uint64, mapping relayMapping) string {
	w := newRelayedSimulation(seed, mapping)
	for range simulationSteps {
		if violation := w.step(); violation != "" {
			return violation
		}
	}
	return ""
}

// An entry that reads two relays, of which one may be frozen or restart at any time, must hold the same
// invariants as one that reads all control instances itself: it uses no instance whose successor is known
// to any of them, and uses every instance that runs.
func TestRelayedReportsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(200) {
		if violation := runRelayedSimulation(seed, correctRelay()); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// The simulation must detect relays that are wrong in one way each.
func TestRelayMutantsAreDetected(t *testing.T) {
	arrivals := uint64(0)
	mutants := map[string]relayMapping{
		"the cursor of an earlier epoch is kept": {ignoresRestart: true, report: func(r registry.Report) registry.Report { return r }},
		"the last report to arrive counts as the newest": {report: func(r registry.Report) registry.Report {
			arrivals++
			r.Sequence = arrivals
			r.Start = registry.Start(arrivals)
			return r
		}},
		"starts are dropped": {report: func(r registry.Report) registry.Report {
			r.Start = 0
			return r
		}},
	}
	for name, mapping := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if runRelayedSimulation(seed, mapping) != "" {
					return
				}
			}
			t.Error("not detected")
		})
	}
}
