// Package ends finds out which instances ended under which requests, keeps what other entries
// found, and says what becomes of further attempts. Both ways into the system use it; package
// quarantine decides.
//
// A connection that closed is no end: instances close connections, answers are lost, and links
// are cut. An end is seen when the instance's address refuses connections right after an attempt
// broke off there, or when another incarnation has its id or its address soon afterwards.
package ends

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// reviewInterval is how often it is looked whether another incarnation has taken the place of
	// one at which an attempt broke off.
	reviewInterval = 250 * time.Millisecond
	// reviewFor is for how long that is looked for: an instance is back, and has reported, some
	// seconds after its end.
	reviewFor = 10 * time.Second
	// sweepInterval is how often old facts are forgotten.
	sweepInterval = 10 * time.Second
	// refusesTime bounds the question whether an instance's address refuses connections: a
	// process that has ended refuses within the way there and back, some milliseconds.
	refusesTime = 100 * time.Millisecond
	// refusedFor is for how long after an attempt broke off, or its caller left, its instance must be
	// found to refuse connections to have ended under it: a request that is left runs on for a
	// while, and callers send to each instance many times a second.
	refusedFor = 2 * time.Second
	// mostBreaks bounds the attempts that broke off, or whose callers left, of which nothing more
	// is known; each kind has as many.
	mostBreaks = 256
	// mostAnswered bounds the requests that are remembered to have come to a good end: with 200
	// requests a second those of the last 20 s. All that a Tracker keeps is 1.2 MB at most.
	mostAnswered = 4096
)

// Attempt is one attempt at a request.
type Attempt struct {
	// Request is the id in log lines.
	Request string
	Digest  quarantine.Digest
	To      registry.Instance
	Sent    time.Time
}

// Tracker is one entry's part. Set the exported fields, then Run. It is safe for concurrent use.
type Tracker struct {
	// Entries returns how many entries serve.
	Entries func() int
	// SupersededCheck returns what tells whether another incarnation has an instance's id or address
	// now; nil where instances do not tell.
	SupersededCheck func() func(registry.Instance) bool
	// NoStartTimes says that instances do not tell when they started, so that no incarnation can be
	// known by name, and none that is taken for ended is heard again.
	NoStartTimes bool
	// Metrics counts the ends.
	Metrics *Metrics
	// Log receives one line for each event.
	Log *log.Logger

	once sync.Once

	mu sync.Mutex
	// The fields below are guarded by mu.
	book *quarantine.FactSet
	// breaks are the attempts that broke off lately, of which it is not known whether the instance
	// ended, the oldest first.
	breaks []broken
	// left are those whose caller left lately.
	left []broken
	// answered holds when requests came to a good end here, and order their digests in a ring.
	answered map[quarantine.Digest]time.Time
	order    []quarantine.Digest
	next     int
	// learned says of each fact where it is from, and when it is passed on.
	learned map[quarantine.Key]origin
	// seen counts the facts that were seen here, and changed is closed and replaced when there is
	// a new one from anywhere.
	seen    uint64
	changed chan struct{}
}

type broken struct {
	Attempt
	at time.Time
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.book = quarantine.New(rand.Uint64())
		t.answered = map[quarantine.Digest]time.Time{}
		t.learned = map[quarantine.Key]origin{}
		t.changed = make(chan struct{})
	})
}

// Run reviews what is not known yet until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	t.init()
	review := time.NewTicker(reviewInterval)
	defer review.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-review.C:
			t.review(clock.Now())
		case <-sweep.C:
			t.sweep(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Begin says what becomes of an attempt at a request. Unless it is held, done must be called when
// the attempt has ended.
func (t *Tracker) Begin(d quarantine.Digest) (verdict quarantine.Verdict, known quarantine.RequestStatus, done func()) {
	t.init()
	entries, now := t.Entries(), clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict = t.book.Decide(d, entries, now)
	known = t.book.Status(d, entries, now)
	if hold, held := verdict.(quarantine.Hold); held {
		t.Metrics.hold(hold)
		return verdict, known, func() {}
	}
	t.book.Begin(d)
	return verdict, known, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.book.Done(d)
	}
}

// RefusalProbe reports whether an instance's address refuses connections.
type RefusalProbe func(ctx context.Context, in registry.Instance) bool

// RecordBroken takes the end of an attempt whose answer was not whole, though this side did not end it.
// refuses is nil where its connection did not close, so that there is nothing to ask.
func (t *Tracker) RecordBroken(ctx context.Context, a Attempt, refuses RefusalProbe) {
	t.init()
	if refuses != nil && ask(ctx, a.To, refuses) {
		t.ended(a, signRefused, clock.Now())
		t.RecordRefusal(a.To)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = undecided(t.breaks, a)
}

func ask(ctx context.Context, in registry.Instance, refuses RefusalProbe) bool {
	ctx, cancel := context.WithTimeout(ctx, refusesTime)
	defer cancel()
	return refuses(ctx, in)
}

// RecordAbandoned takes an attempt whose caller left before there was an answer. The request may run on, and
// end the instance.
func (t *Tracker) RecordAbandoned(a Attempt) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = undecided(t.left, a)
}

