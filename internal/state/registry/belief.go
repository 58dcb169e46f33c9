package registry

import "time"

// lateFor is how late a heartbeat may come: after an engine was asked for its weights, an older
// version in a heartbeat counts only once that long has passed, as it may have been sent before.
const lateFor = 5 * time.Second

// Provenance is how what an instance said of itself is known.
type Provenance struct {
	// At is when it was first said, as far as it was not said differently since.
	At time.Time
	// Queried says that a control instance asked for it; else a heartbeat told it.
	Queried bool
	// Via is the address of the control instance that passed it on, or empty where it was heard.
	Via string
}

// claim is one word about the version of one model's weights.
type claim struct {
	version uint64
	word    Provenance
	// sequence is that of the newest heartbeat that was known with the word.
	sequence uint64
}

// after reports whether a claim was made after another one: heartbeats are in the order of
// their sequence, and answers in that of time.
func (c claim) after(other claim) bool {
	if !c.word.Queried && !other.word.Queried {
		return c.sequence > other.sequence
	}
	return c.word.At.After(other.word.At)
}

// refutes reports whether a claim of an older version, made after one of a newer, ends the
// belief in that.
func (c claim) refutes(newer claim, now time.Time) bool {
	if !c.after(newer) {
		return false
	}
	return c.word.Queried || !newer.word.Queried || now.Sub(newer.word.At) > lateFor
}

// belief is what is believed of the weights of one model at one instance, as several sources
// told it. Versions rise, but for an engine that was seen to have older weights again: an
// order that is carried out late may do that.
type belief struct {
	held claim
	// doubt is a later claim of an older version, which may yet be a late heartbeat; it is nil
	// when there is none.
	doubt *claim
}

// take joins a claim.
func (b *belief) take(c claim) {
	switch {
	case c.version == b.held.version:
		if c.after(b.held) {
			b.held = c
		}
	case c.version > b.held.version:
		if b.held.after(c) && (b.doubt == nil || b.held.after(*b.doubt)) {
			older := b.held
			b.doubt = &older
		}
		b.held = c
	case b.doubt == nil || c.after(*b.doubt):
		b.doubt = &c
	}
	if b.doubt != nil && !b.doubt.after(b.held) {
		b.doubt = nil
	}
}

// at returns what is believed at a time.
func (b *belief) at(now time.Time) claim {
	if b.doubt != nil && b.doubt.refutes(b.held, now) {
		b.held, b.doubt = *b.doubt, nil
	}
	return b.held
}
