// Package admission decides which waiting request starts next, and which is
// refused at once.
//
// Requests wait in one queue for each team and class. Queues are served by
// start-time fair queuing: each request costs its tokens divided by the team's
// share, so a team that sends twenty times its share mostly waits behind itself.
// When an entry holds as many waiting requests as it may, the newest request of
// the queue that is longest for its share gives way.
//
// The package is a pure state machine. A refused request is refused for good:
// nothing is held back in the hope that it will fit later.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Class is the kind of work that a request is.
type Class uint8

// The classes of request.
const (
	Interactive Class = iota
	Batch
)

// String names the class as callers and metrics do.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// ParseClass reads a class; an empty string is Interactive.
func ParseClass(s string) (c Class, ok bool) {
	switch s {
	case "", "interactive":
		return Interactive, true
	case "batch":
		return Batch, true
	}
	return Interactive, false
}

// interactiveWeight is how much more of the slots an interactive queue gets than
// a batch queue of the same team.
const interactiveWeight = 8

const (
	// drainMemory is how far back finished requests count for the drain rate.
	drainMemory = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Input is one of Arrive, Finish, Withdraw or Resize.
type Input interface{ input() }

// Arrive brings a request.
type Arrive struct {
	ID   uint64
	Team string
	// Share is the team's weight, above 0.
	Share float64
	// MaxQueued bounds the team's waiting requests.
	MaxQueued int
	Class     Class
	// Cost is the request's size in tokens.
	Cost float64
	// Deadline is when the first token is of no more use; zero means never.
	Deadline time.Time
}

// Finish says that a started request has ended.
type Finish struct{ ID uint64 }

// Cancel says that a waiting request is of no more use. For a request that is
// not waiting it does nothing.
type Cancel struct{ ID uint64 }

// Resize sets how many requests run at once, and how many wait. Closed says that nothing can run until
// operators change that: whoever waits, or arrives meanwhile, is refused.
type Resize struct {
	Running, Waiting int
	Closed           bool
}

func (Arrive) input() {}
func (Finish) input() {}
func (Cancel) input() {}
func (Resize) input() {}

// Effect is one of Start or Refuse.
type Effect interface{ effect() }

// Start lets a request run.
type Start struct{ ID uint64 }

// Refuse ends a request that has not run.
type Refuse struct {
	ID      uint64
	Outcome outcome.NotRun
}

func (Start) effect()  {}
func (Refuse) effect() {}

type flowKey struct {
	team  string
	class Class
}

type request struct {
	id       uint64
	cost     float64
	start    float64
	deadline time.Time
	flow     *flow
}

// flow is the queue of one team and class.
type flow struct {
	key    flowKey
	weight float64
	// waiting is in the order of arrival, and start tags rise along it.
	waiting []*request
	// finish is the finish tag of the newest request.
	finish float64
}

// Queue is the state of one entry's admission. Make one with New.
type Queue struct {
	// running counts started requests; it may exceed maxRunning after a Resize.
	running, maxRunning int
	// waiting counts the requests in all flows, at most maxWaiting.
	waiting, maxWaiting int
	closed              bool
	// flows holds only those with waiting requests or a finish tag ahead of
	// virtual time.
	flows map[flowKey]*flow
	// virtual is the start tag of the request started last; it never falls.
	virtual float64
	byID    map[uint64]*request
	started map[uint64]bool
	// drain is the rate of finished requests a second, as of drainAt.
	drain   float64
	drainAt time.Time
	effects []Effect
}

// New returns an empty queue.
func New(running, waiting int) *Queue {
	return &Queue{
		maxRunning: running, maxWaiting: waiting,
		flows: map[flowKey]*flow{}, byID: map[uint64]*request{}, started: map[uint64]bool{},
	}
}

// Running returns how many requests have started and not finished.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Step takes one input and returns its effects.
func (q *Queue) Step(in Input, now time.Time) []Effect {
	q.effects = nil
	switch in := in.(type) {
	case Arrive:
		q.arrive(in, now)
	case Finish:
		q.finish(in, now)
	case Cancel:
		q.withdraw(in.ID)
	case Resize:
		q.maxRunning = in.Running
		q.maxWaiting = in.Waiting
		q.close(in.Closed)
	default:
		panic("admission: input outside the sealed set")
	}
	q.startNext(now)
	return q.effects
}

// close refuses all that wait, in their order, if nothing can run.
func (q *Queue) close(closed bool) {
	q.closed = closed
	if !closed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(q.byID)) {
		q.remove(q.byID[id])
		q.refuse(id, outcome.ReasonNoUpstream, 0)
	}
}

