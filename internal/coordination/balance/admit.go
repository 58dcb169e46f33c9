package balance

import (
	"math"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// arrival is how late an engine's load arrives in the mean, besides half of the time between
	// two questions. With twice as much in all, prompts were refused on calm days.
	arrival = 150 * time.Millisecond
	// demandOver is the time over which an entry's long prompts are averaged: one of 79 entries
	// gets about one a second, and a burst lasts some seconds.
	demandOver = 4 * time.Second
)

// Admit reports whether a request is to be sent now, and how many tokens are known to be free in
// engines with room for it. A long prompt that is not sent is better refused at once: when no
// engine that may take it has room, or when all entries together ask for more room than there is;
// then each refuses the part of its prompts that would find none.
// Sent nevertheless, they would wait in memory that those before them need, and all of them
// would come late. Of long prompts in a burst of 16 s at 9 engines a quarter was in time, and
// three fifths of them with this; without the part for the other entries, 79 of them at 60
// engines still sent to each engine with room at once (0.47 in time, with it 0.58).
func (b *Balancer) Admit(instances []registry.Instance, w PickInfo, now time.Time) (room int, ok bool) {
	if !w.Long() {
		return 0, true
	}
	b.noteDemand(w.Tokens, now)
	open := b.open(b.roster(instances, now), w, now)
	room, known := roomFor(open, w, now)
	if 2*known < len(open) || known == 0 {
		return room, true
	}
	return room, room > 0 && b.random.Float64()*b.othersDemand(w) <= float64(room)
}

// roomFor returns how many tokens are free for a request in all engines that have room for it,
// and of how many engines anything is known.
func roomFor(open []*candidate, w PickInfo, now time.Time) (room, known int) {
	for _, c := range open {
		free, ok, has := c.room(w, now)
		if ok {
			known++
		}
		if has {
			room += free - w.Memory/headroomShare
		}
	}
	return room, known
}

// noteDemand counts the tokens of a long prompt, whatever becomes of it.
func (b *Balancer) noteDemand(tokens int, now time.Time) {
	past := now.Sub(b.demandAt).Seconds() / demandOver.Seconds()
	b.demand = b.demand*math.Exp(-past) + float64(tokens)
	b.demandAt = now
}

// untold is how old an engine's load is in the mean when an entry goes by it.
func (w PickInfo) untold() time.Duration { return arrival + w.interval()/2 }

// othersDemand estimates how many tokens of long prompts the other entries have sent since
// engines told their load, as many each as this one.
func (b *Balancer) othersDemand(w PickInfo) float64 {
	return b.demand / demandOver.Seconds() * w.untold().Seconds() * float64(max(w.Entries, 1)-1)
}
