package placement_test

import (
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// keep copies a finished prompt's context when the decisions say so.
func (w *world) keep(board, owner *placement.Planner, a arrival, keys []prefix.Key, plan placement.Plan) {
	p := placement.PostponedCopy{Keys: keys, Plan: plan, Tag: copying{owner, a.context, len(keys)}}
	if c, ok := board.PlanCopy(p, instant(a.at)); ok {
		w.copy(board, p, c, a.at)
	}
}

// copying says whose context a copy is.
type copying struct {
	owner           *placement.Planner
	context, blocks int
}

// copy moves a context to a store, if its engine still has it.
func (w *world) copy(board *placement.Planner, p placement.PostponedCopy, c placement.Copy, at float64) {
	tag := p.Tag.(copying)
	k := w.keeper(c.Store)
	var object *placement.StoredObject
	if w.machines[p.Plan.Upstream].cache.blocks(tag.context) >= tag.blocks {
		at = w.transfer(k, at, c.Blocks, w.rate(at))
		w.objects++
		object = &placement.StoredObject{Store: c.Store, Object: w.objects, Generation: w.objects, Incarnation: "i", Blocks: c.Blocks, End: tag.blocks}
	}
	w.later(at, func() {
		note, ok := board.EndCopy(c, p.Keys[tag.blocks-1], tag.blocks, object, false, instant(at))
		if ok {
			tag.owner.Apply(note, instant(at))
			k.cache.put(tag.context, max(tag.blocks, k.cache.blocks(tag.context)))
		}
		w.nextCopy(board, at)
	})
}

func (w *world) nextCopy(board *placement.Planner, at float64) {
	if p, c, ok := board.NextCopy(instant(at)); ok {
		w.copy(board, p, c, at)
	}
}
