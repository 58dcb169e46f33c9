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

// The fleet of the replay, as one of the small deployments has it.
const (
	replayInstances = 14
	replaySlots     = 16
	replayEntries   = 8
	// replayAttempts is how many instances one request may be sent to.
	replayAttempts = 3
	// popular is how many bodies a third of the callers share.
	popular = 20
	// back is after how long an instance is back that ended.
	back = 3 * time.Second
	// toOthers is the longest time that a fact takes from one entry to another.
	toOthers = 500 * time.Millisecond
)

// judge is what decides: a Book, or a mutant of it.
type judge interface {
	Decide(d quarantine.Digest, entries int, now time.Time) quarantine.Verdict
	Merge(quarantine.Fact) bool
	IsSuspected(quarantine.Digest) bool
	PresumedEnded(registry.Incarnation) bool
	Begin(quarantine.Digest)
	Done(quarantine.Digest)
	Since(change uint64, most int) (facts []quarantine.Fact, last uint64)
	Len() int
}

// request is one request on its way.
type request struct {
	digest  quarantine.Digest
	deadly  bool
	entry   *replayEntry
	tried   []*instance
	retries int
	took    time.Duration
}

type instance struct {
	registry.Instance
	up bool
	// running are the attempts there, the oldest first.
	running []*run
}

// leave takes an attempt away.
func (in *instance) leave(x *run) {
	in.running = slices.DeleteFunc(in.running, func(other *run) bool { return other == x })
}

// run is one attempt at an instance.
type run struct {
	r    *request
	at   *instance
	of   registry.Incarnation
	sent time.Time
	over bool
}

type replayEntry struct {
	judge
	answered map[quarantine.Digest]time.Time
	// refused holds the instances whose connections something between refuses.
	refused map[*instance]bool
}

// replay is a fleet in which everything happens at set times.
type replay struct {
	random    *rand.Rand
	now       time.Time
	events    events
	n         int
	instances []*instance
	entries   []*replayEntry
	newJudge  func(entry int) judge
	// closedIsEnd takes each closed connection for an end, as a mutant does.
	closedIsEnd bool

	// served and refused count requests that harm nobody, and held those of the refused whose
	// instances had ended; heldBodies are which they were.
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

func newReplay(seed uint64, newJudge func(int) judge) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 0x9a)), now: time.Unix(1e9, 0), newJudge: newJudge,
		heldBodies: map[quarantine.Digest]bool{}, deaths: map[quarantine.Digest][]time.Time{}, sends: map[quarantine.Digest][]time.Time{},
	}
	for i := range replayInstances {
		id := string(rune('a' + i))
		r.instances = append(r.instances, &instance{Instance: registry.Instance{ID: id, Address: id, Start: 1}, up: true})
	}
	for i := range replayEntries {
		r.entries = append(r.entries, &replayEntry{judge: newJudge(i), answered: map[quarantine.Digest]time.Time{}, refused: map[*instance]bool{}})
	}
	return r
}

// after has something happen later.
func (r *replay) after(d time.Duration, do func()) {
	r.n++
	heap.Push(&r.events, event{r.now.Add(d), r.n, do})
}

// each has something happen again and again, at times drawn around an interval.
func (r *replay) each(interval time.Duration, do func()) {
	r.after(r.around(interval), func() {
		do()
		r.each(interval, do)
	})
}

func (r *replay) around(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.random.ExpFloat64())
}

