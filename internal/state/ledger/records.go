package ledger

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/shedrock/shedrock/internal/state/command"
)

// Phase is the phase of an at-most-once call.
type Phase uint32

// The phases of a record.
const (
	// Reserved means that only the holder may dispatch the call, and may have done so.
	Reserved Phase = iota + 1
	// Finished means that the call ran; its answer may be recorded.
	Finished
	// Unresolved means that it cannot be determined whether the call ran.
	Unresolved
)

// reservationTimeout is how long a reservation counts as in progress. It only affects
// the response to the caller, "in progress" or "unknown"; the call is never run again.
const reservationTimeout = 10 * time.Minute

const (
	// releasedRetention is how long a holder that released a reservation is retained: a leader that was
	// suspended for longer is no longer the leader. maxReleased bounds the number of holders.
	releasedRetention = time.Minute
	maxReleased       = 4096
)

// TombstoneRetention is how long the key of an expired record is refused.
const TombstoneRetention = 400 * 24 * time.Hour

// MaxTombstones bounds the number of tombstones: 100,000 calls a day for ten days, or
// 2,500 a day for 400. When it is reached, new keys without a timestamp are
// refused, and no tombstone is dropped early.
const MaxTombstones = 1_000_000

// maxClockSkew is how far the timestamp of a key may be ahead of the ledger's time.
const maxClockSkew = 5 * time.Minute

// Record is the immutable state of one at-most-once call.
type Record struct {
	digest []byte
	holder string
	at     int64
	phase  Phase
	answer *command.Answer
}

// Phase returns the phase of the call.
func (r Record) Phase() Phase { return r.phase }

// Holder returns the id of the only attempt that may dispatch the call.
func (r Record) Holder() string { return r.holder }

// Answer returns the recorded answer, or nil if there is none.
func (r Record) Answer() *command.Answer { return r.answer }

// callID identifies a record. Keys of different teams are independent.
type callID struct{ team, key string }

// tombstone is the digest of an identity.
type tombstone [16]byte

func (i callID) tombstone() tombstone {
	sum := sha256.Sum256([]byte(i.team + "\x00" + i.key))
	return tombstone(sum[:16])
}

// ReserveResult is one of Granted, Existing, BodyMismatch, Expired or Full.
type ReserveResult interface{ reserveResult() }

// Granted means that the holder may dispatch the call once.
type Granted struct{}

// Existing means that the key is in use by the same request.
type Existing struct{ Record Record }

// BodyMismatch means that the key is in use by a request with another body.
type BodyMismatch struct{}

// Expired means that the key is refused: it may belong to an earlier call whose record has expired, its
// timestamp is too far in the future, or the holder released its reservation before.
type Expired struct{}

// Full means that no more keys can be recorded.
type Full struct{}

func (Granted) reserveResult()      {}
func (Existing) reserveResult()     {}
func (BodyMismatch) reserveResult() {}
func (Expired) reserveResult()      {}
func (Full) reserveResult()         {}

func (l *Ledger) reserve(c *command.Reserve) ReserveResult {
	id := callID{c.Team, c.Key}
	if _, gone := l.released[c.Holder]; gone {
		return Expired{}
	}
	if r, ok := l.records[id]; ok {
		return l.reserveExisting(id, r, c)
	}
	timestamp, hasTimestamp := KeyTime(c.Key)
	if hasTimestamp {
		now := time.UnixMilli(l.now)
		if timestamp.Before(now.Add(-l.declared.Control().Retention())) || timestamp.After(now.Add(maxClockSkew)) {
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

func (l *Ledger) reserveExisting(id callID, r Record, c *command.Reserve) ReserveResult {
	if !bytes.Equal(r.digest, c.Digest) {
		return BodyMismatch{}
	}
	if r.phase == Reserved && r.holder == c.Holder {
		// The holder retries because the response was lost.
		return Granted{}
	}
	if r.phase == Reserved && l.now-r.at > reservationTimeout.Milliseconds() {
		r.phase = Unresolved
		l.records[id] = r
	}
	return Existing{Record: r}
}

func (l *Ledger) finish(c *command.Finish) bool {
	id := callID{c.Team, c.Key}
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

// release removes a reservation whose holder has not dispatched the call. Its entry in l.order
// stays until it expires.
func (l *Ledger) release(c *command.Release) bool {
	id := callID{c.Team, c.Key}
	r, ok := l.records[id]
	if ok && (r.holder != c.Holder || r.phase != Reserved) {
		return false
	}
	l.addReleased(c.Holder)
	delete(l.records, id)
	return ok
}

// addReleased records a holder whose reservation may still arrive: a leader that was suspended may read
// it after the release.
func (l *Ledger) addReleased(holder string) {
	if _, known := l.released[holder]; known {
		return
	}
	if len(l.releasedOrder) >= maxReleased {
		l.removeOldestReleased()
	}
	l.released[holder] = l.now
	l.releasedOrder = append(l.releasedOrder, holder)
}

func (l *Ledger) removeOldestReleased() {
	delete(l.released, l.releasedOrder[0])
	l.releasedOrder = l.releasedOrder[1:]
}

// expire replaces records past their retention by tombstones, and removes released holders and
// tombstones past theirs. All three are ordered by age, so only the oldest need to be checked.
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
	for len(l.releasedOrder) > 0 && l.now-l.released[l.releasedOrder[0]] > releasedRetention.Milliseconds() {
		l.removeOldestReleased()
	}
	limit = l.now - TombstoneRetention.Milliseconds()
	for len(l.tombstoneOrder) > 0 && l.tombstones[l.tombstoneOrder[0]] <= limit {
		delete(l.tombstones, l.tombstoneOrder[0])
		l.tombstoneOrder = l.tombstoneOrder[1:]
	}
}