// undecided adds an attempt to those of which nothing more is known.
func undecided(list []broken, a Attempt) []broken {
	if len(list) >= mostBreaks {
		list = list[1:]
	}
	return append(list, broken{a, clock.Now()})
}

// RecordRefusal takes that an instance's address refuses connections: what broke off or was left there
// lately did so as it ended.
func (t *Tracker) RecordRefusal(in registry.Instance) {
	t.init()
	now := clock.Now()
	for _, b := range t.refused(in, now) {
		t.ended(b.Attempt, signRefused, now)
	}
}

// refused takes out the attempts that ended lately at an instance.
func (t *Tracker) refused(in registry.Instance, now time.Time) (out []broken) {
	there := func(b broken) bool {
		is := b.To.Incarnation() == in.Incarnation() && now.Sub(b.at) < refusedFor
		if is {
			out = append(out, b)
		}
		return is
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = slices.DeleteFunc(t.breaks, there)
	t.left = slices.DeleteFunc(t.left, there)
	return out
}

// RecordSuperseded takes the end of an attempt at an incarnation whose id or address another one has.
func (t *Tracker) RecordSuperseded(a Attempt) {
	t.init()
	t.ended(a, signSuperseded, clock.Now())
}

// ended notes that an instance ended under a request.
func (t *Tracker) ended(a Attempt, sign string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := a.To.Incarnation()
	if t.NoStartTimes {
		of.Start = -registry.Start(at.UnixMilli())
	}
	fact := quarantine.InstanceEnded{Digest: a.Digest, Incarnation: of, Address: a.To.Address, Sent: a.Sent, At: at}
	if !t.take(fact, origin{at: at}) {
		return
	}
	t.Metrics.ends.WithLabelValues(sign).Inc()
	t.Log.Info().Str("event", "instance_ended_under").Str("request", a.Request).Str("digest", a.Digest.String()).Str("instance", a.To.ID).
		Int64("start", int64(a.To.Start)).Str("address", a.To.Address).Str("sign", sign).Dur("sent_age_ms", at.Sub(a.Sent)).Msg("")
}

// RecordSuccess takes a good answer to an attempt. Others are told if an instance ended under the request,
// or once one does.
func (t *Tracker) RecordSuccess(a Attempt) {
	t.init()
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remember(a.Digest, now)
	if t.book.IsSuspected(a.Digest) {
		t.take(quarantine.RequestSucceeded{Digest: a.Digest, At: now}, origin{at: now})
	}
	t.heard(a, now)
}

// RecordResponse takes a word of the instance of an attempt.
func (t *Tracker) RecordResponse(a Attempt) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard(a, clock.Now())
}

func (t *Tracker) heard(a Attempt, now time.Time) {
	of := a.To.Incarnation()
	if t.book.PresumedEnded(of) {
		t.take(quarantine.InstanceResponded{Incarnation: of, At: a.Sent}, origin{at: now})
	}
}

// remember keeps when a request came to a good end here; mu must be held.
func (t *Tracker) remember(d quarantine.Digest, now time.Time) {
	_, known := t.answered[d]
	t.answered[d] = now
	if known {
		return
	}
	if len(t.order) < mostAnswered {
		t.order = append(t.order, d)
		return
	}
	delete(t.answered, t.order[t.next])
	t.order[t.next] = d
	t.next = (t.next + 1) % mostAnswered
}

// review looks whether other incarnations have taken the place of those at which attempts broke
// off, or that are taken for ended.
func (t *Tracker) review(now time.Time) {
	if t.SupersededCheck == nil || !t.unsettled() {
		return
	}
	superseded := t.SupersededCheck()
	for _, b := range t.over(superseded, now) {
		t.ended(b.Attempt, signSuperseded, b.at)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.book.UnconfirmedEnds() {
		if superseded(registry.Instance{ID: e.Incarnation.ID, Start: e.Incarnation.Start, Address: e.Address}) {
			t.book.ConfirmEnd(e.Incarnation)
		}
	}
}

// unsettled reports whether there is anything to review.
func (t *Tracker) unsettled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.breaks) > 0 || len(t.left) > 0 || t.book.Len() > 0
}

// over takes out the attempts that broke off, or were left, at incarnations that have ended since,
// and forgets those that are old.
func (t *Tracker) over(superseded func(registry.Instance) bool, now time.Time) (over []broken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := func(b broken) bool {
		ended := superseded(b.To)
		if ended {
			over = append(over, b)
		}
		return ended || now.Sub(b.at) >= reviewFor
	}
	t.breaks = slices.DeleteFunc(t.breaks, settled)
	t.left = slices.DeleteFunc(t.left, settled)
	return over
}

// counts returns how many requests are suspected and how many are held.
func (t *Tracker) counts() (suspected, held int) {
	t.init()
	entries := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Counts(entries, clock.Now())
}

func (t *Tracker) sweep(now time.Time) {
	entries := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Sweep(entries, now)
	for k := range t.learned {
		if !t.book.Contains(k) {
			delete(t.learned, k)
		}
	}
}
