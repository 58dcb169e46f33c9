package registry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// worldStep is a tick of the model's time, and worldSteps how long a run of it takes.
	worldStep  = 100 * time.Millisecond
	worldSteps = 600
	// mostLate is how late a heartbeat may come, as after a cut.
	mostLate = 8 * time.Second
	// worldInstances start again under worldIDs ids, each at an address of its own or at that of
	// another one that has ended.
	worldIDs       = 3
	worldAddresses = 4
	worldSources   = 3
)

// process is one start of an instance in the model.
type process struct {
	in      registry.Instance
	beatsAt time.Time
	ended   time.Time
}

// letter is a call on its way to a control instance.
type letter struct {
	at     time.Time
	to     int
	in     registry.Instance
	leaves bool
}

// reading is how what an instance says of its start is understood; the identity is the right one.
type reading func(w *world, in registry.Instance) registry.Instance

// world is a model of instances that crash, leave and start again under their ids and at
// addresses of others, of calls that come late and in any order, of control instances that
// restart, and of an entry that joins what they tell.
type world struct {
	random    *rand.Rand
	now       time.Time
	reading   reading
	processes map[string]*process
	// history holds all starts, the newest of an address last.
	history []*process
	letters []letter
	sources []*registry.Registry
	told    []uint64
	merged  registry.Merged
	// arrivals counts the heartbeats that arrived, and sequence those of each process.
	arrivals uint64
	// known is the latest start of each id that any control instance has heard of.
	known map[string]registry.Start
	// ownedBy is the latest start at each address that any control instance has heard of.
	ownedBy map[string]registry.Incarnation
	starts  map[string]registry.Start
}

func newWorld(seed uint64, r reading) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 27)), now: time.Unix(1_700_000_000, 0), reading: r, processes: map[string]*process{},
		merged: registry.Merged{Grace: 4 * beat}, known: map[string]registry.Start{}, ownedBy: map[string]registry.Incarnation{}, starts: map[string]registry.Start{},
	}
	for range worldSources {
		w.sources = append(w.sources, &registry.Registry{SilentAfter: 4 * beat})
		w.told = append(w.told, 0)
	}
	return w
}

// step lets a moment pass, and returns what is wrong after it.
func (w *world) step() string {
	w.now = w.now.Add(worldStep)
	for i := range worldIDs {
		w.live(fmt.Sprint("i", i))
	}
	w.deliver()
	for i, s := range w.sources {
		s.Sweep(w.now)
		w.restart(i)
		w.merged.Merge(fmt.Sprint("c", i), w.sources[i].Since(w.told[i]), w.now)
		w.told[i] = w.sources[i].Change()
	}
	return w.wrong()
}

// live has one instance start, say something, or end.
func (w *world) live(id string) {
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
	case !w.now.Before(p.beatsAt):
		p.in.Sequence++
		p.beatsAt = w.now.Add(beat)
		w.send(p.in, false)
	}
}

// start starts an instance at an address that nobody has. Its counts begin anew, high or low.
func (w *world) start(id string) {
	address := fmt.Sprint("a", w.random.IntN(worldAddresses))
	for _, p := range w.processes {
		if p.in.Address == address {
			return
		}
	}
	p := &process{in: registry.Instance{
		ID: id, Start: registry.Start(w.now.UnixMilli()), Service: "s", Address: address, Slots: 1,
		Sequence: uint64(w.random.IntN(2)) * 1000,
	}, beatsAt: w.now}
	w.processes[id] = p
	w.history = append(w.history, p)
}

// send sends a call, which comes soon, late, or never.
func (w *world) send(in registry.Instance, leaves bool) {
	late := time.Duration(w.random.IntN(3)) * worldStep
	switch w.random.IntN(20) {
	case 0:
		return
	case 1, 2:
		late = time.Duration(w.random.Int64N(int64(mostLate)))
	}
	w.letters = append(w.letters, letter{w.now.Add(late), w.random.IntN(worldSources), in, leaves})
}

func (w *world) deliver() {
	var later []letter
	for _, l := range w.letters {
		if l.at.After(w.now) {
			later = append(later, l)
			continue
		}
		w.note(l)
		in := w.reading(w, l.in)
		if l.leaves {
			w.sources[l.to].Leave(in.Incarnation(), w.now)
		} else {
			w.sources[l.to].RecordHeartbeat(in, w.now)
		}
	}
	w.letters = later
}

// note remembers what can be known by now, whatever is made of it. Of a start that comes only
// after a later one is known, nothing is kept, so its address stays whose it was; and a goodbye tells
// no address.
func (w *world) note(l letter) {
	in := l.in
	late := in.Start < w.known[in.ID]
	w.known[in.ID] = max(w.known[in.ID], in.Start)
	if !late && !l.leaves && in.Start > w.ownedBy[in.Address].Start {
		w.ownedBy[in.Address] = in.Incarnation()
	}
}

// restart has a control instance begin anew now and then, with what it wrote down.
func (w *world) restart(i int) {
	if w.random.IntN(200) != 0 {
		return
	}
	next := &registry.Registry{SilentAfter: 4 * beat}
	for _, report := range w.sources[i].Since(0) {
		next.Restore(report, w.now, 2*beat)
	}
	w.sources[i] = next
	w.told[i] = 0
	w.merged.BeginResync(fmt.Sprint("c", i))
	w.merged.Merge(fmt.Sprint("c", i), next.Since(0), w.now)
	w.merged.EndResync(fmt.Sprint("c", i), w.now)
	w.told[i] = next.Change()
}

// wrong names an instance that is used though a later start of it, or at its address, is known,
// and one that has run for long and is not.
func (w *world) wrong() string {
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
		if w.now.Sub(time.UnixMilli(int64(p.in.Start))) > mostLate+2*beat && !used[id] && w.beatLately(p) {
			return fmt.Sprintf("%s runs and is not used", id)
		}
	}
	return ""
}

// beatLately reports whether a heartbeat of a process has just been delivered to some control
// instance: others are lost or late.
func (w *world) beatLately(p *process) bool {
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
func (w *world) latest(id string) *process {
	var out *process
	for _, p := range w.history {
		if p.in.ID == id {
			out = p
		}
	}
	return out
}

// run plays a world and returns what is wrong first.
func run(seed uint64, r reading) string {
	w := newWorld(seed, r)
	for range worldSteps {
		if wrong := w.step(); wrong != "" {
			return wrong
		}
	}
	return ""
}
