package balance

import (
	"math"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// longShare says which prompts are long: those of which so many fill an engine. A few of
	// them take all of its memory while most of its places are free. An engine without room
	// makes the least urgent of its requests give way and reads their prompts again, and what
	// was fetched for those that wait is dropped; in measured bursts two thirds of the
	// prompts then came late, and half of the tokens were read twice.
	longShare = 16
	// headroomShare is the part of an engine's memory that is left to the answers of what runs
	// there and to short prompts. A third of it and double measured the same.
	headroomShare = 12
	// countedShare bounds what of one prompt counts: the largest ones, of half an engine, would
	// hardly ever find room under load, and be refused while others are served.
	countedShare = 4
	// unseen is for how long an engine's own word may lack what was sent there: engines tell
	// their load 0.1 s late, and are asked, and entries told, each 0.2 s.
	unseen = 600 * time.Millisecond
	// untold is how old an engine's load is in the mean when an entry goes by it: 0.1 s until
	// it is told and half of the time between two questions. With twice as much, prompts were
	// refused on calm days.
	untold = 250 * time.Millisecond
	// demandOver is the time over which an entry's long prompts are averaged: one of 79 entries
	// gets about one a second, and a burst lasts some seconds.
	demandOver = 4 * time.Second
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

// Sent notes how much memory a request takes that goes to an engine.
func (b *Board) Sent(id string, tokens int, now time.Time) {
	l := b.load(id)
	l.sent = append(l.sentSince(now), sent{at: now, tokens: tokens})
}

// sentSince returns what went to an engine so lately that its own word may lack it.
func (l *load) sentSince(now time.Time) []sent {
	first := 0
	for first < len(l.sent) && now.Sub(l.sent[first].at) > unseen {
		first++
	}
	return l.sent[first:]
}

// Long reports whether a few requests like this one fill an engine.
func (w Wish) Long() bool { return w.Memory > 0 && w.Tokens*longShare >= w.Memory }

// Free returns how many tokens of an engine's memory are free, as far as it is known.
func (b *Board) Free(id string, w Wish, now time.Time) (tokens int, known bool) {
	told, known := w.Loads[id]
	if !known || w.Memory == 0 {
		return 0, false
	}
	free := w.Memory - told.Used
	for _, s := range b.load(id).sentSince(now) {
		free -= s.tokens
	}
	return free, true
}

// hasRoom reports whether an engine is known to have room for a request. A long one goes only
// where nothing waits; a short one overtakes what waits.
func (b *Board) hasRoom(id string, w Wish, now time.Time) bool {
	free, known := b.Free(id, w, now)
	switch {
	case !known:
		return false
	case w.Long():
		return w.Loads[id].Waiting == 0 && free >= min(w.Tokens, w.Memory/countedShare)+w.Memory/headroomShare
	default:
		return free >= w.Tokens
	}
}

// withRoom keeps the engines that have room. Where none is known to have any, a long prompt
// passes over those with the longest queues, and a short one goes by its key alone.
func (b *Board) withRoom(open []registry.Instance, w Wish, now time.Time) []registry.Instance {
	var out []registry.Instance
	for _, in := range open {
		if b.hasRoom(in.ID, w, now) {
			out = append(out, in)
		}
	}
	if len(out) > 0 {
		return out
	}
	if w.Long() {
		return notCrowded(open, w.Loads)
	}
	return open
}

// Admit reports whether a request is to be sent now, and how many tokens are known to be free in
// engines with room for it. A long prompt that is not sent is better refused at once: when no
// engine that may take it has room, or when all entries together ask for more room than there is;
// then each refuses the part of its prompts that would find none.
// Sent nevertheless, they would wait in memory that those before them need, and all of them
// would come late. Of long prompts in a burst of 16 s at 9 engines a quarter was in time, and
// three fifths of them with this; without the part for the other entries, 79 of them at 60
// engines still sent to each engine with room at once (0.47 in time, with it 0.58).
func (b *Board) Admit(instances []registry.Instance, w Wish, now time.Time) (room int, ok bool) {
	if !w.Long() {
		return 0, true
	}
	b.noteDemand(w.Tokens, now)
	open := b.open(instances, w, now)
	room, known := b.roomFor(open, w, now)
	if 2*known < len(open) || known == 0 {
		return room, true
	}
	return room, room > 0 && b.random.Float64()*b.othersDemand(w.Entries) <= float64(room)
}

// roomFor returns how many tokens are free for a request in all engines that have room for it,
// and of how many engines anything is known.
func (b *Board) roomFor(open []registry.Instance, w Wish, now time.Time) (room, known int) {
	for _, in := range open {
		free, ok := b.Free(in.ID, w, now)
		if !ok {
			continue
		}
		known++
		if b.hasRoom(in.ID, w, now) {
			room += free - w.Memory/headroomShare
		}
	}
	return room, known
}

// noteDemand counts the tokens of a long prompt, whatever becomes of it.
func (b *Board) noteDemand(tokens int, now time.Time) {
	past := now.Sub(b.demandAt).Seconds() / demandOver.Seconds()
	b.demand = b.demand*math.Exp(-past) + float64(tokens)
	b.demandAt = now
}

// othersDemand estimates how many tokens of long prompts the other entries have sent since
// engines told their load, as many each as this one.
func (b *Board) othersDemand(entries int) float64 {
	return b.demand / demandOver.Seconds() * untold.Seconds() * float64(max(entries, 1)-1)
}

// notCrowded leaves out the engines at which more waits than the bound allows, of which an
// entry sees little by itself. Those of which nothing is known stay.
func notCrowded(open []registry.Instance, loads map[string]EngineLoad) []registry.Instance {
	total, known := 0, 0
	for _, in := range open {
		if l, ok := loads[in.ID]; ok {
			total += l.Waiting
			known++
		}
	}
	if total == 0 {
		return open
	}
	bound := bounded(total, known)
	var out []registry.Instance
	for _, in := range open {
		if float64(loads[in.ID].Waiting+1) <= bound {
			out = append(out, in)
		}
	}
	return out
}

// bounded is the most that one of some instances may have of a total, and one more.
func bounded(total, instances int) float64 {
	return loadFactor*float64(total+instances)/float64(instances) + loadSpare
}
