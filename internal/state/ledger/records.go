package ledger

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/shedrock/shedrock/internal/state/command"
)

// Phase is how far an at-most-once call has come.
type Phase uint32

// The phases of a record.
const (
	// Reserved: the holder alone may dispatch, and may have done so.
	Reserved Phase = iota + 1
	// Finished: the call ran, and its answer may be kept.
	Finished
	// Unresolved: the call may have run, and nobody can tell.
	Unresolved
)

// reservedLimit is how long a reservation counts as in progress. It only changes
// what a caller is told, "in progress" or "unknown"; the call is never run again.
const reservedLimit = 10 * time.Minute

const (
	// releasedFor is how long a holder who took a reservation back is remembered: a leader that stood
	// still for longer is not the leader any more. maxReleased bounds their number.
	releasedFor = time.Minute
	maxReleased = 4096
)

// TombstoneRetention is how long the digest of an expired record still refuses
// its key.
const TombstoneRetention = 400 * 24 * time.Hour

// MaxTombstones bounds the digests kept: 100,000 calls a day for ten days, or
// 2,500 a day for 400. When it is reached, new keys without a date of their own
// are refused rather than old ones forgotten.
const MaxTombstones = 1_000_000

// futureSlack is how far a dated key may run ahead of the log's time.
const futureSlack = 5 * time.Minute

// Record is the state of one at-most-once call. It is an immutable value.
type Record struct {
	digest []byte
	holder string
	at     int64
	phase  Phase
	answer *command.Answer
}

// Phase returns how far the call has come.
func (r Record) Phase() Phase { return r.phase }

// Holder returns the one attempt that may dispatch.
func (r Record) Holder() string { return r.holder }

// Answer returns the recorded answer, or nil when there is none.
func (r Record) Answer() *command.Answer { return r.answer }

// identity names a record. Teams never share keys.
type identity struct{ team, key string }

// tombstone is the digest of an identity.
type tombstone [16]byte

func (i identity) tombstone() tombstone {
	sum := sha256.Sum256([]byte(i.team + "\x00" + i.key))
	return tombstone(sum[:16])
}

// ReserveResult is one of Granted, Existing, BodyMismatch, Expired or Full.
type ReserveResult interface{ reserveResult() }

// Granted lets the holder dispatch the call, once.
type Granted struct{}

// Existing says that the key is taken by the same request.
type Existing struct{ Record Record }

// BodyMismatch says that the key is taken by a request with another body.
type BodyMismatch struct{}

// Expired says that the key is too old to be told from one that has run, or that the holder took the
// reservation back before.
type Expired struct{}

// Full says that no more keys can be remembered.
type Full struct{}

func (Granted) reserveResult()      {}
func (Existing) reserveResult()     {}
func (BodyMismatch) reserveResult() {}
func (Expired) reserveResult()      {}
func (Full) reserveResult()         {}

func (l *Ledger) reserve(c *command.Reserve) ReserveResult {
	id := identity{c.Team, c.Key}
	if _, gone := l.released[c.Holder]; gone {
		return Expired{}
	}
	if r, ok := l.records[id]; ok {
		return l.reserveKnown(id, r, c)
	}
	dated, hasDate := KeyTime(c.Key)
	if hasDate {
		now := time.UnixMilli(l.now)
		if dated.Before(now.Add(-l.declared.Control().Retention())) || dated.After(now.Add(futureSlack)) {
			return Expired{}
		}
	} else {
		if _, ok := l.tombstones[id.tombstone()]; ok {
			return Expired{}
		}
		if len(l.tombstones)+len(l.records) >= MaxTombstones {
			return Full{}
		}
	}
	l.records[id] = Record{digest: c.Digest, holder: c.Holder, at: l.now, phase: Reserved}
	l.order = append(l.order, id)
	return Granted{}
}

func (l *Ledger) reserveKnown(id identity, r Record, c *command.Reserve) ReserveResult {
	if !bytes.Equal(r.digest, c.Digest) {
		return BodyMismatch{}
	}
	if r.phase == Reserved && r.holder == c.Holder {
		// The holder asks again because its answer was lost.
		return Granted{}
	}
	if r.phase == Reserved && l.now-r.at > reservedLimit.Milliseconds() {
		r.phase = Unresolved
		l.records[id] = r
	}
	return Existing{Record: r}
}

func (l *Ledger) finish(c *command.Finish) bool {
	id := identity{c.Team, c.Key}
	r, ok := l.records[id]
	if !ok || r.holder != c.Holder || r.phase == Finished {
		return false
	}
	r.phase = Unresolved
	if c.Answer != nil {
		r.phase = Finished
		r.answer = c.Answer
	}
	l.records[id] = r
	return true
}

// release forgets a reservation whose holder sent nothing. Its place in order
// stays until it expires.
func (l *Ledger) release(c *command.Release) bool {
	id := identity{c.Team, c.Key}
	r, ok := l.records[id]
	if ok && (r.holder != c.Holder || r.phase != Reserved) {
		return false
	}
	l.noteReleased(c.Holder)
	delete(l.records, id)
	return ok
}

// noteReleased remembers a holder whose reservation may still come: a leader that stood still may read
// it later than the release.
func (l *Ledger) noteReleased(holder string) {
	if _, known := l.released[holder]; known {
		return
	}
	if len(l.releasedOrder) >= maxReleased {
		l.forgetReleased()
	}
	l.released[holder] = l.now
	l.releasedOrder = append(l.releasedOrder, holder)
}

func (l *Ledger) forgetReleased() {
	delete(l.released, l.releasedOrder[0])
	l.releasedOrder = l.releasedOrder[1:]
}

// expire turns the records past their retention into tombstones, and forgets
// the tombstones past theirs. Each step looks only at the oldest.
func (l *Ledger) expire() {
	limit := l.now - l.declared.Control().Retention().Milliseconds()
	for len(l.order) > 0 {
		id := l.order[0]
		r, ok := l.records[id]
		if ok && r.at > limit {
			break
		}
		l.order = l.order[1:]
		if !ok {
			continue
		}
		delete(l.records, id)
		if _, dated := KeyTime(id.key); !dated {
			l.tombstones[id.tombstone()] = l.now
			l.tombstoneOrder = append(l.tombstoneOrder, id.tombstone())
		}
	}
	for len(l.releasedOrder) > 0 && l.now-l.released[l.releasedOrder[0]] > releasedFor.Milliseconds() {
		l.forgetReleased()
	}
	limit = l.now - TombstoneRetention.Milliseconds()
	for len(l.tombstoneOrder) > 0 && l.tombstones[l.tombstoneOrder[0]] <= limit {
		delete(l.tombstones, l.tombstoneOrder[0])
		l.tombstoneOrder = l.tombstoneOrder[1:]
	}
}
