package fleet

import (
	"cmp"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/changes"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// blockTokens is the unit in which engines' memory use is sent to entries: engines report it in
	// such blocks, and each entry receives that of each engine several times a second.
	blockTokens = 16
	// loadBytes is the approximate size of one engine's load in an answer.
	loadBytes = 6
)

// loadsFeed is what a Source publishes about engines' loads. Pollers are sent those that changed, so
// that idle engines cost nothing. The zero value is an empty feed.
type loadsFeed struct {
	engines map[registry.Incarnation]*engineLoad
	// log numbers the changes of loads.
	log changes.Log[*engineLoad]
	// lastNumber is the number of the engine added last.
	lastNumber uint32
	// forgottenChange is the newest change whose tombstone has expired. Pollers that have not
	// received it must receive everything anew.
	forgottenChange uint64
	// at is when the leader had polled all engines, and interval the interval at which it does so.
	at       time.Time
	interval time.Duration
}

// engineLoad is the load of one engine.
type engineLoad struct {
	engine registry.Incarnation
	// number stands for the engine in answers.
	number uint32
	load   balance.EngineLoad
	// firstChange is the change with which the engine was added, and change its newest one, or 0 once it
	// is forgotten.
	firstChange, change uint64
	// goneAt is set once the load is not known any more.
	goneAt time.Time
}

// publish sets the loads and reports whether they changed.
func (f *loadsFeed) publish(loads map[registry.Incarnation]balance.EngineLoad, at time.Time, interval time.Duration) bool {
	f.at, f.interval = at, interval
	before := f.log.Last()
	for engine, load := range loads {
		e := f.engines[engine]
		switch {
		case e == nil || !e.goneAt.IsZero():
			f.add(engine, load)
		case e.load != load:
			e.load = load
			e.change = f.log.Add(e)
		}
	}
	now := clock.Now()
	for engine, e := range f.engines {
		_, isKnown := loads[engine]
		switch {
		case isKnown:
		case e.goneAt.IsZero():
			e.goneAt = now
			e.change = f.log.Add(e)
		case now.Sub(e.goneAt) > tombstoneRetention:
			f.forgottenChange = max(f.forgottenChange, e.change)
			e.change = 0
			delete(f.engines, engine)
		}
	}
	return f.log.Last() > before
}

// add adds an engine. One whose load was not known for a while gets a new number.
func (f *loadsFeed) add(engine registry.Incarnation, load balance.EngineLoad) {
	if f.engines == nil {
		f.engines = map[registry.Incarnation]*engineLoad{}
		f.log.Newest = func(e *engineLoad) uint64 { return e.change }
	}
	if former := f.engines[engine]; former != nil {
		// Pollers replace the load of an engine whichever number it comes with.
		former.change = 0
	}
	f.lastNumber++
	e := &engineLoad{engine: engine, number: f.lastNumber, load: load}
	e.change = f.log.Add(e)
	e.firstChange = e.change
	f.engines[engine] = e
}

// addTo adds the loads that changed since the poller's cursor, as far as they fit.
func (f *loadsFeed) addTo(since uint64, p *page, out *wire.FleetResponse) {
	out.LoadsIntervalMilliseconds = uint32(f.interval.Milliseconds())
	out.LoadsAgeMilliseconds = uint32(max(0, clock.Since(f.at).Milliseconds()))
	out.LoadsWhole = since == 0 || since < f.forgottenChange
	if out.LoadsWhole {
		since = 0
	}
	out.LoadsChange = addChanges(p, f.log.After(since), since, f.log.Last(), func(e *engineLoad) int { return e.addTo(since, out) })
}

// addTo adds one engine's load and returns its size in bytes.
func (e *engineLoad) addTo(since uint64, out *wire.FleetResponse) int {
	if !e.goneAt.IsZero() {
		out.GoneEngines = append(out.GoneEngines, e.number)
		return loadBytes
	}
	out.EngineNumbers = append(out.EngineNumbers, e.number)
	out.Waiting = append(out.Waiting, uint32(e.load.Waiting))
	out.UsedBlocks = append(out.UsedBlocks, uint32((e.load.Used+blockTokens-1)/blockTokens))
	if e.firstChange <= since {
		return loadBytes
	}
	numbered := &wire.NumberedEngine{Number: e.number, Id: e.engine.ID, Start: int64(e.engine.Start)}
	out.NewEngines = append(out.NewEngines, numbered)
	return loadBytes + proto.Size(numbered)
}

func compareIncarnations(a, b registry.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
}

// loadsState is what one source has sent about engines' loads. The zero value is empty.
type loadsState struct {
	// loads is never modified once it is set.
	loads map[registry.Incarnation]balance.EngineLoad
	// engines holds the engine of each number.
	engines map[uint32]registry.Incarnation
	// change is the cursor of the last answer, and at is when the leader had polled all engines.
	change   uint64
	at       time.Time
	interval time.Duration
}

// apply merges a source's answer; restarted is true if the source has restarted since its last one.
func (k *loadsState) apply(out *wire.FleetResponse, restarted bool, now time.Time) {
	if restarted || out.LoadsWhole {
		k.loads, k.engines = nil, nil
	}
	if out.LoadsChange != k.change || restarted {
		k.at = now.Add(-time.Duration(out.LoadsAgeMilliseconds) * time.Millisecond)
	}
	k.change = out.LoadsChange
	k.interval = time.Duration(out.LoadsIntervalMilliseconds) * time.Millisecond
	if len(out.EngineNumbers) == 0 && len(out.GoneEngines) == 0 {
		return
	}
	if k.engines == nil {
		k.engines = map[uint32]registry.Incarnation{}
	}
	for _, e := range out.NewEngines {
		k.engines[e.Number] = registry.Incarnation{ID: e.Id, Start: registry.Start(e.Start)}
	}
	k.merge(out)
}

// merge replaces loads by a copy with the changes of an answer. Surplus values are ignored.
func (k *loadsState) merge(out *wire.FleetResponse) {
	loads := make(map[registry.Incarnation]balance.EngineLoad, len(k.loads)+len(out.NewEngines))
	maps.Copy(loads, k.loads)
	for _, number := range out.GoneEngines {
		delete(loads, k.engines[number])
		delete(k.engines, number)
	}
	for i, number := range out.EngineNumbers {
		engine, ok := k.engines[number]
		if ok && i < len(out.Waiting) && i < len(out.UsedBlocks) {
			loads[engine] = balance.EngineLoad{Waiting: int(out.Waiting[i]), Used: int(out.UsedBlocks[i]) * blockTokens}
		}
	}
	k.loads = loads
}
