package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Guards against attempts that are canceled at a sound instance because an earlier one of its address, which is gone, is
// listed again: its service is declared while that of the sound one no longer is.
func TestOnlyALaterProcessSupersedesAnInstance(t *testing.T) {
	at := func(id string, start registry.Start, address string) registry.Instance {
		return registry.Instance{ID: id, Start: start, Address: address}
	}
	in := at("b", 2000, "x:1")
	cases := map[string]struct {
		listed registry.Instance
		want   bool
	}{
		"itself":                                {in, false},
		"its id started later":                  {at("b", 3000, "y:1"), true},
		"its id started earlier":                {at("b", 1000, "y:1"), false},
		"its address has a later process":       {at("a", 3000, "x:1"), true},
		"its address had an earlier process":    {at("a", 1000, "x:1"), false},
		"its address has one of unknown start":  {at("a", 0, "x:1"), true},
		"another id at another address":         {at("a", 3000, "y:1"), false},
		"its id started earlier at its address": {at("b", 1000, "x:1"), false},
	}
	for name, c := range cases {
		v := &fleet.View{Instances: map[string][]registry.Instance{"s": {c.listed}}}
		if diff := cmp.Diff(c.want, v.Superseded(in)); diff != "" {
			t.Error(name, diff)
		}
	}
}

const (
	// supersededSteps is how many steps a run of the world has, and supersededStep their length.
	supersededSteps = 400
	supersededStep  = 100 * time.Millisecond
	// supersededSources, supersededAddresses and supersededIDs are how many there are of each.
	supersededSources   = 3
	supersededAddresses = 4
	supersededIDs       = 6
	// latestReport is the most that a report is late.
	latestReport = 3 * time.Second
)

// supersededWorld has processes that start and end at few addresses, for services that come and go, and reports that are
// late, lost and out of order.
type supersededWorld struct {
	random   *rand.Rand
	now      time.Time
	merged   registry.Merged
	declared map[string]bool
	// running are the processes by their addresses, and used are all that were ever listed.
	running map[string]registry.Instance
	used    map[registry.Incarnation]registry.Instance
	reports []lateReport
	// tellsStarts is true if processes report their starts. Otherwise ids are not used again, and idCount is how many were used.
	tellsStarts bool
	idCount     int
}

// lateReport is a report of a source that arrives at a time.
type lateReport struct {
	at     time.Time
	source string
	report registry.Report
}

func newSupersededWorld(seed uint64, tellsStarts bool) *supersededWorld {
	w := &supersededWorld{
		random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_700_000_000, 0), declared: map[string]bool{"s": true, "u": true},
		running: map[string]registry.Instance{}, used: map[registry.Incarnation]registry.Instance{}, tellsStarts: tellsStarts,
	}
	w.merged = registry.Merged{Grace: 4 * heartbeat, Declared: func(service string) bool { return w.declared[service] }}
	return w
}

// step advances the time, and returns the sound instance that counts as superseded, if any.
func (w *supersededWorld) step() string {
	w.now = w.now.Add(supersededStep)
	if w.random.IntN(10) == 0 {
		service := []string{"s", "u"}[w.random.IntN(2)]
		w.declared[service] = !w.declared[service]
		w.merged.Redeclare()
	}
	for n := range supersededAddresses {
		w.stepAddress(fmt.Sprint("x:", n))
	}
	w.deliver()
	config := &deployment.Config{Services: map[string]deployment.Service{}}
	for service, declared := range w.declared {
		if declared {
			config.Services[service] = deployment.Service{}
		}
	}
	view := &fleet.View{Config: config, Instances: w.merged.LiveByService(w.now)}
	for _, instances := range view.Instances {
		for _, in := range instances {
			w.used[in.Incarnation()] = in
		}
	}
	for _, in := range w.running {
		if used, ok := w.used[in.Incarnation()]; ok && view.Superseded(used) {
			return fmt.Sprintf("%s, started %d at %s for %s: %v", in.ID, in.Start, in.Address, in.Service, view.Instances)
		}
	}
	return ""
}

// stepAddress lets the process at an address end, or another one start there, and report.
func (w *supersededWorld) stepAddress(address string) {
	in, runs := w.running[address]
	switch {
	case !runs || w.random.IntN(60) == 0:
		delete(w.running, address)
		id := fmt.Sprint("i", w.random.IntN(supersededIDs))
		for _, other := range w.running {
			if other.ID == id {
				return
			}
		}
		start := registry.Start(w.now.UnixMilli())
		if !w.tellsStarts {
			w.idCount++
			id, start = fmt.Sprint("j", w.idCount), 0
		}
		in = registry.Instance{ID: id, Start: start, Service: []string{"s", "u"}[w.random.IntN(2)], Address: address}
	case w.random.IntN(int(heartbeat/supersededStep)) > 0:
		return
	}
	in.Sequence++
	w.running[address] = in
	for source := range supersededSources {
		late := time.Duration(w.random.IntN(2)) * supersededStep
		if w.random.IntN(5) == 0 {
			late = time.Duration(w.random.Int64N(int64(latestReport)))
		}
		w.reports = append(w.reports, lateReport{w.now.Add(late), fmt.Sprint("c", source), registry.Report{Instance: in, FirstSeen: w.now}})
	}
}

// deliver merges the reports that are due, in a random order. A source forgets one that is silent.
func (w *supersededWorld) deliver() {
	w.random.Shuffle(len(w.reports), func(i, j int) { w.reports[i], w.reports[j] = w.reports[j], w.reports[i] })
	var later []lateReport
	for _, r := range w.reports {
		switch {
		case r.at.After(w.now):
			later = append(later, r)
			continue
		case w.random.IntN(10) == 0:
			r.report.Silent = true
		}
		w.merged.Merge(r.source, []registry.Report{r.report}, w.now)
	}
	w.reports = later
}

// Guards against a sound instance that counts as superseded, whose answers in progress are then canceled, after any order
// of reports, changes of the declared services, and uses of the same address.
func TestSoundInstancesAreNeverSuperseded(t *testing.T) {
	for name, tellsStarts := range map[string]bool{"starts are told": true, "starts are unknown": false} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				w := newSupersededWorld(seed, tellsStarts)
				for n := range supersededSteps {
					if violation := w.step(); violation != "" {
						t.Fatalf("seed %d, step %d: %s", seed, n, violation)
					}
				}
			}
		})
	}
}
