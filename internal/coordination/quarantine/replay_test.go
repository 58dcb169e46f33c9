package quarantine_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// The simulated fleet has the size of a small deployment.
const (
	replayInstances = 14
	replaySlots     = 16
	replayEntries   = 8
	// replayAttempts is the maximum number of instances that one request is sent to.
	replayAttempts = 3
	// popularBodies is the number of different bodies in a third of the requests.
	popularBodies = 20
	// restartDelay is how long an instance that ended takes to come back.
	restartDelay = 3 * time.Second
	// maxPropagation is the longest delay of a fact between two entries.
	maxPropagation = 500 * time.Millisecond
)

// decider is the implementation under test: a FactSet or a mutant of it.
type decider interface {
	Decide(subjects []quarantine.Digest, entries int, now time.Time) (quarantine.Verdict, quarantine.Digest)
	Merge(quarantine.Fact) bool
	IsSuspected(quarantine.Digest) bool
	PresumedEnded(registry.Incarnation) bool
	Begin([]quarantine.Digest)
	Done([]quarantine.Digest)
	Since(change uint64, most int) (facts []quarantine.Fact, last uint64)
	Len() int
}

// request is one request of a caller.
type request struct {
	digest quarantine.Digest
	// parts are the shared parts of its prompt, of which deadly, if set, ends the instance that begins to answer.
	parts   []quarantine.Digest
	deadly  *quarantine.Digest
	poison  bool
	entry   *replayEntry
	tried   []*instance
	retries int
	took    time.Duration
}

// subjects are the digests by which the request is judged.
func (q *request) subjects() []quarantine.Digest {
	return append([]quarantine.Digest{q.digest}, q.parts...)
}

// kills returns the digest of what ends the instance that runs it; ok is false if nothing does.
func (q *request) kills() (d quarantine.Digest, ok bool) {
	if q.deadly != nil {
		return *q.deadly, true
	}
	return q.digest, q.poison
}

type instance struct {
	registry.Instance
	up bool
	// running holds the attempts in flight, oldest first.
	running []*run
}

// remove removes an attempt.
func (in *instance) remove(x *run) {
	in.running = slices.DeleteFunc(in.running, func(other *run) bool { return other == x })
}

// run is one attempt on an instance.
type run struct {
	r    *request
	at   *instance
	of   registry.Incarnation
	sent time.Time
	over bool
	// begun is true once the answer has begun.
	begun bool
}

type replayEntry struct {
	decider
	answered map[quarantine.Digest]time.Time
	// begun holds when answers to prompts with a part began last.
	begun map[quarantine.Digest]time.Time
	// refused holds the instances to which this entry's connections are refused on the way.
	refused map[*instance]bool
}

// replay is a discrete-event simulation of a fleet.
type replay struct {
	random     *rand.Rand
	now        time.Time
	events     events
	n          int
	instances  []*instance
	entries    []*replayEntry
	newDecider func(entry int) decider
	// closedIsEnd makes entries report every closed connection as an end, as a mutant.
	closedIsEnd bool

	// served and refused count harmless requests, and held counts those refused because instances
	// ended under them; heldBodies are their digests.
	served, refused, held int
	heldBodies            map[quarantine.Digest]bool
	deaths                map[quarantine.Digest][]time.Time
	sends                 map[quarantine.Digest][]time.Time
}

type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newReplay(seed uint64, newDecider func(int) decider) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 0x9a)), now: time.Unix(1e9, 0), newDecider: newDecider,
		heldBodies: map[quarantine.Digest]bool{}, deaths: map[quarantine.Digest][]time.Time{}, sends: map[quarantine.Digest][]time.Time{},
	}
	for i := range replayInstances {
		id := string(rune('a' + i))
		r.instances = append(r.instances, &instance{Instance: registry.Instance{ID: id, Address: id, Start: 1}, up: true})
	}
	for i := range replayEntries {
		r.entries = append(r.entries, &replayEntry{decider: newDecider(i), answered: map[quarantine.Digest]time.Time{}, begun: map[quarantine.Digest]time.Time{}, refused: map[*instance]bool{}})
	}
	return r
}

// after schedules an event.
func (r *replay) after(d time.Duration, do func()) {
	r.n++
	heap.Push(&r.events, event{r.now.Add(d), r.n, do})
}

// every schedules an event repeatedly, with exponentially distributed intervals.
func (r *replay) every(interval time.Duration, do func()) {
	r.after(r.exponential(interval), func() {
		do()
		r.every(interval, do)
	})
}

func (r *replay) exponential(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.random.ExpFloat64())
}

