package placement_test

import (
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// startCopy copies a finished prompt's context if the planner decides so.
func (w *simulation) startCopy(planner, owner *placement.Planner, a arrival, keys []prefix.Key, plan placement.Plan) {
	p := placement.PostponedCopy{Keys: keys, Plan: plan, Tag: copyTag{owner, a.context, len(keys)}}
	if c, ok := planner.PlanCopy(p, instant(a.at)); ok {
		w.copy(planner, p, c, a.at)
	}
}

// copyTag identifies the context of a copy.
type copyTag struct {
	owner           *placement.Planner
	context, blocks int
}

// copy transfers a context to a store, if its engine still has it.
func (w *simulation) copy(planner *placement.Planner, p placement.PostponedCopy, c placement.Copy, at float64) {
	tag := p.Tag.(copyTag)
	k := w.storeAt(c.Store)
	var object *placement.StoredObject
	if w.simEngines[p.Plan.Upstream].cache.blocks(tag.context) >= tag.blocks {
		at = w.transfer(k, at, c.Blocks, w.rate(at))
		w.objects++
		object = &placement.StoredObject{Store: c.Store, Object: w.objects, Generation: w.objects, Incarnation: "i", Blocks: c.Blocks, End: tag.blocks}
	}
	w.schedule(at, func() {
		note, ok := planner.EndCopy(c, p.Keys[tag.blocks-1], tag.blocks, object, false, instant(at))
		if ok {
			tag.owner.Apply(note, instant(at))
			k.cache.put(tag.context, max(tag.blocks, k.cache.blocks(tag.context)))
		}
		w.nextCopy(planner, at)
	})
}

func (w *simulation) nextCopy(planner *placement.Planner, at float64) {
	if p, c, ok := planner.NextCopy(instant(at)); ok {
		w.copy(planner, p, c, at)
	}
}
