// Package quarantine decides which requests are kept off instances because instances end under
// them, and for how long.
//
// A request that ends the process which runs it is indistinguishable from its neighbours there
// after one end: up to all slots of the instance broke off with it. What tells them apart is that
// it never comes to a good end, and that further ends follow it from instance to instance. So
// what counts are distinct instances that ended under the same request, with none that answered
// it in between. Nothing is held for good: after a pause, which grows with the number of
// independent tries that ended an instance, one more try is made, and a good answer clears it.
//
// A Book is a value of facts that are joined from all entries, in any order; every entry that has
// the same facts decides the same.
package quarantine

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// endsToHold is how many distinct instances must have ended under a request, with no good
	// answer in between, before it is held. Two happen to harmless ones: whoever is tried again
	// after an end may meet the same cause once more. Each costs an instance, so there are no more
	// than needed.
	endsToHold = 3
	// othersTime is how long a request under which all but one of so many instances ended waits
	// for what other entries saw of it: else each entry would go on until it has seen enough by
	// itself. With it a request that came to 8 entries ten times a second was sent 12 times at most
	// before all held it, without it 18.
	othersTime = 500 * time.Millisecond
	// sureFor is for how long a good answer shows that a request is harmless. Within it, only ends
	// that follow one another count: one event may end many instances that all run a popular one.
	// It is longer than such an event, and shorter than it takes to bring all instances to another
	// release, on which the request may do harm.
	sureFor = time.Minute
	// firstPause is how long a request is held whose ends may all have one cause, since they came
	// at once: a little longer than the 3 s after which every entry knows of them. Each further
	// round of ends multiplies it by pauseFactor, up to mostPause, so that a request that never comes
	// to a good end costs five more instances in an hour, and then one in each.
	firstPause  = 4 * time.Second
	pauseFactor = 5
	mostPause   = time.Hour
	// turn is how long one entry alone may try a request after its pause, in the first half of it:
	// what ends an instance then is known to the next in the other half. A round of turns takes up
	// to mostTurns; after turnRounds of them any entry may try.
	turn       = time.Second
	turnRounds = 3
	mostTurns  = time.Minute
	// tryPause is the least time between two tries of a held request of which nothing was seen: by
	// then another incarnation tells of an end that showed no other sign.
	tryPause = 3 * time.Second
	// comeBackAfter is when a caller may come back whose request is under way here already: most
	// requests take less.
	comeBackAfter = 300 * time.Millisecond
	// TimeTolerance is by how much two reports of one thing may differ: they are told as ages, and are
	// under way for some time.
	TimeTolerance = 500 * time.Millisecond
	// factLife is how long facts are kept of requests that are not held: callers who come again
	// after a longer time end few instances.
	factLife = 10 * time.Minute
	// replacedAfter is by how much a fact must be newer than the oldest to take its place: a cut that
	// refuses in place of a failure domain of 27 instances had 300 entries see more ends than
	// books hold, and each heard of the same ones again and again.
	replacedAfter = 30 * time.Second
	// mostFacts bounds the facts: a held request needs three, and few are held at a time.
	mostFacts = 1024
)

// Verdict says what becomes of one attempt. It is one of Send, Alone or Hold.
type Verdict interface{ verdict() }

// Send says that nothing is held against the request.
type Send struct{}

// SendAlone says that the request may be sent, and no other of its digest until it has ended.
type SendAlone struct{}

// Hold says that the request must not be sent now.
type Hold struct {
	// RetryAfter is when it may be tried again, above 0.
	RetryAfter time.Duration
	// EndsInstances says that instances ended under it; else another one of its digest is under way.
	EndsInstances bool
}

// Reason returns why, for callers, logs and metrics.
func (h Hold) Reason() outcome.Reason {
	if h.EndsInstances {
		return outcome.ReasonEndsInstances
	}
	return outcome.ReasonUnderWay
}

func (Send) verdict()      {}
func (SendAlone) verdict() {}
func (Hold) verdict()      {}

// RequestStatus is what is known of one request. It is a plain value.
type RequestStatus struct {
	// Ends is how many distinct instances ended under it and count, and Rounds how many of these
	// followed one another, each sent after the one before had ended.
	Ends, Rounds int
	// LastEnd is when the last of them was seen; LastSuccess is when it last came to a good end,
	// zero if that is not known.
	LastEnd, LastSuccess time.Time
	// Held says that it is not sent until Until, but for tries.
	Held  bool
	Until time.Time
}

