// Package quarantine decides which requests are held, that is, not sent to instances, because
// instances end under them, and for how long.
//
// What ends instances is a whole request or one part of a prompt, whatever else the request holds. Both are
// identified by digests, and judged alike. After a single end, such a digest cannot be told apart from those
// of the other requests that ran there, up to all slots of the instance. What distinguishes it is that it
// never succeeds, and that further instances end under it. The decision therefore counts distinct
// instances that ended under the same digest without a success in between: the success of a request is a
// good answer, that of a part any answer that has begun. Nothing is
// held forever: after a pause, which grows with the number of independent tries that ended an
// instance, it is tried once more, and a success clears it.
//
// A FactSet holds facts that are merged from all entries, in any order; all entries with the same
// facts decide the same.
package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// endsToHold is how many distinct instances must have ended under a request, without a
	// successful answer in between, before it is held. Two ends happen to harmless requests: one
	// that is retried after an end may meet the same cause again. The number is no higher than
	// necessary because each end costs an instance.
	endsToHold = 3
	// propagationWait is how long a request with one end less than endsToHold waits for reports
	// from other entries. Otherwise each entry would go on until it has seen enough ends itself:
	// without the wait, a request that came to 8 entries ten times a second was sent up to 18 times
	// before all of them held it, with it up to 12 times.
	propagationWait = 500 * time.Millisecond
	// successWindow is how long a successful answer shows that a request is harmless. If the last end came within it,
	// only ends that follow one another count, because one event may end many instances that all
	// run a popular request. It is longer than such an event, and shorter than a rollout of another
	// release, on which the request may do harm.
	successWindow = time.Minute
	// firstPause is how long a request is held if its ends may all have the same cause because they
	// came at once. It is a little longer than the 3 s within which every entry knows of them. Each
	// further round of ends multiplies the pause by pauseFactor, up to maxPause, so that a request
	// that never succeeds costs five more instances in the first hour, and then one per hour.
	firstPause  = 4 * time.Second
	pauseFactor = 5
	maxPause    = time.Hour
	// turnLength is the period in which only one entry may try a request after its pause. It tries
	// in the first half; in the second half, an end that this causes becomes known to the next
	// entry. A cycle of turns takes up to maxCycle; after turnCycles cycles any entry may try.
	turnLength = time.Second
	turnCycles = 3
	maxCycle   = time.Minute
	// tryInterval is the least time between two tries of a held request if nothing was seen of the
	// first: by then, an end without another sign shows up as a new incarnation.
	tryInterval = 3 * time.Second
	// minRetryAfter is the shortest Retry-After for the caller of a held request, such as one that
	// is already in flight here: most requests take less.
	minRetryAfter = 300 * time.Millisecond
	// TimeTolerance is by how much the times of two reports of one event may differ, because times
	// are sent as ages, which do not include the time in transit.
	TimeTolerance = 500 * time.Millisecond
	// factRetention is how long facts are kept about requests that are not held. Callers that
	// repeat a request at longer intervals end few instances.
	factRetention = 10 * time.Minute
	// minReplaceAge is by how much a fact must be newer than the oldest to replace it. Without it,
	// a network partition that looked like the end of a failure domain of 27 instances made 300
	// entries see more ends than their sets hold, and they sent each other the same facts again and
	// again.
	minReplaceAge = 30 * time.Second
	// maxFacts bounds the number of facts: a held request needs three, and few are held at a time.
	maxFacts = 1024
)

// Verdict is the decision about one attempt. It is one of Send, SendAlone or Hold.
type Verdict interface{ verdict() }

// Send means that the request may be sent.
type Send struct{}

// SendAlone means that the request may be sent, but no other one with the same digest until it has
// ended.
type SendAlone struct{}

// Hold means that the request must not be sent now.
type Hold struct {
	// RetryAfter is when it may be tried again, greater than 0.
	RetryAfter time.Duration
	// EndsInstances is true if instances ended under the request; otherwise another one with the
	// same digest is in flight.
	EndsInstances bool
}

// Reason returns the reason for callers, logs and metrics. part is true if a part of the prompt is held.
func (h Hold) Reason(part bool) outcome.Reason {
	switch {
	case h.EndsInstances && part:
		return outcome.ReasonPartEndsInstances
	case h.EndsInstances:
		return outcome.ReasonEndsInstances
	}
	return outcome.ReasonUnderWay
}

