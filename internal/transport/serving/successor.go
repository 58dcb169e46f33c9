package serving

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

// silence is why an instance counts as silent, as logs and metrics name it.
type silence string

const (
	// silentDomain means that the instance's failure domain is unreachable from this one, and silentPath that this
	// entry reaches no instance of the service.
	silentDomain silence = "domain_unreachable"
	silentPath   silence = "path_lost"
)

// successorEnd is what became of a successor, as logs and metrics name it.
type successorEnd string

const (
	successorTookOver successorEnd = "took_over"
	// successorDropped means that the silent instance went on, or that the caller left.
	successorDropped successorEnd = "dropped"
	// successorFailed means that the other instance was not reached, refused the request, or broke it off.
	successorFailed successorEnd = "failed"
	// successorNotSent means that no resend was allowed, or that no instance could be chosen.
	successorNotSent successorEnd = "not_sent"
)

// errDropped reports that a successor was not needed.
var errDropped = errors.New("the silent instance went on, or the request ended")

// takenOver is set in the count of events once a successor has taken over: no event of the silent attempt may follow.
const takenOver = 1 << 63

// progress is what the attempt in progress has received; its successor reads it. The zero value means nothing.
type progress struct {
	// received counts events, and settled is the count up to which they have been written or dropped. accepted is the
	// number of the last one that the caller has or will be sent.
	received, settled, accepted atomic.Uint64
	// successor ends the successor, if there is one.
	successor atomic.Pointer[context.CancelFunc]
}

// count counts an event of the silent attempt; ok is false if a successor has taken over. Otherwise its successor ends.
func (p *progress) count() (ok bool) {
	if p.received.Add(1)&takenOver != 0 {
		return false
	}
	if cancel := p.successor.Load(); cancel != nil {
		(*cancel)()
	}
	return true
}

// settle records that the events counted so far were written or dropped, up to a number.
func (p *progress) settle(number uint64) {
	p.accepted.Store(number)
	p.settled.Store(p.received.Load())
}

// takeOver lets a successor go on unless an event was counted since the given count.
func (p *progress) takeOver(received uint64) (ok bool) {
	return p.received.CompareAndSwap(received, received|takenOver)
}

// reset begins the count of another attempt.
func (p *progress) reset() {
	p.successor.Store(nil)
	p.settled.Store(0)
	p.received.Store(0)
}

// successor is an attempt that is made while another instance is silent. A sound instance may be silent for a second and
// go on, so the silent attempt lasts until the successor has something to go on with.
type successor struct {
	cause silence
	// job holds the state of the successor's attempt, and predecessor is the job of the request.
	job, predecessor *job
	// received is what the silent attempt had received when the successor began.
	received uint64
	// cancelSilent ends the silent attempt, and cancel the successor.
	cancelSilent context.CancelCauseFunc
	cancel       context.CancelFunc
	// done is closed when the fields below are set. sent is the attempt that goes on, or nil; end is the result of an
	// attempt that does not, or nil if none was made.
	done chan struct{}
	sent *sentAttempt
	end  retry.Result
}

// startSuccessor sends the request of a silent attempt to another instance as well, unless an event of the attempt is being
// written, or its events have no numbers by which another could go on. mu must be held.
func (s *Server) startSuccessor(j *job, silent inFlightAttempt, cause silence) {
	// The count is read first: an event that is forwarded meanwhile keeps the successor from taking over.
	received := j.progress.received.Load()
	unnumbered := received > 0 && j.progress.accepted.Load() == j.request.After
	if unnumbered || j.progress.settled.Load() != received {
		return
	}
	ctx, cancel := context.WithCancel(silent.ctx)
	c := &successor{
		cause: cause, job: j.forSuccessor(), predecessor: j, received: received,
		cancelSilent: silent.cancel, cancel: cancel, done: make(chan struct{}),
	}
	j.hadSuccessor = true
	j.successor = c
	j.progress.successor.Store(&cancel)
	go func() {
		defer close(c.done)
		defer c.recoverPanic()
		c.run(ctx)
	}()
}

