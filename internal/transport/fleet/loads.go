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

// blockTokens is the unit in which engines' memory use is sent to entries: engines report it in
// such blocks, and each entry receives that of each engine several times a second.
const blockTokens = 16

// loadsFeed is what a Source publishes about engines' loads. The zero value is an empty feed.
type loadsFeed struct {
	loads map[registry.Incarnation]balance.EngineLoad
	// engines holds the keys of loads in the order in which they are sent.
	engines []registry.Incarnation
	// change numbers the changes of loads, and enginesChange those of engines.
	change, enginesChange uint64
	// interval is the interval at which engines are polled.
	interval time.Duration
}

// publish sets the loads and reports whether they changed.
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

// addTo adds all loads, and the list of engines for a poller that does not have it.
func (f *loadsFeed) addTo(since cursors, p *page, out *wire.FleetResponse) {
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

// loadsState is what one source has sent about engines' loads. The zero value is empty.
type loadsState struct {
	loads map[registry.Incarnation]balance.EngineLoad
	// engines is in the order in which the source sends the loads.
	engines []registry.Incarnation
	// change and enginesChange are the cursors of the last answer, and at is when loads were
	// received.
	change, enginesChange uint64
	at                    time.Time
	interval              time.Duration
}

// apply merges a source's answer; restarted is true if the source has restarted since its last one.
func (k *loadsState) apply(out *wire.FleetResponse, restarted bool, now time.Time) {
	if out.EnginesChange != k.enginesChange || restarted {
		k.engines = toIncarnations(out.Engines)
	}
	k.enginesChange = out.EnginesChange
	if out.LoadsChange != k.change || restarted {
		k.loads = toLoads(k.engines, out)
		k.at = now
	}
	k.change = out.LoadsChange
	k.interval = time.Duration(out.LoadsIntervalMilliseconds) * time.Millisecond
}

// toLoads converts the loads of the given engines; surplus values are ignored.
func toLoads(engines []registry.Incarnation, out *wire.FleetResponse) map[registry.Incarnation]balance.EngineLoad {
	loads := make(map[registry.Incarnation]balance.EngineLoad, len(engines))
	for i, in := range engines {
		if i < len(out.Waiting) && i < len(out.UsedBlocks) {
			loads[in] = balance.EngineLoad{Waiting: int(out.Waiting[i]), Used: int(out.UsedBlocks[i]) * blockTokens}
		}
	}
	return loads
}