func (Send) verdict()      {}
func (SendAlone) verdict() {}
func (Hold) verdict()      {}

// RequestStatus is what is known about a request, or about all requests with one part. It is a plain value.
type RequestStatus struct {
	// Digest is what the status is about: a request, or a part of its prompt.
	Digest Digest
	// Ends is how many distinct instances ended under it and count. Rounds is how many of these
	// followed one another, each sent after the previous one had ended.
	Ends, Rounds int
	// LastEnd is when the last counted end was seen. LastSuccess is when the request last
	// succeeded, zero if unknown.
	LastEnd, LastSuccess time.Time
	// Held means that the request is not sent before Until, and after that only as a single try.
	Held  bool
	Until time.Time
}

// Decide returns whether an attempt may be sent now that all of the digests identify: the one of its request, and
// those of the parts of its prompt. The strictest verdict about any of them holds, and cause is that digest.
// entries is the number of entries that serve.
func (s *FactSet) Decide(subjects []Digest, entries int, now time.Time) (verdict Verdict, cause Digest) {
	verdict = Send{}
	var tries []Digest
	for _, d := range subjects {
		if !s.IsSuspected(d) {
			continue
		}
		c := s.Status(d, entries, now)
		switch v := s.decide(d, c, entries, now).(type) {
		case Hold:
			if held, ok := verdict.(Hold); !ok || v.RetryAfter > held.RetryAfter {
				verdict, cause = v, d
			}
		case SendAlone:
			if _, any := verdict.(Send); any {
				verdict, cause = v, d
			}
			if c.Held {
				tries = append(tries, d)
			}
		}
	}
	if _, held := verdict.(Hold); held {
		return verdict, cause
	}
	for _, d := range tries {
		s.lastTry[d] = now
	}
	return verdict, cause
}

// decide returns the verdict about one suspected digest with the given status.
func (s *FactSet) decide(d Digest, c RequestStatus, entries int, now time.Time) Verdict {
	switch {
	case c.Ends == 0, !c.Held && s.recentlySucceeded(c, now):
		return Send{}
	case c.Held && (now.Before(c.Until) || !s.hasTurn(d, c, entries, now)):
		return Hold{RetryAfter: max(c.Until.Sub(now), minRetryAfter), EndsInstances: true}
	case !c.Held && c.Ends == endsToHold-1 && now.Sub(c.LastEnd) < propagationWait:
		return Hold{RetryAfter: max(c.LastEnd.Add(propagationWait).Sub(now), minRetryAfter), EndsInstances: true}
	case s.running[d] > 0:
		return Hold{RetryAfter: minRetryAfter, EndsInstances: c.Held}
	}
	return SendAlone{}
}

// Counts returns how many requests are suspected but still sent, and how many are held.
func (s *FactSet) Counts(entries int, now time.Time) (suspected, held int) {
	for d := range s.ends {
		switch c := s.Status(d, entries, now); {
		case c.Held:
			held++
		case c.Ends > 0 && !s.recentlySucceeded(c, now):
			suspected++
		}
	}
	return suspected, held
}

// Held returns the status of everything that is held, the latest end last.
func (s *FactSet) Held(entries int, now time.Time) []RequestStatus {
	var out []RequestStatus
	for d := range s.ends {
		if c := s.Status(d, entries, now); c.Held {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b RequestStatus) int {
		return cmp.Or(a.LastEnd.Compare(b.LastEnd), bytes.Compare(a.Digest[:], b.Digest[:]))
	})
	return out
}

// Ends returns the ends that count against a digest, oldest first.
func (s *FactSet) Ends(d Digest) []InstanceEnded {
	out := s.countedEnds(d, s.Status(d, 1, time.Time{}).LastSuccess)
	slices.SortFunc(out, func(a, b InstanceEnded) int { return a.At.Compare(b.At) })
	return out
}

// Begin records that an attempt is sent.
func (s *FactSet) Begin(subjects []Digest) {
	for _, d := range subjects {
		s.running[d]++
	}
}

// Done records the end of an attempt.
func (s *FactSet) Done(subjects []Digest) {
	for _, d := range subjects {
		s.running[d]--
		if s.running[d] <= 0 {
			delete(s.running, d)
		}
	}
}