// play runs the simulation for a duration.
func (r *replay) play(d time.Duration) {
	end := r.now.Add(d)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

// only returns the subjects of a request without a prompt.
func only(d quarantine.Digest) []quarantine.Digest { return []quarantine.Digest{d} }

func digestOf(n uint64) quarantine.Digest {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	return quarantine.DigestOf("team", []string{"/"}, b[:])
}

// sendHarmless schedules harmless requests; a third of them share a few popular bodies.
func (r *replay) sendHarmless(interval time.Duration) {
	r.every(interval, func() {
		n := popularBodies + r.random.Uint64N(1<<60)
		if r.random.IntN(3) == 0 {
			n = r.random.Uint64N(popularBodies)
		}
		took := 20*time.Millisecond + r.exponential(100*time.Millisecond)
		if r.random.IntN(10) == 0 {
			took = 2 * time.Second
		}
		r.send(&request{digest: digestOf(n), took: took})
	})
}

// sendPoison schedules requests of one caller that end the instance they run on, at random entries.
func (r *replay) sendPoison(n uint64, interval time.Duration) quarantine.Digest {
	d := digestOf(n)
	r.every(interval, func() { r.send(&request{digest: d, poison: true}) })
	return d
}

// send delivers a request to a random entry.
func (r *replay) send(q *request) {
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	q.tried = nil
	r.attempt(q)
}

func (r *replay) attempt(q *request) {
	verdict, _ := q.entry.Decide(q.subjects(), len(r.entries), r.now)
	if hold, held := verdict.(quarantine.Hold); held {
		r.hold(q, hold)
		return
	}
	var open []*instance
	for _, in := range r.instances {
		if in.up && !q.entry.refused[in] && len(in.running) < replaySlots && !slices.Contains(q.tried, in) {
			open = append(open, in)
		}
	}
	if len(open) == 0 || len(q.tried) == replayAttempts {
		r.retry(q)
		return
	}
	in := open[r.random.IntN(len(open))]
	q.tried = append(q.tried, in)
	q.entry.Begin(q.subjects())
	x := &run{r: q, at: in, of: in.Incarnation(), sent: r.now}
	in.running = append(in.running, x)
	if cause, kills := q.kills(); kills {
		r.sends[cause] = append(r.sends[cause], r.now)
		r.after(20*time.Millisecond+r.exponential(50*time.Millisecond), func() {
			if in.Incarnation() == x.of && in.up {
				r.deaths[cause] = append(r.deaths[cause], r.now)
				r.endInstance(in)
			}
		})
		return
	}
	if len(q.parts) > 0 {
		r.after(q.took/2, func() { r.beginAnswer(x) })
	}
	r.after(q.took, func() { r.succeed(x) })
}

// beginAnswer clears the parts of a prompt, unless its run is over.
func (r *replay) beginAnswer(x *run) {
	if x.over {
		return
	}
	x.begun = true
	e := x.r.entry
	for _, part := range x.r.parts {
		e.begun[part] = r.now
		if e.IsSuspected(part) {
			r.publish(e, quarantine.RequestSucceeded{Digest: part, At: r.now})
		}
	}
}

// hold counts a refused request; its caller retries up to twice.
func (r *replay) hold(q *request, hold quarantine.Hold) {
	if _, kills := q.kills(); kills {
		return
	}
	r.refused++
	if hold.EndsInstances {
		r.held++
		r.heldBodies[q.digest] = true
	}
	if q.retries < 2 {
		q.retries++
		r.after(hold.RetryAfter, func() { r.send(q) })
	}
}

// retry makes the caller of a failed request retry once.
func (r *replay) retry(q *request) {
	if _, kills := q.kills(); kills || q.retries > 0 {
		return
	}
	q.retries++
	r.after(300*time.Millisecond, func() { r.send(q) })
}

// succeed ends a run successfully, unless it is over.
func (r *replay) succeed(x *run) {
	if x.over {
		return
	}
	x.over = true
	x.at.remove(x)
	e := x.r.entry
	e.Done(x.r.subjects())
	r.served++
	e.answered[x.r.digest] = r.now
	if e.IsSuspected(x.r.digest) {
		r.publish(e, quarantine.RequestSucceeded{Digest: x.r.digest, At: r.now})
	}
	if e.PresumedEnded(x.of) {
		r.publish(e, quarantine.InstanceResponded{Incarnation: x.of, At: x.sent})
	}
}

// endInstance ends an instance, which restarts after restartDelay.
func (r *replay) endInstance(in *instance) {
	in.up = false
	running := in.running
	in.running = nil
	for _, x := range running {
		r.breakRun(x, true)
	}
	r.after(restartDelay, func() {
		in.Start++
		in.up = true
	})
}

// breakRun ends a run whose connection closed.
func (r *replay) breakRun(x *run, ended bool) {
	if x.over {
		return
	}
	x.over = true
	q := x.r
	q.entry.Done(q.subjects())
	if ended || r.closedIsEnd {
		fact := quarantine.InstanceEnded{Digest: q.digest, Incarnation: x.of, Address: x.at.Address, Sent: x.sent, At: r.now}
		r.publish(q.entry, fact)
		for _, part := range q.parts {
			if begun, known := q.entry.begun[part]; x.begun || known && !begun.Before(x.sent) {
				continue
			}
			fact.Digest = part
			r.publish(q.entry, fact)
		}
	}
	r.attempt(q)
}

// publish merges a fact at one entry, and after a delay at all others.
func (r *replay) publish(e *replayEntry, f quarantine.Fact) {
	if !e.Merge(f) {
		return
	}
	for _, other := range r.entries {
		if other == e {
			continue
		}
		r.after(time.Duration(r.random.Int64N(int64(maxPropagation))), func() { r.receive(other, f) })
	}
	r.shareSuccess(e, f)
}

func (r *replay) receive(e *replayEntry, f quarantine.Fact) {
	if e.Merge(f) {
		r.shareSuccess(e, f)
	}
}

// shareSuccess publishes that a digest under which an instance has ended succeeded at an entry before.
func (r *replay) shareSuccess(e *replayEntry, f quarantine.Fact) {
	end, ok := f.(quarantine.InstanceEnded)
	if !ok {
		return
	}
	for _, known := range []map[quarantine.Digest]time.Time{e.answered, e.begun} {
		if at, ok := known[end.Digest]; ok {
			r.publish(e, quarantine.RequestSucceeded{Digest: end.Digest, At: at})
		}
	}
}