// Decide says whether an attempt may be sent now, while so many entries serve.
func (b *FactSet) Decide(d Digest, entries int, now time.Time) Verdict {
	if !b.IsSuspected(d) {
		return Send{}
	}
	c := b.Status(d, entries, now)
	switch {
	case c.Ends == 0, !c.Held && b.sure(c, now):
		return Send{}
	case c.Held && (now.Before(c.Until) || !b.hasTurn(d, c, entries, now)):
		return Hold{RetryAfter: max(c.Until.Sub(now), comeBackAfter), EndsInstances: true}
	case !c.Held && c.Ends == endsToHold-1 && now.Sub(c.LastEnd) < othersTime:
		return Hold{RetryAfter: max(c.LastEnd.Add(othersTime).Sub(now), comeBackAfter), EndsInstances: true}
	case b.running[d] > 0:
		return Hold{RetryAfter: comeBackAfter, EndsInstances: c.Held}
	}
	if c.Held {
		b.tried[d] = now
	}
	return SendAlone{}
}

// Counts returns how many requests are suspected and still sent, and how many are held.
func (b *FactSet) Counts(entries int, now time.Time) (suspected, held int) {
	for d := range b.ends {
		switch c := b.Status(d, entries, now); {
		case c.Held:
			held++
		case c.Ends > 0 && !b.sure(c, now):
			suspected++
		}
	}
	return suspected, held
}

// Begin notes that an attempt is sent, and Done that it has ended.
func (b *FactSet) Begin(d Digest) { b.running[d]++ }

// Done notes the end of an attempt.
func (b *FactSet) Done(d Digest) {
	b.running[d]--
	if b.running[d] <= 0 {
		delete(b.running, d)
	}
}

// sure reports whether a request was lately seen to be harmless.
func (b *FactSet) sure(c RequestStatus, now time.Time) bool {
	return !c.LastSuccess.IsZero() && now.Sub(c.LastSuccess) < sureFor
}

// Status returns what is known of a request.
func (b *FactSet) Status(d Digest, entries int, now time.Time) RequestStatus {
	var c RequestStatus
	if answered, ok := b.facts[Key{digest: d}]; ok {
		c.LastSuccess = answered.fact.When()
	}
	ends := b.standing(d, c.LastSuccess)
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
	against := c.Ends
	if b.sure(c, now) {
		against = rounds(b.unexplained(d, ends, now))
	}
	if against < endsToHold {
		return c
	}
	c.Held = true
	c.Until = c.LastEnd.Add(pause(c.Rounds))
	if tried := b.tried[d]; !tried.IsZero() && tried.Add(tryPause).After(c.Until) {
		c.Until = tried.Add(tryPause)
	}
	return c
}

// standing returns the ends that count against a request: those since its last good answer, of
// incarnations that were not heard since.
func (b *FactSet) standing(d Digest, answered time.Time) []InstanceEnded {
	var out []InstanceEnded
	for _, k := range b.ends[d] {
		e := b.facts[k].fact.(InstanceEnded)
		if !b.refuted(e) && e.At.After(answered) {
			out = append(out, e)
		}
	}
	return out
}

// unexplained leaves out the ends of instances that also ended under another request which ends what runs
// it, as far as is known: a popular request is at most of them.
func (b *FactSet) unexplained(d Digest, ends []InstanceEnded, now time.Time) []InstanceEnded {
	if len(ends) < endsToHold {
		return ends
	}
	return slices.DeleteFunc(slices.Clone(ends), func(e InstanceEnded) bool {
		for other := range b.ends {
			if other != d && b.facts[Key{digest: other, of: e.Incarnation}] != nil && b.isDeadly(other, now) {
				return true
			}
		}
		return false
	})
}

// isDeadly reports whether a request ended as many instances as it takes to hold it, and did not lately
// come to a good end.
func (b *FactSet) isDeadly(d Digest, now time.Time) bool {
	var c RequestStatus
	if answered, ok := b.facts[Key{digest: d}]; ok {
		c.LastSuccess = answered.fact.When()
	}
	return !b.sure(c, now) && len(b.standing(d, c.LastSuccess)) >= endsToHold
}

// rounds returns how many ends followed one another: the largest number of which each request
// was sent after the instance before had ended. Those that came at once may have one cause.
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

// pause returns how long a request is held after so many rounds.
func pause(rounds int) time.Duration {
	p := firstPause
	for range rounds - 1 {
		p = min(p*pauseFactor, mostPause)
	}
	return p
}

// hasTurn reports whether this entry may try a request now whose pause is over. Entries take
// turns by a number that each draws for itself, counted from the last end, which all know.
func (b *FactSet) hasTurn(d Digest, c RequestStatus, entries int, now time.Time) bool {
	cycle := min(turn*time.Duration(max(entries, 1)), mostTurns)
	since := now.Sub(c.LastEnd.Add(pause(c.Rounds)))
	if entries <= 1 || since >= turnRounds*cycle {
		return true
	}
	x := b.seed ^ uint64(c.Ends)*0x9e3779b97f4a7c15
	for _, v := range d[:8] {
		x = (x ^ uint64(v)) * 0x100000001b3
	}
	mine := time.Duration(x>>11) % (cycle / turn)
	return since%cycle/turn == mine && since%turn < turn/2
}
