package registry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// simulationStep is one tick of simulated time, and simulationSteps the number of ticks of a run.
	simulationStep  = 100 * time.Millisecond
	simulationSteps = 600
	// maxCallDelay is the longest delay of a heartbeat, as after a network partition.
	maxCallDelay = 8 * time.Second
	// Instances restart under simulationIDs ids, each at an unused address or at that of
	// an instance that has ended.
	simulationIDs       = 3
	simulationAddresses = 4
	simulationSources   = 3
)

// process is one run of an instance in the simulation.
type process struct {
	in            registry.Instance
	nextHeartbeat time.Time
	ended         time.Time
}

// call is a heartbeat or a sign-off in transit to a control instance.
type call struct {
	at     time.Time
	to     int
	in     registry.Instance
	leaves bool
}

// startMapping maps the start in a heartbeat to the one that the registry is given. The identity is the
// correct mapping.
type startMapping func(w *simulation, in registry.Instance) registry.Instance

// simulation simulates instances that crash, leave and restart under the same ids and at
// addresses of others, calls that are delayed and reordered, control instances that
// restart, and an entry that merges their reports.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	startMapping startMapping
	processes    map[string]*process
	// history holds all starts, the newest of an address last.
	history         []*process
	calls           []call
	sources         []*registry.Registry
	reportedChanges []uint64
	merged          registry.Merged
	// arrivals counts the heartbeats that arrived, for the mapping that orders by arrival.
	arrivals uint64
	// known is the latest start of each id that any control instance has heard of.
	known map[string]registry.Start
	// ownedBy is the latest start at each address that any control instance has heard of.
	ownedBy map[string]registry.Incarnation
	starts  map[string]registry.Start
}

func newSimulation(seed uint64, r startMapping) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 27)), now: time.Unix(1_700_000_000, 0), startMapping: r, processes: map[string]*process{},
		merged: registry.Merged{Grace: 4 * heartbeatInterval}, known: map[string]registry.Start{}, ownedBy: map[string]registry.Incarnation{}, starts: map[string]registry.Start{},
	}
	for range simulationSources {
		w.sources = append(w.sources, &registry.Registry{SilentAfter: 4 * heartbeatInterval})
		w.reportedChanges = append(w.reportedChanges, 0)
	}
	return w
}

// step advances the time by one tick, and returns the invariant that is violated afterwards, if any.
func (w *simulation) step() string {
	w.now = w.now.Add(simulationStep)
	for i := range simulationIDs {
		w.stepInstance(fmt.Sprint("i", i))
	}
	w.deliver()
	for i, s := range w.sources {
		s.Sweep(w.now)
		w.restart(i)
		w.merged.Merge(fmt.Sprint("c", i), w.sources[i].Since(w.reportedChanges[i]), w.now)
		w.reportedChanges[i] = w.sources[i].Change()
	}
	return w.checkInvariants()
}

// stepInstance lets one instance start, send a heartbeat, or end.
func (w *simulation) stepInstance(id string) {
	p := w.processes[id]
	switch {
	case p == nil:
		if w.random.IntN(20) == 0 {
			w.start(id)
		}
	case w.random.IntN(150) == 0:
		p.ended = w.now
		if w.random.IntN(2) == 0 {
			w.send(p.in, true)
		}
		delete(w.processes, id)
	case !w.now.Before(p.nextHeartbeat):
		p.in.Sequence++
		p.nextHeartbeat = w.now.Add(heartbeatInterval)
		w.send(p.in, false)
	}
}

// start starts an instance at an unused address. Its sequence numbers begin at a low or a high value.
func (w *simulation) start(id string) {
	address := fmt.Sprint("a", w.random.IntN(simulationAddresses))
	for _, p := range w.processes {
		if p.in.Address == address {
			return
		}
	}
	p := &process{in: registry.Instance{
		ID: id, Start: registry.Start(w.now.UnixMilli()), Service: "s", Address: address, Slots: 1,
		Sequence: uint64(w.random.IntN(2)) * 1000,
	}, nextHeartbeat: w.now}
	w.processes[id] = p
	w.history = append(w.history, p)
}