// recentlySucceeded reports whether the request succeeded within successWindow.
func (s *FactSet) recentlySucceeded(c RequestStatus, now time.Time) bool {
	return !c.LastSuccess.IsZero() && now.Sub(c.LastSuccess) < successWindow
}

// Status returns what is known about a request.
func (s *FactSet) Status(d Digest, entries int, now time.Time) RequestStatus {
	c := RequestStatus{Digest: d}
	if answered, ok := s.facts[Key{digest: d}]; ok {
		c.LastSuccess = answered.fact.When()
	}
	ends := s.countedEnds(d, c.LastSuccess)
	c.Ends = len(ends)
	if c.Ends == 0 {
		return c
	}
	c.Rounds = rounds(ends)
	for _, e := range ends {
		if e.At.After(c.LastEnd) {
			c.LastEnd = e.At
		}
	}
	count := c.Ends
	if !c.LastSuccess.IsZero() && c.LastEnd.Sub(c.LastSuccess) < successWindow {
		// The time that has passed since the last end doesn't matter: all instances may be down for longer than the window.
		count = rounds(s.unexplained(d, ends, now))
	}
	if count < endsToHold {
		return c
	}
	c.Held = true
	c.Until = c.LastEnd.Add(pauseAfter(c.Rounds))
	if tried := s.lastTry[d]; !tried.IsZero() && tried.Add(tryInterval).After(c.Until) {
		c.Until = tried.Add(tryInterval)
	}
	return c
}

// countedEnds returns the ends that count against a request: those since its last success, of
// incarnations that have not responded since and have not ended because of their refusals.
func (s *FactSet) countedEnds(d Digest, lastSuccess time.Time) []InstanceEnded {
	var out []InstanceEnded
	for _, k := range s.ends[d] {
		e := s.facts[k].fact.(InstanceEnded)
		if !s.refuted(e) && !s.explained(e) && e.At.After(lastSuccess) {
			out = append(out, e)
		}
	}
	return out
}

// unexplained removes the ends of instances that also ended under a poison request: a popular
// request runs on most of those.
func (s *FactSet) unexplained(d Digest, ends []InstanceEnded, now time.Time) []InstanceEnded {
	if len(ends) < endsToHold {
		return ends
	}
	return slices.DeleteFunc(slices.Clone(ends), func(e InstanceEnded) bool {
		for other := range s.ends {
			if other != d && s.facts[Key{digest: other, incarnation: e.Incarnation}] != nil && s.isPoison(other, now) {
				return true
			}
		}
		return false
	})
}

// isPoison reports whether enough instances ended under a request to hold it, and it has not
// succeeded recently.
func (s *FactSet) isPoison(d Digest, now time.Time) bool {
	var c RequestStatus
	if answered, ok := s.facts[Key{digest: d}]; ok {
		c.LastSuccess = answered.fact.When()
	}
	return !s.recentlySucceeded(c, now) && len(s.countedEnds(d, c.LastSuccess)) >= endsToHold
}

// rounds returns how many ends followed one another: the largest number of ends for which each
// request was sent after the previous instance had ended. Ends that came at once may have the same
// cause.
func rounds(ends []InstanceEnded) int {
	slices.SortFunc(ends, func(x, y InstanceEnded) int { return x.At.Compare(y.At) })
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.Sent.After(last) {
			n++
			last = e.At
		}
	}
	return n
}

// pauseAfter returns how long a request is held after a number of rounds.
func pauseAfter(rounds int) time.Duration {
	p := firstPause
	for range rounds - 1 {
		p = min(p*pauseFactor, maxPause)
	}
	return p
}

// hasTurn reports whether this entry may try a request whose pause is over. Entries take turns by a
// number that each derives from its random seed, counted from the last end, which all of them know.
func (s *FactSet) hasTurn(d Digest, c RequestStatus, entries int, now time.Time) bool {
	cycle := min(turnLength*time.Duration(max(entries, 1)), maxCycle)
	since := now.Sub(c.LastEnd.Add(pauseAfter(c.Rounds)))
	if entries <= 1 || since >= turnCycles*cycle {
		return true
	}
	x := s.seed ^ uint64(c.Ends)*0x9e3779b97f4a7c15
	for _, v := range d[:8] {
		x = (x ^ uint64(v)) * 0x100000001b3
	}
	ownTurn := time.Duration(x>>11) % (cycle / turnLength)
	return since%cycle/turnLength == ownTurn && since%turnLength < turnLength/2
}