// recoverPanic ends a successor that panicked as failed. Unlike those of callers' handlers, its goroutine would take the
// process with it.
func (c *successor) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	c.sent = nil
	c.job.server.Metrics.CountPanic()
	httpserve.LogPanic(c.job.server.Log, cause, c.job.request.ID, "successor_failed")
	c.record(successorFailed)
}

// forSuccessor returns a job for an attempt beside the one in progress. The server's mu must be held.
func (j *job) forSuccessor() *job {
	last := j.progress.accepted.Load()
	return &job{
		server: j.server, request: j.request, digest: j.digest, parts: j.parts, version: j.version, route: j.route, team: j.team,
		residency: j.residency, service: j.service, urgency: j.urgency, deadline: j.deadline, attempts: j.attempts,
		triedInstances: slices.Clone(j.triedInstances), attemptNumber: j.attemptNumber, origin: j.corrected(), headSent: last > j.request.After,
		lastEvent: last, callerCtx: j.callerCtx, stop: j.stop, hadSuccessor: true, beside: true,
	}
}

// run makes the attempt, and ends the silent one once there is a response to go on with.
func (c *successor) run(ctx context.Context) {
	j := c.job
	takenAt := clock.Now()
	if !j.mayResend() {
		c.record(successorNotSent)
		return
	}
	if j.place(ctx) != nil {
		j.returnResend(takenAt)
		c.record(successorNotSent)
		return
	}
	x := j.send(ctx)
	switch {
	case !c.isUsable(x):
		c.fail(j.finish(ctx, x), takenAt)
	case !c.takeOver():
		c.end = j.drop(ctx, x)
		c.record(successorDropped)
	default:
		c.sent = x
	}
}

// fail ends a successor whose attempt gave no usable response, with the result of that. One that was canceled may have
// run as well.
func (c *successor) fail(end retry.Result, takenAt time.Time) {
	c.end = end
	switch end.(type) {
	case retry.CallerGone:
		c.end = retry.Broken{}
		c.record(successorDropped)
	case retry.Unreached:
		c.job.returnResend(takenAt)
		c.record(successorFailed)
	default:
		c.record(successorFailed)
	}
}

// isUsable reports whether the response goes on where the silent attempt stopped. Of a stream, it reads up to the first
// event that the caller does not have.
func (c *successor) isUsable(x *sentAttempt) bool {
	switch reply := x.reply.(type) {
	case exchange.Whole:
		return !c.job.headSent && reply.Head.Status < 500
	case exchange.Stream:
		first := &firstRead{Events: reply.Events, pending: true}
		first.read(c.job.lastEvent)
		x.watch.begun()
		reply.Events = first
		x.reply = reply
		return first.err == io.EOF || first.err == nil && c.goesOn(first.event.Number)
	}
	return false
}

// goesOn reports whether an event may be the next one for the caller.
func (c *successor) goesOn(number uint64) bool {
	return number == c.job.lastEvent+1 || c.job.lastEvent == 0 && !c.job.headSent
}

// takeOver ends the silent attempt, unless it has received something since the successor began.
func (c *successor) takeOver() bool {
	if !c.predecessor.progress.takeOver(c.received) {
		return false
	}
	c.cancelSilent(errTakenOver)
	return true
}

// record logs and counts what became of the successor.
func (c *successor) record(end successorEnd) {
	j := c.job
	j.server.Metrics.successors.WithLabelValues(j.service, string(c.cause), string(end)).Inc()
	silent := c.predecessor.instance
	j.server.Log.Info().Str("event", "successor").Str("request", j.request.ID).Str("service", j.service).Str("cause", string(c.cause)).
		Str("result", string(end)).Str("silent", silent.ID).Str("instance", j.instance.ID).Uint64("after", j.lastEvent).Msg("")
}