// send sends a call, which arrives soon, late, or never.
func (w *simulation) send(in registry.Instance, leaves bool) {
	delay := time.Duration(w.random.IntN(3)) * simulationStep
	switch w.random.IntN(20) {
	case 0:
		return
	case 1, 2:
		delay = time.Duration(w.random.Int64N(int64(maxCallDelay)))
	}
	w.calls = append(w.calls, call{w.now.Add(delay), w.random.IntN(simulationSources), in, leaves})
}

func (w *simulation) deliver() {
	var later []call
	for _, l := range w.calls {
		if l.at.After(w.now) {
			later = append(later, l)
			continue
		}
		w.recordArrival(l)
		in := w.startMapping(w, l.in)
		if l.leaves {
			w.sources[l.to].Leave(in.Incarnation(), w.now)
		} else {
			w.sources[l.to].RecordHeartbeat(in, w.now)
		}
	}
	w.calls = later
}

// recordArrival records what the control instances can know after a call, independent of their
// implementation. A start that arrives after a later one of the same id does not change the owner of its
// address, and a sign-off carries no address.
func (w *simulation) recordArrival(l call) {
	in := l.in
	late := in.Start < w.known[in.ID]
	w.known[in.ID] = max(w.known[in.ID], in.Start)
	if !late && !l.leaves && in.Start > w.ownedBy[in.Address].Start {
		w.ownedBy[in.Address] = in.Incarnation()
	}
}

// restart restarts a control instance from its persisted reports now and then.
func (w *simulation) restart(i int) {
	if w.random.IntN(200) != 0 {
		return
	}
	next := &registry.Registry{SilentAfter: 4 * heartbeatInterval}
	for _, report := range w.sources[i].Since(0) {
		next.Restore(report, w.now, 2*heartbeatInterval)
	}
	w.sources[i] = next
	w.reportedChanges[i] = 0
	w.merged.BeginResync(fmt.Sprint("c", i))
	w.merged.Merge(fmt.Sprint("c", i), next.Since(0), w.now)
	w.merged.EndResync(fmt.Sprint("c", i), w.now)
	w.reportedChanges[i] = next.Change()
}

// checkInvariants returns an error text for an instance that is used although a later start of it, or at
// its address, is known, and for an instance that has run for long and is not used.
func (w *simulation) checkInvariants() string {
	used := map[string]bool{}
	for _, in := range w.merged.Live(w.now) {
		var at *process
		for _, p := range w.history {
			if p.in.ID == in.ID && p.in.Address == in.Address {
				at = p
			}
		}
		used[in.ID] = true
		latest := w.latest(in.ID)
		if latest != nil && latest.in.Address != in.Address && latest.in.Start <= w.known[in.ID] {
			return fmt.Sprintf("%s is used at %s, though its later start at %s is known", in.ID, in.Address, latest.in.Address)
		}
		if owner := w.ownedBy[in.Address]; at != nil && owner.ID != in.ID && owner.Start > at.in.Start {
			return fmt.Sprintf("%s is used at %s, though %s has the address", in.ID, in.Address, owner.ID)
		}
	}
	for id, p := range w.processes {
		if w.now.Sub(time.UnixMilli(int64(p.in.Start))) > maxCallDelay+2*heartbeatInterval && !used[id] && w.reportedLately(p) {
			return fmt.Sprintf("%s runs and is not used", id)
		}
	}
	return ""
}

// reportedLately reports whether one of the last two heartbeats of a process was delivered to some control
// instance; heartbeats can be lost or late.
func (w *simulation) reportedLately(p *process) bool {
	for _, s := range w.sources {
		for _, r := range s.Since(0) {
			if r.ID == p.in.ID && r.Address == p.in.Address && !r.Silent && !r.Left && r.Sequence+1 >= p.in.Sequence {
				return true
			}
		}
	}
	return false
}

// latest returns the latest start of an id.
func (w *simulation) latest(id string) *process {
	var out *process
	for _, p := range w.history {
		if p.in.ID == id {
			out = p
		}
	}
	return out
}

// runSimulation runs a simulation and returns the first violation, or an empty string.
func runSimulation(seed uint64, r startMapping) string {
	w := newSimulation(seed, r)
	for range simulationSteps {
		if violation := w.step(); violation != "" {
			return violation
		}
	}
	return ""
}
