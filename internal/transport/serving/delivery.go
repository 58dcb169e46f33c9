package serving

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/buffering"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

const (
	// maxWriteBytes is the most that is written to a caller at once. Each write has a time limit, which a
	// caller that reads slowly would exceed with larger ones.
	maxWriteBytes = 4 << 10
	// eventOverhead is what holding an event takes in addition to its bytes.
	eventOverhead = 64
	// pauseRetryInterval is how often a paused answer requests room that other answers have left.
	pauseRetryInterval = 250 * time.Millisecond
	// loggedPause is the shortest pause that is logged.
	loggedPause = time.Second
)

// Reasons why an answer cannot be delivered. A failed write has an error of its own.
var (
	errNotTaken   = errors.New("the caller took nothing, and others needed the memory that its answer held")
	errCallerLeft = errors.New("the caller has left")
	errPanicked   = errors.New("the delivery of the answer panicked")
)

// delivery writes a streamed answer to its caller while the answer is read from an engine. It lasts for the
// whole request, also if several attempts continue one another. Its goroutine is the only user of the sink
// until finish returns.
type delivery struct {
	buffers *buffers
	id      buffering.ID
	// request and service are logged.
	request, service string
	urgency          int
	sink             Sink
	head             exchange.Head
	// stop ends the attempt in progress once the answer cannot be delivered any more.
	stop func()
	// wake holds a token when the writer has something to do, and progress when it has written something.
	wake, progress chan struct{}
	// done is closed when the writer has ended.
	done chan struct{}
	// lastRead is the number of the last event that was read from an engine and accepted for delivery.
	// pausedSince is when the engine was first read at the caller's pace, or zero while there is room.
	// Only the reader uses both.
	lastRead    uint64
	pausedSince time.Time
	// writeError is why a write failed, or nil. It is set before done is closed, and read afterwards.
	writeError error

	mu sync.Mutex
	// The fields below are guarded by mu. queue holds the events that are not being written, in order, and
	// is empty once err is set.
	queue   []queuedEvent
	writing bool
	// closed is true when no more events follow, and delivered once all of them have been written.
	closed, delivered bool
	// err is why the answer cannot be delivered any more. It is nil if delivered is true.
	err error
	// headSent, lastEvent and firstByteAt describe what was written, as the fields of job do.
	headSent    bool
	lastEvent   uint64
	firstByteAt time.Time
}

// queuedEvent is an event to be written. held is what the budget counts for it; it is 0 for an event that
// still belongs to the reader.
type queuedEvent struct {
	number uint64
	raw    []byte
	held   int
}

// newDelivery starts the delivery of the answer to a job's request.
func newDelivery(j *job, head exchange.Head) *delivery {
	d := &delivery{
		buffers: j.server.buffers, request: j.request.ID, service: j.service, urgency: j.urgency, sink: j.sink, head: head, stop: j.stop,
		wake: make(chan struct{}, 1), progress: make(chan struct{}, 1), done: make(chan struct{}), lastRead: j.lastEvent, lastEvent: j.lastEvent,
	}
	d.id = d.buffers.add(d)
	go func() {
		defer close(d.done)
		defer d.recoverPanic()
		err := d.begin()
		for err == nil {
			batch := d.next()
			if batch == nil {
				return
			}
			err = d.write(batch)
		}
		held, _ := d.fail(err)
		d.writeError = err
		var network net.Error
		if errors.As(err, &network) && network.Timeout() && d.failure() != errNotTaken {
			d.logBreakOff(held, err)
		}
	}()
	return d
}

// recoverPanic ends the delivery if its goroutine panicked. It must be deferred.
func (d *delivery) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	d.buffers.metrics.CountPanic()
	httpserve.LogPanic(d.buffers.log, cause, d.request, "connection_closed")
	d.fail(errPanicked)
}

// signal leaves a token in a channel.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (d *delivery) begin() error {
	d.mu.Lock()
	d.headSent = true
	d.firstByteAt = clock.Now()
	d.mu.Unlock()
	return d.sink.Begin(d.head)
}

// next waits for events and removes as many from the queue as are written at once: at least one. It returns
// nil when there is nothing more to write.
func (d *delivery) next() []queuedEvent {
	for {
		d.mu.Lock()
		n, size := 0, 0
		for n < len(d.queue) && (n == 0 || size+len(d.queue[n].raw) <= maxWriteBytes) {
			size += len(d.queue[n].raw)
			n++
		}
		batch := d.queue[:n:n]
		d.queue = d.queue[n:]
		d.writing = n > 0
		d.delivered = n == 0 && d.closed && d.err == nil
		ended := d.delivered || d.err != nil
		d.mu.Unlock()
		if n > 0 {
			return batch
		}
		if ended {
			return nil
		}
		<-d.wake
	}
}

