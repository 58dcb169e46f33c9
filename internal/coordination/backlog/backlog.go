// Package backlog orders the requests that wait at an entry until an instance has room for them, and decides which are
// not worth their wait.
//
// The most urgent request goes first, then the one that has waited longest. By the rate at which room appears, each one's
// wait is estimated; a request that would wait longer than it may is refused at once, with a Retry-After of when there is
// room for it.
package backlog

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/returns"
)

const (
	// maxWaiting bounds the number of requests that wait.
	maxWaiting = 1024
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// activeRequests is how many of the first requests look for room. The first one may need more than the next,
	// or another instance.
	activeRequests = 4
	// averageWeight is of about how many attempts the mean latency is taken; nearly all begin to answer within latencyFactor
	// times that. A request may always wait for 1/minWaitDivisor of its objective.
	averageWeight  = 16
	latencyFactor  = 2
	minWaitDivisor = 8
	// digestStep spreads the digests under which refused requests are kept over all values. Callers come back under
	// other ids, so no digest is needed again.
	digestStep = 0x9e3779b97f4a7c15
)

// Request is a request that waits.
type Request struct {
	urgency int
	// until is the end of the time that it may wait.
	until time.Time
	// dropped is true once it is not worth its wait.
	dropped bool
	// room receives when room may have appeared for it, or when it was dropped.
	room chan struct{}
}

// Room returns a channel that receives when the request may look for room, or was dropped.
func (r *Request) Room() <-chan struct{} { return r.room }

// Dropped reports whether the request must not wait any longer, because more urgent ones came.
func (r *Request) Dropped() bool { return r.dropped }

// Until returns the end of the time that the request may wait.
func (r *Request) Until() time.Time { return r.until }

func (r *Request) notify() {
	select {
	case r.room <- struct{}{}:
	default:
	}
}

// Backlog holds the requests for one service that wait at one entry. Create one with New. It is not safe for concurrent
// use.
type Backlog struct {
	// waiting holds at most maxWaiting requests, the one that is served first at the front.
	waiting []*Request
	// returns spreads the returns of refused requests, by the rate at which room appears.
	returns *returns.Line
	refused uint64
	// running is the number of attempts at instances. latency and duration are moving averages of the time until an
	// instance begins to answer, and until the attempt ends.
	running           int
	latency, duration time.Duration
}

// New returns an empty backlog.
func New() *Backlog { return &Backlog{returns: returns.New()} }

// Len returns the number of requests that wait.
func (b *Backlog) Len() int { return len(b.waiting) }

// RecordAttempt records that an attempt at an instance begins.
func (b *Backlog) RecordAttempt() { b.running++ }

// RecordEnd records that an attempt at an instance has ended, so that there is room for another request.
func (b *Backlog) RecordEnd() {
	b.running--
	b.NotifyNext()
}

// RecordAnswer records the time until an instance began to answer, and until the attempt ended.
func (b *Backlog) RecordAnswer(latency, duration time.Duration, now time.Time) {
	b.latency = average(b.latency, latency)
	b.duration = average(b.duration, duration)
	b.returns.RecordRelease(1, now)
}

// RecordDelayedAnswer records that an attempt ended whose time tells nothing of the instance.
func (b *Backlog) RecordDelayedAnswer(now time.Time) { b.returns.RecordRelease(1, now) }

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/averageWeight
}

// MaxWait returns how long a request may wait after its arrival that is to be answered within its objective.
func (b *Backlog) MaxWait(objective time.Duration) time.Duration {
	return max(objective-latencyFactor*b.latency, objective/minWaitDivisor)
}

// First returns the request that is served first, or nil if none waits.
func (b *Backlog) First() *Request {
	if len(b.waiting) == 0 {
		return nil
	}
	return b.waiting[0]
}

// NotifyNext lets the first request look for room.
func (b *Backlog) NotifyNext() {
	if first := b.First(); first != nil {
		first.notify()
	}
}

// Join adds a request that may wait until a time; a lower urgency goes first. ok is false if it would have to wait longer.
// It then is not added.
func (b *Backlog) Join(urgency int, until, now time.Time) (r *Request, ok bool) {
	r = &Request{urgency: urgency, until: until, room: make(chan struct{}, 1)}
	at, _ := slices.BinarySearchFunc(b.waiting, urgency, func(other *Request, urgency int) int {
		if other.urgency <= urgency {
			return -1
		}
		return 1
	})
	if len(b.waiting) >= maxWaiting && at == len(b.waiting) || b.tooLate(r, at, now) {
		return nil, false
	}
	b.waiting = slices.Insert(b.waiting, at, r)
	b.dropLate(now)
	return r, true
}

// Leave removes a request that has found room or does not wait any longer.
func (b *Backlog) Leave(r *Request) {
	if at := slices.Index(b.waiting, r); at >= 0 {
		b.waiting = slices.Delete(b.waiting, at, at+1)
	}
}

// Active reports whether a request is among the first ones, which look for room by themselves.
func (b *Backlog) Active(r *Request) bool {
	at := slices.Index(b.waiting, r)
	return at >= 0 && at < activeRequests
}

// Ahead reports whether requests wait that go before one of an urgency that arrives now.
func (b *Backlog) Ahead(urgency int) bool {
	first := b.First()
	return first != nil && first.urgency <= urgency
}

// RetryAfter returns after which time the caller of a refused request is to send it again: when the room for those that
// wait and those that were refused before has appeared. longest is the longest time that the caller waits.
func (b *Backlog) RetryAfter(urgency int, longest time.Duration, now time.Time) time.Duration {
	b.refused++
	var digest quarantine.Digest
	binary.BigEndian.PutUint64(digest[:], b.refused*digestStep)
	after := b.returns.Refuse(digest, 1, urgency, longest, now)
	if wait, known := b.wait(len(b.waiting), now); known {
		after += wait
	}
	return min(max(after, minRetryAfter), max(longest, minRetryAfter), maxRetryAfter)
}

// wait returns how long it takes until room has appeared for a number of requests and one more, by what runs now or, if
// nothing does, by the room that appeared lately. known is false if there was none.
func (b *Backlog) wait(ahead int, now time.Time) (wait time.Duration, known bool) {
	if b.running > 0 && b.duration > 0 {
		return time.Duration(ahead+1) * b.duration / time.Duration(b.running), true
	}
	perSecond, known := b.returns.ReleaseRate(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
}

// tooLate reports whether the request at an index would wait longer than it may.
func (b *Backlog) tooLate(r *Request, at int, now time.Time) bool {
	wait, known := b.wait(at, now)
	if !known {
		return at >= activeRequests
	}
	return now.Add(wait).After(r.until)
}

// dropLate drops the last requests if they would wait longer than they may.
func (b *Backlog) dropLate(now time.Time) {
	for last := len(b.waiting) - 1; last >= 0; last-- {
		r := b.waiting[last]
		if len(b.waiting) <= maxWaiting && !b.tooLate(r, last, now) {
			return
		}
		b.waiting = b.waiting[:last]
		r.dropped = true
		r.notify()
	}
}
