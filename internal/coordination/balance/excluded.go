package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// maxExcluded bounds the ids that an entry sends with each request for a decision: 128 of them take about
// 2 KB, or 2 ms of a link of 10 Mbit/s.
const maxExcluded = 128

// Excluded returns the ids of the instances that this entry would not choose for a request while it has
// others: all that are not healthy for it, and those that unusable reports, which may be nil. ok is false if
// this entry has to choose by itself: if nothing is left, if the request is due as a probe of a failing
// instance, or if there are more than maxExcluded ids. Without the whole list, the request might be placed
// where this entry cannot send it.
func (b *Balancer) Excluded(instances []registry.Instance, unusable func(registry.Instance) bool, info PickInfo, now time.Time) (ids map[string]bool, ok bool) {
	set := b.candidateSet(instances, now)
	b.prepare(set, &info, now)
	ids = map[string]bool{}
	for i := range set.candidates {
		c := &set.candidates[i]
		if info.isFailing(c.in) && c.mayProbe(info, now) {
			return nil, false
		}
		if c.eligibility(info, now) != healthy || unusable != nil && unusable(*c.in) {
			ids[c.in.ID] = true
		}
	}
	return ids, len(ids) < len(instances) && len(ids) <= maxExcluded
}

// Take chooses a given instance as Pick would; ok is false if it is not among the instances, or not healthy
// for the request any more.
func (b *Balancer) Take(instances []registry.Instance, target registry.Incarnation, info PickInfo, now time.Time) (chosen registry.Instance, ok bool) {
	set := b.candidateSet(instances, now)
	b.prepare(set, &info, now)
	c := set.find(target)
	if c == nil || c.eligibility(info, now) != healthy {
		return registry.Instance{}, false
	}
	c.load = b.load(target)
	c.recordColdSend(info, now)
	c.recordLimitedSend(info, now)
	c.recordWindowSend(info, now)
	return *c.in, true
}
