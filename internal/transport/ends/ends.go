// Package ends detects which instances ended, that is, whose processes exited or crashed, while they
// served which requests. It shares these facts with other entries, and reports for each attempt
// whether package quarantine holds the request. Packages serving and entry both use it.
//
// A closed connection alone is not evidence of an end: instances close connections, responses are
// lost, and links fail. An end is recorded when the instance's address refuses connections right
// after an attempt broke there, or when another incarnation has its id or its address soon afterwards.
package ends

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// reviewInterval is how often it is checked whether another incarnation has taken the id or
	// address of an undecided attempt's instance. An attempt is undecided when it broke or was
	// abandoned by its caller and it is not known whether the instance ended.
	reviewInterval = 250 * time.Millisecond
	// reviewWindow is how long an attempt remains undecided: an instance is back, and has sent a
	// heartbeat, some seconds after its end.
	reviewWindow = 10 * time.Second
	// sweepInterval is how often old facts are removed.
	sweepInterval = 10 * time.Second
	// refusalProbeTimeout limits the probe whether an instance's address refuses connections: the
	// host of a process that has ended refuses within one round trip, some milliseconds.
	refusalProbeTimeout = 100 * time.Millisecond
	// refusalWindow is the time after an attempt broke or its caller disconnected in which a refused
	// connection to its instance counts as an end during that attempt. An abandoned request keeps
	// running for a while, and each instance receives requests many times a second.
	refusalWindow = 2 * time.Second
	// refusedRetention is how long it is known that the address of an incarnation refused connections: no stream that
	// began before can be resumed later.
	refusedRetention = streamorigin.Retention
	// maxUndecided limits the undecided attempts of each kind, broken and abandoned.
	maxUndecided = 256
)

// Attempt is one attempt to run a request at an instance.
type Attempt struct {
	// Request is the request's id in log lines.
	Request string
	Digest  quarantine.Digest
	// Parts are the digests of the parts of its prompt that other requests share.
	Parts []quarantine.Digest
	// Begun is true once an event of the answer was read.
	Begun bool
	To    registry.Instance
	Sent  time.Time
}

// Tracker holds one entry's knowledge of instance ends. Set the exported fields, then call Run. It
// is safe for concurrent use.
type Tracker struct {
	// Entries returns the number of entries that serve requests.
	Entries func() int
	// SupersededCheck returns a function that reports whether another incarnation now has an
	// instance's id or address. It is nil where instances do not report when they started.
	SupersededCheck func() func(registry.Instance) bool
	// NoStartTimes is set where instances do not report when they started. Incarnations then cannot
	// be told apart, and a response never refutes a recorded end.
	NoStartTimes bool
	// Metrics receives the counts.
	Metrics *Metrics
	// Log receives one line per event.
	Log *log.Logger

	once sync.Once

	mu sync.Mutex
	// The fields below are guarded by mu.
	factSet *quarantine.FactSet
	// refusedAt holds the incarnations whose addresses have refused connections, with when they did last.
	refusedAt map[registry.Incarnation]time.Time
	// broken holds the attempts that broke recently and for which it is not known whether the
	// instance ended, oldest first.
	broken []undecidedAttempt
	// abandoned holds the attempts whose caller disconnected recently, oldest first.
	abandoned []undecidedAttempt
	// undecided holds a token if an attempt was added to either list.
	undecided chan struct{}
	// succeeded holds the requests that succeeded at this entry, and partsBegun the parts of prompts whose answers
	// began here.
	succeeded, partsBegun successes
	// origins holds the source of each fact and the time from which it is relayed.
	origins map[quarantine.Key]origin
	// id stands for this entry in facts. refused holds the refusals that it got lately.
	id      uint64
	refused refusals
	// localFacts counts the facts that this entry observed itself. changed is closed and replaced
	// when there is a new fact from any source.
	localFacts uint64
	changed    chan struct{}
}

type undecidedAttempt struct {
	Attempt
	at time.Time
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.factSet = quarantine.New(rand.Uint64())
		t.id = 1 + rand.Uint64N(math.MaxUint64)
		t.refused = refusals{}
		t.origins = map[quarantine.Key]origin{}
		t.changed = make(chan struct{})
		t.undecided = make(chan struct{}, 1)
	})
}