// followSuccessor returns the result of the request's successor if there is one that goes on, and else end, the result
// of the attempt that was silent.
func (j *job) followSuccessor(ctx context.Context, end retry.Result) retry.Result {
	c := j.takeSuccessor()
	if c == nil {
		return end
	}
	defer c.cancel()
	final := isFinal(end)
	if final {
		c.cancel()
	}
	<-c.done
	j.progress.reset()
	j.triedInstances, j.attemptNumber = c.job.triedInstances, c.job.attemptNumber
	switch {
	case c.sent == nil:
		if c.end != nil {
			j.attempts.Count(c.end)
		}
		return end
	case final || j.lastAccepted() != c.job.lastEvent:
		j.attempts.Count(c.job.drop(ctx, c.sent))
		c.record(successorDropped)
		return end
	}
	c.record(successorTookOver)
	j.attempts.Count(end)
	j.adopt(c.job)
	return j.finish(ctx, c.sent)
}

// takeSuccessor returns the request's successor, which is no longer its own then, or nil.
func (j *job) takeSuccessor() *successor {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	c := j.successor
	j.successor = nil
	return c
}

// dropSuccessor ends the successor of an attempt that panicked.
func (j *job) dropSuccessor(ctx context.Context) {
	c := j.takeSuccessor()
	if c == nil {
		return
	}
	c.cancel()
	<-c.done
	if c.sent != nil {
		c.job.drop(ctx, c.sent)
		c.record(successorDropped)
	}
}

// isFinal reports whether nothing follows a result: the caller has left, or has an answer that is no failure.
func isFinal(end retry.Result) bool {
	switch end := end.(type) {
	case retry.CallerGone:
		return true
	case retry.Completed:
		return end.Status < 500
	}
	return false
}

// adopt takes over the state of a successor's attempt.
func (j *job) adopt(from *job) {
	j.instance, j.via, j.condition, j.memory, j.waiting = from.instance, from.via, from.condition, from.memory, from.waiting
	j.consultation, j.done, j.counted, j.full, j.waited = from.consultation, from.done, from.counted, from.full, j.waited+from.waited
	j.fetchEpochs, j.saveHolder, j.saveTook = from.fetchEpochs, from.saveHolder, from.saveTook
	j.fetchParts, j.saveParts, j.computed, j.weights, j.sharedSince = from.fetchParts, from.saveParts, from.computed, from.weights, from.sharedSince
	j.quarantined, j.heldPart = from.quarantined, from.heldPart
}

// drop ends an attempt that has a response but is not needed. Its result says that the request may have run.
func (j *job) drop(ctx context.Context, x *sentAttempt) retry.Result {
	if stream, ok := x.reply.(exchange.Stream); ok {
		stream.Events.Close()
	}
	x.reply = exchange.Broken{Err: errDropped}
	canceled, cancel := context.WithCancel(context.WithoutCancel(ctx))
	cancel()
	j.finish(canceled, x)
	return retry.Broken{}
}

// returnResend gives back a resend that was allowed at a time and not made.
func (j *job) returnResend(takenAt time.Time) {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.server.window(j.service).Return(takenAt, clock.Now())
}

// firstRead is a stream whose first event has been read already.
type firstRead struct {
	exchange.Events
	// pending is true until Next has returned the fields below.
	pending bool
	event   exchange.Event
	more    bool
	err     error
}

// read reads up to the first event after a number.
func (f *firstRead) read(after uint64) {
	for {
		f.event, f.more, f.err = f.Events.Next()
		if f.err != nil || f.event.Number == 0 || f.event.Number > after {
			return
		}
	}
}

// Next returns the next event, and whether further data has already arrived.
func (f *firstRead) Next() (event exchange.Event, more bool, err error) {
	if f.pending {
		f.pending = false
		return f.event, f.more, f.err
	}
	return f.Events.Next()
}
