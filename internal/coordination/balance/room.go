package balance

import (
	"cmp"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// longShare says which prompts are long: those of which so many fill an engine. A few of
	// them take all of its memory while most of its places are free. An engine without room
	// makes the least urgent of its requests give way and reads their prompts again, and what
	// was fetched for those that wait is dropped; in a measured burst over half of the long
	// prompts then came late, and 3.5 million tokens were read again in 34 s at 9 engines.
	longShare = 16
	// headroomShare is the part of an engine's memory that is left to the answers of what runs
	// there and to short prompts. A third of it and double measured the same.
	headroomShare = 12
	// countedShare bounds what of one prompt counts: the largest ones, of half an engine, would
	// hardly ever find room under load, and be refused while others are served.
	countedShare = 4
	// onTheWay is how late an entry knows an engine's load besides the time between two questions:
	// engines tell it 0.1 s late, entries are told each 0.2 s, and both ways take their time.
	onTheWay = 400 * time.Millisecond
	// usualInterval stands for how often engines are asked where that is not told.
	usualInterval = 200 * time.Millisecond
)

// EngineLoad is what an engine told of its queue and its memory.
type EngineLoad struct {
	// Waiting is how many requests wait there, and Used how many tokens of memory are taken
	// by runs and cannot give way.
	Waiting, Used int
}

// sent is a request on its way, which an engine's own word may not count yet.
type sent struct {
	at     time.Time
	tokens int
}

// interval is how often engines are asked.
func (w PickInfo) interval() time.Duration { return cmp.Or(w.LoadsInterval, usualInterval) }

// unseen is for how long an engine's own word may lack what was sent there.
func (w PickInfo) unseen() time.Duration { return onTheWay + w.interval() }

// Reserve notes the memory that a request takes that goes to an engine.
func (b *Balancer) Reserve(to registry.Incarnation, w PickInfo, now time.Time) {
	l := b.load(to)
	l.sent = append(l.sentSince(now, w.unseen()), sent{at: now, tokens: w.Tokens})
}

// sentSince returns what went to an engine so lately that its own word may lack it.
func (l *load) sentSince(now time.Time, unseen time.Duration) []sent {
	first := 0
	for first < len(l.sent) && now.Sub(l.sent[first].at) > unseen {
		first++
	}
	return l.sent[first:]
}

// Long reports whether a few requests like this one fill an engine.
func (w PickInfo) Long() bool { return w.Memory > 0 && w.Tokens*longShare >= w.Memory }

// Free returns how many tokens of an engine's memory are free, as far as it is known.
func (b *Balancer) Free(of registry.Incarnation, w PickInfo, now time.Time) (tokens int, known bool) {
	told, known := w.Loads[of]
	if !known || w.Memory == 0 {
		return 0, false
	}
	return b.load(of).free(told, w, now), true
}

// free returns how many tokens are free by what an engine told and what was sent there since.
func (l *load) free(told EngineLoad, w PickInfo, now time.Time) int {
	free := w.Memory - told.Used
	for _, s := range l.sentSince(now, w.unseen()) {
		free -= s.tokens
	}
	return free
}

// room returns how many tokens of an engine's memory are free, as far as it is known, and whether
// that is room for a request. A long one goes only where nothing waits; a short one overtakes what
// waits.
func (c *candidate) room(w PickInfo, now time.Time) (free int, known, has bool) {
	if w.Memory == 0 {
		return 0, false, false
	}
	told, known := w.Loads[c.in.Incarnation()]
	if !known {
		return 0, false, false
	}
	free = c.load.free(told, w, now)
	if w.Long() {
		return free, true, told.Waiting == 0 && free >= min(w.Tokens, w.Memory/countedShare)+w.Memory/headroomShare
	}
	return free, true, free >= w.Tokens
}

// withRoom keeps the engines that have room. Where none is known to have any, a long prompt
// passes over those with the longest queues, and a short one goes by its key alone.
func (b *Balancer) withRoom(open []*candidate, w PickInfo, now time.Time) []*candidate {
	out := b.scratch.roomy[:0]
	for _, c := range open {
		if _, _, has := c.room(w, now); has {
			out = append(out, c)
		}
	}
	b.scratch.roomy = out
	if len(out) > 0 {
		return out
	}
	if w.Long() {
		return b.notCrowded(open, w.Loads)
	}
	return open
}

// notCrowded leaves out the engines at which more waits than the bound allows, of which an
// entry sees little by itself. Those of which nothing is known stay.
func (b *Balancer) notCrowded(open []*candidate, loads map[registry.Incarnation]EngineLoad) []*candidate {
	total, known := 0, 0
	for _, c := range open {
		if l, ok := loads[c.in.Incarnation()]; ok {
			total += l.Waiting
			known++
		}
	}
	if total == 0 {
		return open
	}
	bound := bounded(total, known)
	out := b.scratch.calm[:0]
	for _, c := range open {
		if float64(loads[c.in.Incarnation()].Waiting+1) <= bound {
			out = append(out, c)
		}
	}
	b.scratch.calm = out
	return out
}

// bounded is the most that one of some instances may have of a total, and one more.
func bounded(total, instances int) float64 {
	return loadFactor*float64(total+instances)/float64(instances) + loadSpare
}
