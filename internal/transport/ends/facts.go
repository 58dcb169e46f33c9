package ends

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

const (
	// passOnAfter is how long an entry waits before it passes on what it heard from another one
	// to whoever does not know it yet: whoever saw it tells all that it reaches within 0.1 s. As
	// much again is drawn, so that not all entries do.
	passOnAfter = 300 * time.Millisecond
	// mostNamed is how many ends of one message are logged each by itself.
	mostNamed = 3
	// mostPassedOn bounds the facts in one message, to some 15 KiB.
	mostPassedOn = 200
)

// origin is where a fact is from.
type origin struct {
	// from is empty for what was seen here.
	from string
	at   time.Time
	// passOn is when others are told by this entry.
	passOn time.Time
}

// take joins a fact and reports whether it was news; mu must be held.
func (t *Tracker) take(f quarantine.Fact, o origin) bool {
	if !t.book.Merge(f) {
		return false
	}
	o.passOn = o.at
	if o.from == "" {
		t.seen++
	} else {
		o.passOn = o.at.Add(passOnAfter + rand.N(passOnAfter))
	}
	t.learned[f.Key()] = o
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Merge joins what others saw. from names who told it.
func (t *Tracker) Merge(from string, facts []quarantine.Fact) {
	if len(facts) == 0 {
		return
	}
	t.init()
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var ends []quarantine.InstanceEnded
	for _, f := range facts {
		if !t.take(f, origin{from: from, at: now}) {
			continue
		}
		t.Metrics.hear(f)
		end, ok := f.(quarantine.InstanceEnded)
		if !ok {
			continue
		}
		ends = append(ends, end)
		if at, known := t.answered[end.Digest]; known {
			t.take(quarantine.RequestSucceeded{Digest: end.Digest, At: at}, origin{at: now})
		}
	}
	t.logHeard(from, ends, now)
}

// logHeard logs the ends that were heard of in one message: each by itself, or their number when
// there are many, as when a failure domain was lost. Whoever saw an end names it in any case.
func (t *Tracker) logHeard(from string, ends []quarantine.InstanceEnded, now time.Time) {
	if len(ends) <= mostNamed {
		for _, end := range ends {
			t.Log.Info().Str("event", "instance_end_heard").Str("digest", end.Digest.String()).Str("instance", end.Incarnation.ID).Int64("start", int64(end.Incarnation.Start)).
				Str("from", from).Dur("age_ms", now.Sub(end.At)).Msg("")
		}
		return
	}
	digests := map[quarantine.Digest]bool{}
	oldest, newest := ends[0].At, ends[0].At
	for _, end := range ends {
		digests[end.Digest] = true
		if end.At.Before(oldest) {
			oldest = end.At
		}
		if end.At.After(newest) {
			newest = end.At
		}
	}
	t.Log.Info().Str("event", "instance_ends_heard").Int("ends", len(ends)).Int("digests", len(digests)).Str("from", from).
		Dur("oldest_age_ms", now.Sub(oldest)).Dur("newest_age_ms", now.Sub(newest)).Msg("")
}

// Changed returns what is closed at the next new fact.
func (t *Tracker) Changed() <-chan struct{} {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// LocalFacts returns how many facts were seen here.
func (t *Tracker) LocalFacts() uint64 {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// Snapshot returns the newest facts, and a digest that is the same for trackers that know of the same.
func (t *Tracker) Snapshot() (facts []quarantine.Fact, digest uint64) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	facts, _ = t.book.Since(0, t.book.Len())
	return facts, t.book.Checksum()
}

// ReceiverState is what one receiver knows already. Make one with NewTold. It is not safe for concurrent use.
type ReceiverState struct {
	// when says when each fact was seen that the receiver knows, by what it is about.
	when map[quarantine.Key]time.Time
	// upTo is the change up to which the receiver knows all.
	upTo uint64
}

// NewReceiverState returns what a receiver knows that was told nothing.
func NewReceiverState() *ReceiverState { return &ReceiverState{when: map[quarantine.Key]time.Time{}} }

// MarkKnown notes what a receiver knows.
func (known *ReceiverState) MarkKnown(facts []quarantine.Fact) {
	for _, f := range facts {
		known.when[f.Key()] = f.When()
	}
}

// MarkUnknown notes what a receiver does not know after all.
func (known *ReceiverState) MarkUnknown(facts []quarantine.Fact) {
	for _, f := range facts {
		delete(known.when, f.Key())
	}
	known.upTo = 0
}

// Reset notes that a receiver knows nothing any more.
func (known *ReceiverState) Reset() { *known = *NewReceiverState() }

// lacks reports whether a receiver does not know a fact, or an older one in its place.
func (known *ReceiverState) lacks(f quarantine.Fact) bool {
	at, told := known.when[f.Key()]
	return !told || f.When().Sub(at) > quarantine.TimeTolerance
}

// Unsent returns what a receiver is to be told now, and forgets in known what is forgotten here.
// What it is known to know already is not looked at again: with 1,024 facts a look took 0.65 ms,
// four times a second and more for each control instance.
func (t *Tracker) Unsent(known *ReceiverState) []quarantine.Fact {
	t.init()
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if known.upTo == t.book.Change() {
		return nil
	}
	maps.DeleteFunc(known.when, func(k quarantine.Key, _ time.Time) bool { return !t.book.Contains(k) })
	var out []quarantine.Fact
	upTo := known.upTo
	complete := true
	for change, f := range t.book.After(known.upTo) {
		switch {
		case !known.lacks(f):
		case now.Before(t.learned[f.Key()].passOn):
			complete = false
		case len(out) == mostPassedOn:
			known.upTo = upTo
			return out
		default:
			out = append(out, f)
		}
		if complete {
			upTo = change
		}
	}
	if complete {
		upTo = t.book.Change()
	}
	known.upTo = upTo
	return out
}