func (q *Queue) arrive(in Arrive, now time.Time) {
	if q.closed {
		q.refuse(in.ID, outcome.ReasonNoUpstream, 0)
		return
	}
	f := q.flow(in)
	wait := q.wait(f, now)
	switch {
	case len(f.waiting) >= in.MaxQueued:
		q.refuse(in.ID, outcome.ReasonTeamQueueFull, wait)
		return
	case !in.Deadline.IsZero() && now.Add(wait).After(in.Deadline):
		q.refuse(in.ID, outcome.ReasonDeadline, wait)
		return
	case q.waiting >= q.maxWaiting && q.running >= q.maxRunning:
		if !q.pushOut(f, now) {
			q.refuse(in.ID, outcome.ReasonQueueFull, wait)
			return
		}
	}
	r := &request{id: in.ID, cost: in.Cost, deadline: in.Deadline, flow: f}
	r.start = max(q.virtual, f.finish)
	f.finish = r.start + max(in.Cost, 1)/f.weight
	f.waiting = append(f.waiting, r)
	q.byID[in.ID] = r
	q.waiting++
}

func (q *Queue) flow(in Arrive) *flow {
	key := flowKey{in.Team, in.Class}
	f, ok := q.flows[key]
	if !ok {
		f = &flow{key: key}
		q.flows[key] = f
	}
	f.weight = in.Share
	if in.Class == Interactive {
		f.weight *= interactiveWeight
	}
	return f
}

// pushOut makes room by refusing the newest request of the flow that is longest
// for its weight; it reports false when that flow is the arriving request's own.
func (q *Queue) pushOut(arriving *flow, now time.Time) bool {
	var longest *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if longest == nil || longer(f, longest) {
			longest = f
		}
	}
	if longest == nil || longest == arriving {
		return false
	}
	own := float64(len(arriving.waiting)+1) / arriving.weight
	if own >= float64(len(longest.waiting))/longest.weight {
		return false
	}
	last := longest.waiting[len(longest.waiting)-1]
	wait := q.wait(longest, now)
	q.remove(last)
	q.refuse(last.id, outcome.ReasonQueueFull, wait)
	return true
}

// longer orders flows by their length for their weight; equal ones by name, so
// that the choice does not depend on the order of a map.
func longer(a, b *flow) bool {
	la, lb := float64(len(a.waiting))/a.weight, float64(len(b.waiting))/b.weight
	if la != lb {
		return la > lb
	}
	return a.key.team < b.key.team || a.key.team == b.key.team && a.key.class < b.key.class
}

func (q *Queue) refuse(id uint64, reason outcome.Reason, wait time.Duration) {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	q.effects = append(q.effects, Refuse{ID: id, Outcome: outcome.NotRun{RetryAfter: after, Reason: reason}})
}

// wait estimates how long a new request of a flow would wait, from the measured
// drain rate and the flow's fair part of it.
func (q *Queue) wait(f *flow, now time.Time) time.Duration {
	if q.running < q.maxRunning && q.waiting == 0 {
		return 0
	}
	rate := q.drainRate(now)
	if rate <= 0 {
		// Nothing has finished lately: there is no honest estimate.
		return 0
	}
	all := float64(q.waiting+1) / rate
	total := f.weight
	for _, other := range q.flows {
		if other != f && len(other.waiting) > 0 {
			total += other.weight
		}
	}
	own := float64(len(f.waiting)+1) / (rate * f.weight / total)
	return time.Duration(min(all, own) * float64(time.Second))
}

// drainRate is the rate of finished requests, which fades while none finishes.
func (q *Queue) drainRate(now time.Time) float64 {
	fade := math.Exp(-now.Sub(q.drainAt).Seconds() / drainMemory.Seconds())
	return q.drain * fade
}

func (q *Queue) finish(in Finish, now time.Time) {
	if !q.started[in.ID] {
		return
	}
	delete(q.started, in.ID)
	q.running--
	q.drain = q.drainRate(now) + 1/drainMemory.Seconds()
	q.drainAt = now
}

func (q *Queue) withdraw(id uint64) {
	r, ok := q.byID[id]
	if ok {
		q.remove(r)
	}
}

// remove takes a waiting request out of its flow.
func (q *Queue) remove(r *request) {
	f := r.flow
	for i, other := range f.waiting {
		if other == r {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			break
		}
	}
	delete(q.byID, r.id)
	q.waiting--
	q.tidy(f)
}

// tidy forgets a flow that has nothing waiting and no debt.
func (q *Queue) tidy(f *flow) {
	if len(f.waiting) == 0 && f.finish <= q.virtual {
		delete(q.flows, f.key)
	}
}

func (q *Queue) startNext(now time.Time) {
	for q.running < q.maxRunning && q.waiting > 0 {
		r := q.next()
		q.remove(r)
		if !r.deadline.IsZero() && now.After(r.deadline) {
			q.refuse(r.id, outcome.ReasonDeadline, q.wait(r.flow, now))
			continue
		}
		q.virtual = max(q.virtual, r.start)
		q.running++
		q.started[r.id] = true
		q.effects = append(q.effects, Start{r.id})
	}
}

// next returns the waiting request with the smallest start tag; equal ones by
// id, which is the order of arrival.
func (q *Queue) next() *request {
	var best *request
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			if f.finish <= q.virtual {
				delete(q.flows, f.key)
			}
			continue
		}
		r := f.waiting[0]
		if best == nil || r.start < best.start || r.start == best.start && r.id < best.id {
			best = r
		}
	}
	return best
}
