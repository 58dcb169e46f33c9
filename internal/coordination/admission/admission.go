// Package admission decides which waiting request starts next, and which is refused at once.
//
// Requests wait in one queue for each team and class. Queues are served by start-time fair queuing:
// each request costs its tokens divided by the team's share, so a team that sends twenty times its
// share mostly waits behind itself. When an entry holds the maximum of waiting requests, the newest
// request of the queue that is longest relative to its weight is refused.
//
// The package is a state machine that does no I/O. A refusal is final: no refused request is kept
// in case there is room for it later.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Class is the scheduling class of a request.
type Class uint8

// The classes of request.
const (
	Interactive Class = iota
	Batch
)

// String returns the name of the class in headers and metrics.
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

// interactiveWeight is the weight of an interactive queue relative to that of a batch queue of the
// same team.
const interactiveWeight = 8

const (
	// drainDecayTime is the period over which finished requests are averaged for the drain rate.
	drainDecayTime = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay in refusals.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Input is one of Arrive, Finish, Cancel or Resize.
type Input interface{ input() }

// Arrive adds a request.
type Arrive struct {
	ID   uint64
	Team string
	// Share is the team's weight, above 0.
	Share float64
	// MaxQueued bounds the number of the team's waiting requests.
	MaxQueued int
	Class     Class
	// Cost is the request's size in tokens.
	Cost float64
	// Deadline is when the first token is of no more use; zero means none.
	Deadline time.Time
}

// Finish says that a started request has ended.
type Finish struct{ ID uint64 }

// Cancel removes a waiting request that is not needed any more. It has no effect on a request that
// is not waiting.
type Cancel struct{ ID uint64 }

// Resize sets the maximum numbers of running and of waiting requests. Closed says that nothing can
// run until operators change that: all requests that wait or arrive meanwhile are refused.
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

// Start starts a request.
type Start struct{ ID uint64 }

// Refuse ends a request that has not started.
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

// Queue is the admission state of one entry. Use New to make one.
type Queue struct {
	// running counts started requests; it may exceed maxRunning after a Resize.
	running, maxRunning int
	// waiting counts the requests in all flows, at most maxWaiting.
	waiting, maxWaiting int
	closed              bool
	// flows holds only flows with waiting requests or a finish tag ahead of the virtual time.
	flows map[flowKey]*flow
	// virtual is the virtual time, which is the start tag of the request started last; it never
	// decreases.
	virtual float64
	byID    map[uint64]*request
	started map[uint64]bool
	// drain is the rate of finished requests per second at drainAt.
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

// Step applies one input and returns its effects.
func (q *Queue) Step(in Input, now time.Time) []Effect {
	q.effects = nil
	switch in := in.(type) {
	case Arrive:
		q.arrive(in, now)
	case Finish:
		q.finish(in, now)
	case Cancel:
		q.cancel(in.ID)
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

// close refuses all waiting requests, in the order of their ids, if nothing can run.
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
	wait := q.estimateWait(f, now)
	switch {
	case len(f.waiting) >= in.MaxQueued:
		q.refuse(in.ID, outcome.ReasonTeamQueueFull, wait)
		return
	case !in.Deadline.IsZero() && now.Add(wait).After(in.Deadline):
		q.refuse(in.ID, outcome.ReasonDeadline, wait)
		return
	case q.waiting >= q.maxWaiting && q.running >= q.maxRunning:
		if !q.evictLongest(f, now) {
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

// evictLongest makes room by refusing the newest request of the flow that is longest relative to
// its weight. It returns false if the arriving request's own flow is, or would become, the longest.
func (q *Queue) evictLongest(arriving *flow, now time.Time) bool {
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
	wait := q.estimateWait(longest, now)
	q.remove(last)
	q.refuse(last.id, outcome.ReasonQueueFull, wait)
	return true
}

// longer orders flows by their length relative to their weight; equal ones by team and class, so
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

// estimateWait estimates how long a new request of a flow would wait, from the drain rate and the
// flow's fair share of it.
func (q *Queue) estimateWait(f *flow, now time.Time) time.Duration {
	if q.running < q.maxRunning && q.waiting == 0 {
		return 0
	}
	rate := q.drainRate(now)
	if rate <= 0 {
		// Nothing has finished lately, so there is no basis for an estimate.
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

// drainRate is the rate of finished requests per second; it decays while none finishes.
func (q *Queue) drainRate(now time.Time) float64 {
	decay := math.Exp(-now.Sub(q.drainAt).Seconds() / drainDecayTime.Seconds())
	return q.drain * decay
}

func (q *Queue) finish(in Finish, now time.Time) {
	if !q.started[in.ID] {
		return
	}
	delete(q.started, in.ID)
	q.running--
	q.drain = q.drainRate(now) + 1/drainDecayTime.Seconds()
	q.drainAt = now
}

func (q *Queue) cancel(id uint64) {
	r, ok := q.byID[id]
	if ok {
		q.remove(r)
	}
}

// remove removes a waiting request from its flow.
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
	q.removeIfIdle(f)
}

// removeIfIdle removes a flow without waiting requests whose finish tag is not ahead of the virtual
// time.
func (q *Queue) removeIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.finish <= q.virtual {
		delete(q.flows, f.key)
	}
}

func (q *Queue) startNext(now time.Time) {
	for q.running < q.maxRunning && q.waiting > 0 {
		r := q.next()
		q.remove(r)
		if !r.deadline.IsZero() && now.After(r.deadline) {
			q.refuse(r.id, outcome.ReasonDeadline, q.estimateWait(r.flow, now))
			continue
		}
		q.virtual = max(q.virtual, r.start)
		q.running++
		q.started[r.id] = true
		q.effects = append(q.effects, Start{r.id})
	}
}

// next returns the waiting request with the smallest start tag, and of equal ones that with the
// smallest id, which arrived first.
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
