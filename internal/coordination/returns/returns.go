// Package returns decides when refused requests are to be sent again, and holds room for them when
// they come back.
//
// Callers retry once. If all of them came back after the same time, a burst of refusals would become
// a second burst; so returns are spread to come at the rate at which room appears.
package returns

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

const (
	// minWait and maxWait bound the Retry-After of a refusal.
	minWait = 250 * time.Millisecond
	maxWait = 4 * time.Second
	// dropAfter is how long after its time a return that did not come is dropped.
	dropAfter = time.Second
	// reserveTime is for how long before and after its time room is reserved for a return. Returns
	// arrive late by the round trip to the caller; room that is reserved for callers that never
	// return is wasted for as long.
	reserveTime = 200 * time.Millisecond
	// maxReturns bounds the memory that refused requests take.
	maxReturns = 4096
	// unknownSpacing is the time between two returns while no release is known.
	unknownSpacing = 20 * time.Millisecond
	// spreadStep separates return times that would be equal.
	spreadStep = time.Millisecond
)

// Line holds the requests that were refused and are expected back. Make one with New. It is not
// safe for concurrent use.
type Line struct {
	// queue is sorted by compare. waiting holds the same requests by their digests. Both hold at most
	// maxReturns.
	queue   []*entry
	waiting map[quarantine.Digest]*entry
	rate    rate
}

// entry is a refused request.
type entry struct {
	digest          quarantine.Digest
	tokens, urgency int
	// refused is when the request was first refused, and at when it is expected back.
	refused, at time.Time
}

// New returns an empty line.
func New() *Line { return &Line{waiting: map[quarantine.Digest]*entry{}} }

// Refuse records that a request was refused, and returns the time after which its caller is to send
// it again. longest is the longest time that the caller waits. A request that is refused again
// before its time keeps its time; one that came back and is refused again goes before those of its
// urgency that were first refused later.
func (l *Line) Refuse(digest quarantine.Digest, tokens, urgency int, longest time.Duration, now time.Time) (after time.Duration) {
	l.dropMissed(now)
	longest = min(longest, maxWait)
	e := &entry{digest: digest, tokens: tokens, urgency: urgency, refused: now}
	if known := l.waiting[digest]; known != nil {
		if at := known.at.Sub(now); at >= minWait && at <= longest {
			return at
		}
		e.refused = known.refused
		l.remove(known)
	}
	if longest < minWait {
		return minWait
	}
	e.at = l.freeTime(l.place(e, longest, now), now)
	l.insert(e)
	return e.at.Sub(now)
}

// Due reports whether a request was refused and returns at its time.
func (l *Line) Due(digest quarantine.Digest, now time.Time) bool {
	e := l.waiting[digest]
	return e != nil && !e.at.After(now.Add(reserveTime)) && !e.missed(now)
}

// Served forgets a request that was served.
func (l *Line) Served(digest quarantine.Digest) {
	if e := l.waiting[digest]; e != nil {
		l.remove(e)
	}
}

// Reserved returns the number of tokens that must be left to the returns that are expected about now
// and are at least as urgent. Requests that are due themselves need not leave them: otherwise room would stay
// empty while returns are refused.
func (l *Line) Reserved(urgency int, now time.Time) (tokens int) {
	l.dropMissed(now)
	for _, e := range l.queue {
		if e.at.After(now.Add(reserveTime)) {
			break
		}
		if e.urgency <= urgency && now.Sub(e.at) <= reserveTime {
			tokens += e.tokens
		}
	}
	return tokens
}

// RecordRelease records that room for some tokens has appeared.
func (l *Line) RecordRelease(tokens int, now time.Time) { l.rate.add(tokens, now) }

// ReleaseRate returns how many tokens were released per second lately, if any release is known.
func (l *Line) ReleaseRate(now time.Time) (perSecond float64, known bool) {
	return l.rate.perSecond(now)
}

// place returns when there will be room for a request: after the room for all that go before it has
// appeared, and after the last of these.
func (l *Line) place(e *entry, longest time.Duration, now time.Time) time.Time {
	perSecond, known := l.rate.perSecond(now)
	needed := func(tokens, requests int) time.Duration {
		if !known {
			return time.Duration(requests) * unknownSpacing
		}
		return time.Duration(min(float64(tokens)/perSecond, maxWait.Seconds()) * float64(time.Second))
	}
	tokens, requests := e.tokens, 1
	var last *entry
	for _, other := range l.queue {
		if other.before(e) {
			tokens += other.tokens
			requests++
			last = other
		}
	}
	at := later(now.Add(minWait), now.Add(needed(tokens, requests)))
	if last != nil {
		at = later(at, last.at.Add(needed(e.tokens, 1)))
	}
	if at.After(now.Add(longest)) {
		return now.Add(longest - e.fraction(min(longest/2, longest-minWait)))
	}
	return at
}

// fraction returns a part of a time that depends on the digest. It spreads the requests for which no
// room is expected within the time that their callers wait.
func (e *entry) fraction(of time.Duration) time.Duration {
	part := float64(binary.BigEndian.Uint32(e.digest[:])) / math.MaxUint32
	return time.Duration(part * float64(of))
}

// before reports whether a request goes before another: the more urgent one, then the one that was
// refused first.
func (e *entry) before(other *entry) bool {
	if e.urgency != other.urgency {
		return e.urgency < other.urgency
	}
	return !e.refused.After(other.refused)
}

// compare orders requests by return time, and those with equal times by digest.
func compare(a, b *entry) int {
	return cmp.Or(a.at.Compare(b.at), bytes.Compare(a.digest[:], b.digest[:]))
}

func (e *entry) missed(now time.Time) bool { return now.Sub(e.at) > dropAfter }

// freeTime returns the latest time up to the given one at which no other return is expected. If there
// is none that leaves the caller minWait, returns share a time.
func (l *Line) freeTime(at, now time.Time) time.Time {
	earliest, free := now.Add(minWait), at
	index, _ := slices.BinarySearchFunc(l.queue, at.Add(1), func(e *entry, at time.Time) int { return e.at.Compare(at) })
	for i := index - 1; i >= 0 && !l.queue[i].at.Before(free); i-- {
		if l.queue[i].at.Equal(free) {
			free = free.Add(-spreadStep)
		}
	}
	if free.Before(earliest) {
		return at
	}
	return free
}

func (l *Line) insert(e *entry) {
	index, _ := slices.BinarySearchFunc(l.queue, e, compare)
	l.queue = slices.Insert(l.queue, index, e)
	l.waiting[e.digest] = e
	if len(l.queue) > maxReturns {
		l.remove(slices.MaxFunc(l.queue, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.refused.Compare(b.refused), a.at.Compare(b.at))
		}))
	}
}

func (l *Line) remove(e *entry) {
	index, _ := slices.BinarySearchFunc(l.queue, e, compare)
	l.queue = slices.Delete(l.queue, index, index+1)
	delete(l.waiting, e.digest)
}

func (l *Line) dropMissed(now time.Time) {
	for len(l.queue) > 0 && l.queue[0].missed(now) {
		l.remove(l.queue[0])
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
