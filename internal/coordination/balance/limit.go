package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// limitSpan is the span over which entries share what an instance with a limit takes. Each leaves
	// limitMargin more between its own requests, which are not all as long on their way.
	limitSpan   = 4 * time.Second
	limitMargin = 200 * time.Millisecond
	// limitOverage and limitSlack bound what an instance may get in limitSpan from entries that do not
	// all know of each other: so many times its limit, and so many requests more.
	limitOverage = 1.5
	limitSlack   = 5
	// limitRotation is for how long turns stay with the same entries, where there are more entries than
	// turns. Then others have them, so that each learns in the end that a limit was taken back.
	limitRotation = 3 * (limitSpan + limitMargin)
	// limitLeast is what an instance is sent at least, in requests a second, so that entries learn that it
	// takes more again; limitMost is a limit that no instance reaches.
	limitLeast = 0.1
	limitMost  = 1e6
)

// Limit is what an instance said last of how many requests it takes from all entries together.
type Limit struct {
	// Active is false when it takes as many as come.
	Active bool
	// PerSecond is how many requests a second it takes, at least 0.
	PerSecond float64
	// At is when it was heard, or, of one that is not named any more, when the request was sent whose
	// answer named none. A later word takes the place of an earlier one.
	At time.Time
	// since is when the first of the limits was heard that have been named without a break.
	since time.Time
}

// SetLimit takes the limit that an instance named in an answer, and reports whether it is another one
// than was known.
func (b *Balancer) SetLimit(of registry.Incarnation, perSecond float64, now time.Time) (changed bool) {
	return b.load(of).note(Limit{Active: true, PerSecond: perSecond, At: now})
}

// ClearLimit takes that an instance named no limit in the answer to a request that was sent at some
// time, and reports whether one was known. An answer may be overtaken by a later one that names a limit,
// so only a request that was sent after the limit was heard takes it back.
func (b *Balancer) ClearLimit(of registry.Incarnation, sent time.Time) (changed bool) {
	return b.load(of).note(Limit{At: sent})
}

// MarkLimitUnreadable takes that an instance named a limit that does not read; the one that is known
// holds on. It reports whether the last word was readable.
func (b *Balancer) MarkLimitUnreadable(of registry.Incarnation) (changed bool) {
	l := b.load(of)
	changed = !l.limitUnreadable
	l.limitUnreadable = true
	return changed
}

// Limit returns what is known of an instance's limit.
func (b *Balancer) Limit(of registry.Incarnation) Limit { return b.load(of).limit }

// note takes a word on the limit.
func (l *load) note(word Limit) (changed bool) {
	l.limitUnreadable = false
	known := l.limit
	if !word.At.After(known.At) {
		return false
	}
	word.since = word.At
	if known.Active {
		word.since = known.since
	}
	l.limit = word
	changed = known.Active != word.Active || known.PerSecond != word.PerSecond
	if changed {
		l.limitNext = time.Time{}
	}
	return changed
}

// rate is how many requests a second all entries together send an instance with a limit.
func (l Limit) rate() float64 { return min(max(l.PerSecond, limitLeast), limitMost) }

// bound is what an instance with a limit takes in limitSpan.
func (l Limit) bound() Capacity {
	number := l.rate() * limitSpan.Seconds()
	return Capacity{Rate: number, Max: limitOverage*number + limitSlack}
}

// interval is how much time lies between two requests of all entries.
func (l Limit) interval() time.Duration { return time.Duration(float64(time.Second) / l.rate()) }

// turns is how many requests this entry may send in limitSpan.
func (l Limit) turns(w PickInfo, hash uint64, now time.Time) int {
	number := l.bound().part()
	entries := max(w.Entries, 1)
	rotations := int(now.Sub(l.since) / limitRotation)
	w.Rank = (w.Rank + rotations%entries*number) % entries
	return w.turn(number, hash)
}

// pause is how much time lies between two requests of one entry to an instance with a limit; ok is false
// when the entry sends it none.
func (l Limit) pause(w PickInfo, hash uint64, now time.Time) (pause time.Duration, ok bool) {
	n := l.turns(w, hash, now)
	if n <= 0 {
		return 0, false
	}
	return max((limitSpan+limitMargin)/time.Duration(n), l.interval()), true
}

// withinLimit reports whether an instance that may have a limit takes one more request from this entry.
// An entry that gets a turn waits for as long as it is from one of its requests to the next: whoever had
// the turn before it, or sent freely until the limit was known, may have sent just now.
func (c *candidate) withinLimit(w PickInfo, now time.Time) bool {
	l := c.load
	if !l.limit.Active {
		return true
	}
	pause, ok := l.limit.pause(w, c.hash, now)
	if !ok {
		l.limitNext = time.Time{}
		return false
	}
	if l.limitNext.IsZero() {
		l.limitNext = now.Add(pause)
	}
	return !now.Before(l.limitNext)
}

// noteSent notes that a request goes to an instance that may have a limit.
func (c *candidate) noteSent(w PickInfo, now time.Time) {
	if !c.load.limit.Active {
		return
	}
	if pause, ok := c.load.limit.pause(w, c.hash, now); ok {
		c.load.limitNext = now.Add(pause)
	}
}

// limitedFor is how long it is until an instance with a limit takes one more request: of this entry, or
// where others have the turns, of any.
func (c *candidate) limitedFor(now time.Time) time.Duration {
	if !c.load.limitNext.IsZero() {
		return c.load.limitNext.Sub(now)
	}
	return c.load.limit.interval()
}
