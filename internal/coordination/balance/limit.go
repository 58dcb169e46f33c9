package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
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
	return known.Named != word.Named || known.PerSecond != word.PerSecond
}
