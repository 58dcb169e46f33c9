package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// blockTokens is the unit in which engines' memory is told: engines give it in such blocks, and
// an entry is told of each engine some times a second.
const blockTokens = 16

// loadsFeed is what a Source tells of engines' loads. The zero value knows none.
type loadsFeed struct {
	loads map[registry.Incarnation]balance.EngineLoad
	// engines are those of loads in the order in which they are told.
	engines []registry.Incarnation
	// change numbers the changes of loads, and enginesChange those of engines.
	change, enginesChange uint64
	// interval is how often engines are asked.
	interval time.Duration
}

// publish reports whether anything changed.
func (f *loadsFeed) publish(loads map[registry.Incarnation]balance.EngineLoad, interval time.Duration) bool {
	f.interval = interval
	if maps.Equal(f.loads, loads) {
		return false
	}
	engines := slices.SortedFunc(maps.Keys(loads), func(a, b registry.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	if !slices.Equal(f.engines, engines) {
		f.engines = engines
		f.enginesChange++
	}
	f.loads = loads
	f.change++
	return true
}

// tell adds the loads, all at once, and the engines to those who do not know them.
func (f *loadsFeed) tell(since marks, p *page, out *wire.FleetResponse) {
	out.LoadsChange = f.change
	out.EnginesChange = f.enginesChange
	out.LoadsIntervalMilliseconds = uint32(f.interval.Milliseconds())
	if since.engines != f.enginesChange {
		out.Engines = fromIncarnations(f.engines)
	}
	for _, in := range f.engines {
		load := f.loads[in]
		out.Waiting = append(out.Waiting, uint32(load.Waiting))
		out.UsedBlocks = append(out.UsedBlocks, uint32((load.Used+blockTokens-1)/blockTokens))
	}
	p.left -= proto.Size(&wire.FleetResponse{Engines: out.Engines, Waiting: out.Waiting, UsedBlocks: out.UsedBlocks})
}

// loadsKnown is what one source told of engines' loads. The zero value knows nothing.
type loadsKnown struct {
	loads map[registry.Incarnation]balance.EngineLoad
	// engines are in the order in which the source tells them.
	engines []registry.Incarnation
	// change and enginesChange are the marks of the last answer, and at is when loads were told.
	change, enginesChange uint64
	at                    time.Time
	interval              time.Duration
}

// take joins what a source tells; began says that it is another life of it.
func (k *loadsKnown) take(out *wire.FleetResponse, began bool, now time.Time) {
	if out.EnginesChange != k.enginesChange || began {
		k.engines = toIncarnations(out.Engines)
	}
	k.enginesChange = out.EnginesChange
	if out.LoadsChange != k.change || began {
		k.loads = toLoads(k.engines, out)
		k.at = now
	}
	k.change = out.LoadsChange
	k.interval = time.Duration(out.LoadsIntervalMilliseconds) * time.Millisecond
}

// toLoads reads the loads of some engines; what tells of others is passed over.
func toLoads(engines []registry.Incarnation, out *wire.FleetResponse) map[registry.Incarnation]balance.EngineLoad {
	loads := make(map[registry.Incarnation]balance.EngineLoad, len(engines))
	for i, in := range engines {
		if i < len(out.Waiting) && i < len(out.UsedBlocks) {
			loads[in] = balance.EngineLoad{Waiting: int(out.Waiting[i]), Used: int(out.UsedBlocks[i]) * blockTokens}
		}
	}
	return loads
}