// Run reviews undecided attempts and removes old facts until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	t.init()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	// review fires when a review is due; it is nil while there is nothing to review.
	var review <-chan time.Time
	for {
		changed := t.Changed()
		if review == nil && t.needsReview() {
			review = time.After(reviewInterval)
		}
		select {
		case <-review:
			review = nil
			t.review(clock.Now())
		case <-changed:
		case <-t.undecided:
		case <-sweep.C:
			t.sweep(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Begin decides whether a request may be sent that the digest identifies, and the parts of its prompt. status is
// that of the digest by which it was decided. Unless it is held, done must be called when the attempt has ended.
func (t *Tracker) Begin(d quarantine.Digest, parts ...quarantine.Digest) (verdict quarantine.Verdict, status quarantine.RequestStatus, done func()) {
	t.init()
	subjects := append([]quarantine.Digest{d}, parts...)
	entries, now := t.Entries(), clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, cause := t.factSet.Decide(subjects, entries, now)
	if _, any := verdict.(quarantine.Send); any {
		cause = d
	}
	status = t.factSet.Status(cause, entries, now)
	if hold, held := verdict.(quarantine.Hold); held {
		t.Metrics.countHold(hold, cause != d)
		return verdict, status, func() {}
	}
	t.factSet.Begin(subjects)
	return verdict, status, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.factSet.Done(subjects)
	}
}

// RefusalProbe reports whether an instance's address refuses connections.
type RefusalProbe func(ctx context.Context, in registry.Instance) bool

// RecordBroken records an attempt whose response was incomplete though this side did not cancel it.
// refuses is nil if its connection was not closed by the other side: then the address is not probed.
func (t *Tracker) RecordBroken(ctx context.Context, a Attempt, refuses RefusalProbe) {
	t.init()
	if refuses != nil && probe(ctx, a.To, refuses) {
		t.noteRefusal(a.To.Incarnation())
		t.recordEnd(a, signRefused, clock.Now())
		t.RecordRefusal(a.To)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = t.appendUndecided(t.broken, a)
}

func probe(ctx context.Context, in registry.Instance, refuses RefusalProbe) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalProbeTimeout)
	defer cancel()
	return refuses(ctx, in)
}

// RecordAbandoned records an attempt whose caller disconnected before there was a response. The
// request may keep running, and end the instance.
func (t *Tracker) RecordAbandoned(a Attempt) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = t.appendUndecided(t.abandoned, a)
}

// appendUndecided appends an attempt to a list of undecided ones, and drops the oldest when it is full.
func (t *Tracker) appendUndecided(list []undecidedAttempt, a Attempt) []undecidedAttempt {
	select {
	case t.undecided <- struct{}{}:
	default:
	}
	if len(list) >= maxUndecided {
		list = list[1:]
	}
	return append(list, undecidedAttempt{a, clock.Now()})
}

// RecordRefusal records that an instance's address refuses connections: the attempts that broke or
// were abandoned there recently are recorded as ends.
func (t *Tracker) RecordRefusal(in registry.Instance) {
	t.init()
	t.noteRefusal(in.Incarnation())
	now := clock.Now()
	for _, b := range t.takeRecent(in, now) {
		t.recordEnd(b.Attempt, signRefused, now)
	}
}

