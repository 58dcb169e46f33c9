package balance

import (
	"math"
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
	// limitRarely is the longest time between two requests to an instance that takes any.
	limitRarely = time.Hour
	// limitMost is a limit in requests a second that no instance reaches.
	limitMost = 1e6
)

// Limit is what an instance said last of how many requests it takes from all entries together.
type Limit struct {
	// Named is false when it takes as many as come.
	Named bool
	// PerSecond is how many requests a second it takes, at least 0.
	PerSecond float64
	// At is when it was heard, or, of one that is not named any more, when the request was sent whose
	// answer named none. A later word takes the place of an earlier one.
	At time.Time
}

// NoteLimit takes the limit that an instance named in an answer, and reports whether it is another one
// than was known.
func (b *Board) NoteLimit(of registry.Incarnation, perSecond float64, now time.Time) (changed bool) {
	return b.load(of).note(Limit{Named: true, PerSecond: perSecond, At: now})
}

// NoteNoLimit takes that an instance named no limit in the answer to a request that was sent at some
// time, and reports whether one was known. An answer may be overtaken by a later one that names a limit,
// so only a request that was sent after the limit was heard takes it back.
func (b *Board) NoteNoLimit(of registry.Incarnation, sent time.Time) (changed bool) {
	return b.load(of).note(Limit{At: sent})
}

// NoteUnreadableLimit takes that an instance named a limit that does not read; the one that is known
// holds on. It reports whether the last word was readable.
func (b *Board) NoteUnreadableLimit(of registry.Incarnation) (changed bool) {
	l := b.load(of)
	changed = !l.limitUnreadable
	l.limitUnreadable = true
	return changed
}

// Limit returns what is known of an instance's limit.
func (b *Board) Limit(of registry.Incarnation) Limit { return b.load(of).limit }

// note takes a word on the limit.
func (l *load) note(word Limit) (changed bool) {
	l.limitUnreadable = false
	known := l.limit
	if !word.At.After(known.At) {
		return false
	}
	l.limit = word
	if known.Named != word.Named || known.PerSecond != word.PerSecond {
		l.limitNext = time.Time{}
	}
	return known.Named != word.Named || known.PerSecond != word.PerSecond
}

// bound is what an instance with a limit takes in limitSpan.
func (l Limit) bound() Bound {
	number := min(l.PerSecond, limitMost) * limitSpan.Seconds()
	return Bound{Rate: number, Most: limitOverage*number + limitSlack}
}

// pause is how much time lies between two requests of one entry to an instance with a limit; ok is false
// when the entry sends it none.
func (l Limit) pause(w Wish, hash uint64) (pause time.Duration, ok bool) {
	if l.PerSecond == 0 {
		return 0, false
	}
	n := w.turn(l.bound().part(), hash)
	if n <= 0 {
		return 0, false
	}
	alone := math.Min(1/l.PerSecond, limitRarely.Seconds())
	return max((limitSpan+limitMargin)/time.Duration(n), time.Duration(alone*float64(time.Second))), true
}

// withinLimit reports whether an instance that may have a limit takes one more request from this entry.
// An entry that gets a turn waits for as long as it is from one of its requests to the next: whoever had
// the turn before it, or sent freely until the limit was known, may have sent just now.
func (c *candidate) withinLimit(w Wish, now time.Time) bool {
	l := c.load
	if !l.limit.Named {
		return true
	}
	pause, ok := l.limit.pause(w, c.hash)
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
func (c *candidate) noteSent(w Wish, now time.Time) {
	if !c.load.limit.Named {
		return
	}
	if pause, ok := c.load.limit.pause(w, c.hash); ok {
		c.load.limitNext = now.Add(pause)
	}
}

// limitedFor is how long it is until an instance with a limit takes one more request: of this entry, or
// where others have the turns, of any.
func (c *candidate) limitedFor(now time.Time) time.Duration {
	if !c.load.limitNext.IsZero() {
		return c.load.limitNext.Sub(now)
	}
	if c.load.limit.PerSecond == 0 {
		return limitSpan
	}
	return time.Duration(math.Min(1/c.load.limit.PerSecond, limitSpan.Seconds()) * float64(time.Second))
}
