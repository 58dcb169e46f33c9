package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// coldShare is the part of what a cold instance bears that entries send it where no bound is
	// declared.
	coldShare = 0.7
	// coldSpan is the span in which an entry sends its part, a little over a second: requests are
	// not all as long on their way.
	coldSpan = 1050 * time.Millisecond
	// coldGroups is into how many groups entries may fall that do not know of each other, as in a
	// cut, while all of them reach an instance.
	coldGroups = 2
)

// Capacity is what an instance bears from all entries together in some span, a second while it is cold;
// its zero value is without a bound.
type Capacity struct {
	// Rate is how many requests it bears in a span.
	Rate float64
	// Max is how many it must not get more of in any span, 0 where that is not declared.
	Max float64
}

// part is how many requests the entries that know of each other send an instance in a span.
func (b Capacity) part() int {
	if b.Max <= 0 {
		return max(1, int(coldShare*b.Rate))
	}
	return max(1, int(min(b.Rate, b.Max/coldGroups)))
}

// turn is how many of a number this entry gets: the entries take turns by their ranks, beginning with
// another one at each instance, so that exactly the number is given out. The more entries there are,
// the fewer of them get any: an entry that waits for its turn, and has nothing to send just then,
// would leave it unused.
func (w PickInfo) turn(number int, hash uint64) int {
	entries := max(w.Entries, 1)
	rank := min(max(w.Rank, 0), entries-1)
	first := int(float64(hash>>11) / (1 << 53) * float64(entries))
	behind := (rank - first + entries) % entries
	return (number - behind + entries - 1) / entries
}

// coldUntil is until when an instance counts as cold: by its own word, by that of its answers, and
// because its failure domain was evacuated until just now.
func (c *candidate) coldUntil() time.Time {
	return latest(c.in.ColdUntil, c.domain.coldUntil, c.load.coldUntil)
}

func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// isCold reports whether an instance is cold and has a bound.
func (c *candidate) isCold(w PickInfo, now time.Time) bool {
	return w.Cold.Rate > 0 && now.Before(c.coldUntil())
}

// coldPause is how much time lies between two requests of one entry to a cold instance; ok is false
// when the entry sends it none. One that comes back looks idle beside the others, and all entries
// would send to it at once.
func (c *candidate) coldPause(w PickInfo) (pause time.Duration, ok bool) {
	n := w.turn(w.Cold.part(), c.hash)
	if n <= 0 {
		return 0, false
	}
	return coldSpan / time.Duration(n), true
}

// bears reports whether an instance that may be cold bears one more request from this entry.
func (c *candidate) bears(w PickInfo, now time.Time) bool {
	if !c.isCold(w, now) {
		return true
	}
	_, ok := c.coldPause(w)
	return ok && !now.Before(c.load.coldNext)
}

// noteCold notes that a request goes to an instance that may be cold.
func (c *candidate) noteCold(w PickInfo, now time.Time) {
	if !c.isCold(w, now) {
		return
	}
	if pause, ok := c.coldPause(w); ok {
		c.load.coldNext = now.Add(pause)
	}
}

// SetColdUntil takes what an answer of an instance says of until when it is cold, which may be before
// its next heartbeat does.
func (b *Balancer) SetColdUntil(of registry.Incarnation, until time.Time) {
	l := b.load(of)
	l.coldUntil = latest(l.coldUntil, until)
}