// takeRecent removes and returns the undecided attempts at an instance within refusalWindow.
func (t *Tracker) takeRecent(in registry.Instance, now time.Time) (out []undecidedAttempt) {
	atInstance := func(b undecidedAttempt) bool {
		is := b.To.Incarnation() == in.Incarnation() && now.Sub(b.at) < refusalWindow
		if is {
			out = append(out, b)
		}
		return is
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = slices.DeleteFunc(t.broken, atInstance)
	t.abandoned = slices.DeleteFunc(t.abandoned, atInstance)
	return out
}

// RecordSuperseded records an attempt at an incarnation whose id or address another one has.
func (t *Tracker) RecordSuperseded(a Attempt) {
	t.init()
	t.recordEnd(a, signSuperseded, clock.Now())
}

// recordEnd records that an instance ended while it served a request. The end counts against the parts of its prompt as well,
// unless this attempt had begun an answer, or another one with the part has since it was sent.
func (t *Tracker) recordEnd(a Attempt, sign string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := a.To.Incarnation()
	if t.NoStartTimes {
		of.Start = -registry.Start(at.UnixMilli())
	}
	fact := quarantine.InstanceEnded{Digest: a.Digest, Incarnation: of, Address: a.To.Address, Sent: a.Sent, At: at}
	for _, part := range a.Parts {
		begun, known := t.partsBegun.at[part]
		if a.Begun || known && !begun.Before(a.Sent) {
			continue
		}
		partFact := fact
		partFact.Digest = part
		if t.merge(partFact, origin{at: at}) {
			t.shareSuccess(part, at)
		}
	}
	if !t.merge(fact, origin{at: at}) {
		return
	}
	t.shareSuccess(a.Digest, at)
	t.shareRefusals(fact, at)
	t.Metrics.ends.WithLabelValues(sign).Inc()
	t.Log.Info().Str("event", "instance_ended_under").Str("request", a.Request).Str("digest", a.Digest.String()).Strs("parts", a.partNames()).Str("instance", a.To.ID).
		Int64("start", int64(a.To.Start)).Str("address", a.To.Address).Str("sign", sign).Dur("sent_age_ms", at.Sub(a.Sent)).Msg("")
}

// partNames returns the digests of the parts as they appear in logs.
func (a Attempt) partNames() []string {
	var out []string
	for _, p := range a.Parts {
		out = append(out, p.String())
	}
	return out
}

// RecordSuccess records a complete response with a status below 300. Other entries are told if an
// instance has ended under the request, or as soon as one does.
func (t *Tracker) RecordSuccess(a Attempt) {
	t.init()
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordSuccess(&t.succeeded, a.Digest, now)
	t.recordPartsBegun(a.Parts, now)
	t.recordResponse(a, now)
}

// RecordBegun records that an event of an answer was read, to a prompt with the given parts: none of them ends
// instances.
func (t *Tracker) RecordBegun(parts []quarantine.Digest) {
	if len(parts) == 0 {
		return
	}
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPartsBegun(parts, clock.Now())
}

// recordPartsBegun records that an answer to a prompt with some parts has begun. mu must be held.
func (t *Tracker) recordPartsBegun(parts []quarantine.Digest, now time.Time) {
	for _, part := range parts {
		t.recordSuccess(&t.partsBegun, part, now)
	}
}

// recordSuccess records the success of a digest, and shares it if the digest is suspected. mu must be held.
func (t *Tracker) recordSuccess(known *successes, d quarantine.Digest, now time.Time) {
	known.add(d, now)
	if t.factSet.IsSuspected(d) {
		t.merge(quarantine.RequestSucceeded{Digest: d, At: now}, origin{at: now})
	}
}

// RecordResponse records that the instance of an attempt responded.
func (t *Tracker) RecordResponse(a Attempt) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordResponse(a, clock.Now())
}

func (t *Tracker) recordResponse(a Attempt, now time.Time) {
	of := a.To.Incarnation()
	if t.factSet.PresumedEnded(of) {
		t.merge(quarantine.InstanceResponded{Incarnation: of, At: a.Sent}, origin{at: now})
	}
}

// review checks whether other incarnations have taken the id or address of those at which attempts
// are undecided, or that are presumed to have ended.
func (t *Tracker) review(now time.Time) {
	if t.SupersededCheck == nil || !t.needsReview() {
		return
	}
	superseded := t.SupersededCheck()
	for _, b := range t.takeSuperseded(superseded, now) {
		t.recordEnd(b.Attempt, signSuperseded, b.at)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.factSet.UnconfirmedEnds() {
		if superseded(registry.Instance{ID: e.Incarnation.ID, Start: e.Incarnation.Start, Address: e.Address}) {
			t.factSet.ConfirmEnd(e.Incarnation)
		}
	}
}

// needsReview reports whether there is anything to review.
func (t *Tracker) needsReview() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.broken) > 0 || len(t.abandoned) > 0 || t.factSet.Len() > 0
}

// takeSuperseded removes and returns the undecided attempts at incarnations that have been
// superseded, and drops those older than reviewWindow.
func (t *Tracker) takeSuperseded(superseded func(registry.Instance) bool, now time.Time) (out []undecidedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := func(b undecidedAttempt) bool {
		ended := superseded(b.To)
		if ended {
			out = append(out, b)
		}
		return ended || now.Sub(b.at) >= reviewWindow
	}
	t.broken = slices.DeleteFunc(t.broken, settled)
	t.abandoned = slices.DeleteFunc(t.abandoned, settled)
	return out
}

func (t *Tracker) sweep(now time.Time) {
	entries := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.factSet.Sweep(entries, now)
	for k := range t.origins {
		if !t.factSet.Contains(k) {
			delete(t.origins, k)
		}
	}
	t.refused.sweep(now)
}