// write writes events to the caller, at most maxWriteBytes at once.
func (d *delivery) write(batch []queuedEvent) error {
	raw, held := batch[0].raw, batch[0].held
	if len(batch) > 1 {
		raw = make([]byte, 0, maxWriteBytes)
		held = 0
		for _, e := range batch {
			raw = append(raw, e.raw...)
			held += e.held
		}
	}
	for len(raw) > maxWriteBytes {
		err := d.sink.Event(raw[:maxWriteBytes], false)
		if err != nil {
			return err
		}
		raw = raw[maxWriteBytes:]
		d.release(min(held, maxWriteBytes))
		held -= min(held, maxWriteBytes)
	}
	err := d.sink.Event(raw, false)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.writing = false
	d.lastEvent = max(d.lastEvent, batch[len(batch)-1].number)
	d.mu.Unlock()
	// The events' memory is not referred to any more when the budget counts it as free.
	clear(batch)
	d.release(held)
	signal(d.progress)
	return nil
}

// release records that the caller took bytes that the budget counts.
func (d *delivery) release(held int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.buffers.delivered(d.id, held)
	}
}

// fail ends the delivery and drops what was not written. It returns how many bytes the answer held, and false
// if the delivery had already ended.
func (d *delivery) fail(err error) (held int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil || d.delivered {
		return 0, false
	}
	d.err = err
	d.queue = nil
	held = d.buffers.end(d.id)
	signal(d.wake)
	signal(d.progress)
	d.stop()
	return held, true
}

// failure returns why the answer cannot be delivered any more, or nil.
func (d *delivery) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// push accepts an event for delivery. It waits while there is no room for the event, and returns an error if the
// event was not accepted because ctx ended or the answer cannot be delivered any more.
func (d *delivery) push(ctx context.Context, e exchange.Event) error {
	accepted, err := d.offer(e)
	if accepted {
		d.endPause()
	}
	if accepted || err != nil {
		return err
	}
	if d.pausedSince.IsZero() {
		d.pausedSince = clock.Now()
		d.buffers.metrics.pauses.WithLabelValues(d.service).Inc()
	}
	for {
		if d.idle() {
			return d.pass(ctx, e)
		}
		retry := time.NewTimer(pauseRetryInterval)
		select {
		case <-d.progress:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		}
		retry.Stop()
		accepted, err = d.offer(e)
		if accepted || err != nil {
			return err
		}
	}
}

// offer queues a copy of an event if there is room for it.
func (d *delivery) offer(e exchange.Event) (accepted bool, err error) {
	var breakOff []buffering.ID
	d.mu.Lock()
	defer func() {
		d.mu.Unlock()
		d.buffers.breakOff(breakOff)
	}()
	if d.err != nil {
		return false, d.err
	}
	held := len(e.Raw) + eventOverhead
	switch verdict := d.buffers.take(d.id, d.urgency, held).(type) {
	case buffering.Hold:
		d.enqueue(queuedEvent{number: e.Number, raw: append([]byte(nil), e.Raw...), held: held})
		return true, nil
	case buffering.Pause:
		breakOff = verdict.BreakOff
		return false, nil
	}
	panic("serving: verdict outside the sealed set")
}

// enqueue appends an event. mu must be held.
func (d *delivery) enqueue(e queuedEvent) {
	d.queue = append(d.queue, e)
	d.lastRead = max(d.lastRead, e.number)
	signal(d.wake)
}

// idle reports whether everything that was queued has been written.
func (d *delivery) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err == nil && len(d.queue) == 0 && !d.writing
}

// pass has an event written while nothing else is queued, and waits for that. It needs no room in the budget, as
// the event stays with the reader. The event is accepted even if ctx ends before it is written: the reader
// then reads no further event into the same memory.
func (d *delivery) pass(ctx context.Context, e exchange.Event) error {
	d.mu.Lock()
	d.enqueue(queuedEvent{number: e.Number, raw: e.Raw})
	d.mu.Unlock()
	for !d.idle() {
		if err := d.failure(); err != nil {
			return err
		}
		select {
		case <-d.progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// finish waits until everything that was accepted has been written, or until the caller has left, which ends
// callerCtx. It returns why the answer was not delivered, or nil.
func (d *delivery) finish(callerCtx context.Context) error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	signal(d.wake)
	select {
	case <-d.done:
	case <-callerCtx.Done():
		d.fail(errCallerLeft)
		<-d.done
	}
	d.endPause()
	d.buffers.remove(d.id)
	err := d.failure()
	// A failed write ends callerCtx as well.
	if err == errCallerLeft && d.writeError != nil {
		return d.writeError
	}
	return err
}

// endPause ends a pause, if there is one, and logs a long one.
func (d *delivery) endPause() {
	since := d.pausedSince
	d.pausedSince = time.Time{}
	took := clock.Since(since)
	if since.IsZero() || took < loggedPause {
		return
	}
	d.buffers.log.Info().Str("event", "answer_paused").Str("request", d.request).Str("service", d.service).Int("urgency", d.urgency).
		Dur("took_ms", took).Msg("")
}

// logBreakOff logs and counts an answer that was broken off because its caller took nothing for too long.
func (d *delivery) logBreakOff(held int, err error) {
	d.buffers.metrics.breakOffs.WithLabelValues(d.service).Inc()
	d.buffers.log.Warn().Str("event", "answer_broken_off").Str("request", d.request).Str("service", d.service).Int("urgency", d.urgency).
		Int("bytes", held).Str("error", err.Error()).Msg("")
}