// play runs the replay for some time.
func (r *replay) play(d time.Duration) {
	end := r.now.Add(d)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

func digestOf(n uint64) quarantine.Digest {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	return quarantine.DigestOf("team", []string{"/"}, b[:])
}

// innocents has callers send requests that harm nobody: a third of them bodies that many send.
func (r *replay) innocents(interval time.Duration) {
	r.each(interval, func() {
		n := popular + r.random.Uint64N(1<<60)
		if r.random.IntN(3) == 0 {
			n = r.random.Uint64N(popular)
		}
		took := 20*time.Millisecond + r.around(100*time.Millisecond)
		if r.random.IntN(10) == 0 {
			took = 2 * time.Second
		}
		r.send(&request{digest: digestOf(n), took: took})
	})
}

// deadly has one caller send a request that ends whatever runs it, at any entry.
func (r *replay) deadly(n uint64, interval time.Duration) quarantine.Digest {
	d := digestOf(n)
	r.each(interval, func() { r.send(&request{digest: d, deadly: true}) })
	return d
}

// send has a request arrive at an entry.
func (r *replay) send(q *request) {
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	q.tried = nil
	r.attempt(q)
}

func (r *replay) attempt(q *request) {
	if hold, held := q.entry.Decide(q.digest, len(r.entries), r.now).(quarantine.Hold); held {
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
		r.again(q)
		return
	}
	in := open[r.random.IntN(len(open))]
	q.tried = append(q.tried, in)
	q.entry.Begin(q.digest)
	x := &run{r: q, at: in, of: in.Incarnation(), sent: r.now}
	in.running = append(in.running, x)
	if q.deadly {
		r.sends[q.digest] = append(r.sends[q.digest], r.now)
		r.after(20*time.Millisecond+r.around(50*time.Millisecond), func() {
			if in.Incarnation() == x.of && in.up {
				r.deaths[q.digest] = append(r.deaths[q.digest], r.now)
				r.end(in)
			}
		})
		return
	}
	r.after(q.took, func() { r.answer(x) })
}

// hold notes a refusal; callers come back once or twice.
func (r *replay) hold(q *request, hold quarantine.Hold) {
	if q.deadly {
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

// again has a caller whose request failed come back, once.
func (r *replay) again(q *request) {
	if q.deadly || q.retries > 0 {
		return
	}
	q.retries++
	r.after(300*time.Millisecond, func() { r.send(q) })
}

// answer ends a run well, unless it has ended.
func (r *replay) answer(x *run) {
	if x.over {
		return
	}
	x.over = true
	x.at.leave(x)
	e := x.r.entry
	e.Done(x.r.digest)
	r.served++
	e.answered[x.r.digest] = r.now
	if e.IsSuspected(x.r.digest) {
		r.tell(e, quarantine.RequestSucceeded{Digest: x.r.digest, At: r.now})
	}
	if e.PresumedEnded(x.of) {
		r.tell(e, quarantine.InstanceResponded{Incarnation: x.of, At: x.sent})
	}
}

// end ends an instance, which is back after a while.
func (r *replay) end(in *instance) {
	in.up = false
	running := in.running
	in.running = nil
	for _, x := range running {
		r.breakOff(x, true)
	}
	r.after(back, func() {
		in.Start++
		in.up = true
	})
}

// breakOff ends a run whose connection closed.
func (r *replay) breakOff(x *run, ended bool) {
	if x.over {
		return
	}
	x.over = true
	q := x.r
	q.entry.Done(q.digest)
	if ended || r.closedIsEnd {
		r.tell(q.entry, quarantine.InstanceEnded{Digest: q.digest, Incarnation: x.of, Address: x.at.Address, Sent: x.sent, At: r.now})
	}
	r.attempt(q)
}

// tell joins a fact at an entry, and at all others somewhat later.
func (r *replay) tell(e *replayEntry, f quarantine.Fact) {
	if !e.Merge(f) {
		return
	}
	for _, other := range r.entries {
		if other == e {
			continue
		}
		r.after(time.Duration(r.random.Int64N(int64(toOthers))), func() { r.hear(other, f) })
	}
}

func (r *replay) hear(e *replayEntry, f quarantine.Fact) {
	news := e.Merge(f)
	end, ok := f.(quarantine.InstanceEnded)
	if !news || !ok {
		return
	}
	if at, known := e.answered[end.Digest]; known {
		r.tell(e, quarantine.RequestSucceeded{Digest: end.Digest, At: at})
	}
}

// power ends some instances at the same moment.
func (r *replay) power(n int) {
	for _, i := range r.random.Perm(len(r.instances))[:n] {
		if r.instances[i].up {
			r.end(r.instances[i])
		}
	}
}

// cut refuses the connections of one entry to some instances for a while; what runs there goes on.
func (r *replay) cut(n int, d time.Duration) {
	e := r.entries[r.random.IntN(len(r.entries))]
	for _, i := range r.random.Perm(len(r.instances))[:n] {
		in := r.instances[i]
		e.refused[in] = true
		for _, x := range slices.Clone(in.running) {
			if x.r.entry == e {
				in.leave(x)
				r.breakOff(x, true)
			}
		}
		r.after(d, func() { delete(e.refused, in) })
	}
}

// drop closes the connections of some runs, whose instances live on.
func (r *replay) drop(n int) {
	for _, in := range r.instances {
		for _, x := range slices.Clone(in.running) {
			if n == 0 {
				return
			}
			if !x.r.deadly {
				n--
				in.leave(x)
				r.breakOff(x, false)
			}
		}
	}
}

// restart has an entry forget what it knew by itself; it learns what others told before it serves.
func (r *replay) restart() {
	i := r.random.IntN(len(r.entries))
	e := r.entries[i]
	e.judge = r.newJudge(i)
	e.answered = map[quarantine.Digest]time.Time{}
	other := r.entries[(i+1)%len(r.entries)]
	facts, _ := other.Since(0, other.Len())
	for _, f := range facts {
		e.Merge(f)
	}
}
