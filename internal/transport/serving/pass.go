package serving

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// errOutOfOrder reports that an event number is not the previous one plus 1.
var errOutOfOrder = errors.New("event number does not follow the previous one")

// forward converts a reply into the result of an attempt, and forwards the response to the caller if
// it is one that the caller may see. The first event of a stream stops the watch. ctx is the attempt's.
func (j *job) forward(ctx context.Context, reply exchange.Reply, watch *beginWatch) (retry.Result, error) {
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{NoPath: reply.NoPath}, reply.Err
	case exchange.NotRun:
		if reply.Misdirected {
			return retry.Misdirected{}, errors.New("misdirected: another instance has the address, or its weights changed")
		}
		return retry.Refused{}, errors.Errorf("instance refused the request with status %d", reply.Status)
	case exchange.Broken:
		return retry.Broken{Sent: j.lastSent()}, reply.Err
	case exchange.Whole:
		return j.forwardWhole(reply)
	case exchange.Stream:
		defer reply.Events.Close()
		if j.buffered {
			return j.forwardBuffered(ctx, reply, watch)
		}
		return j.forwardStream(reply, watch)
	}
	panic("serving: reply outside the sealed set")
}

// begun reports whether a stream has begun for the caller.
func (j *job) begun() bool { return j.headSent || j.delivery != nil }

// lastAccepted returns the number of the last event that the caller has or will be sent.
func (j *job) lastAccepted() uint64 {
	if j.delivery != nil {
		return j.delivery.lastRead
	}
	return j.lastEvent
}

// lastSent returns the number of the last event that this process sent to the caller, or will send, or 0.
func (j *job) lastSent() uint64 {
	if !j.begun() {
		return 0
	}
	return j.lastAccepted()
}

func (j *job) forwardWhole(a exchange.Whole) (retry.Result, error) {
	if j.begun() {
		// The response that was to continue the stream is not a stream.
		return retry.Broken{Sent: j.lastSent()}, errors.Errorf("expected the rest of the stream, got a response with status %d", a.Head.Status)
	}
	if a.Head.Status >= 500 && j.attempts.Idempotent {
		j.fallback = &a
		return retry.Completed{Status: a.Head.Status}, nil
	}
	j.fallback = nil
	j.firstByteAt = clock.Now()
	err := j.sink.Answer(a)
	if err != nil {
		j.writeError = err
		return retry.CallerGone{}, err
	}
	return retry.Completed{Status: a.Head.Status}, nil
}

func (j *job) forwardStream(a exchange.Stream, watch *beginWatch) (retry.Result, error) {
	for {
		event, more, err := a.Events.Next()
		if err == io.EOF {
			return j.endStream(a.Head), nil
		}
		if err != nil {
			return retry.Broken{Sent: j.lastSent()}, err
		}
		watch.begun()
		if !j.recordEvent() {
			return retry.Broken{Sent: j.lastSent()}, errTakenOver
		}
		repeated, err := j.checkOrder(event)
		if err != nil {
			return retry.Broken{Sent: j.lastSent()}, err
		}
		if repeated {
			j.progress.settle(j.lastAccepted())
			continue
		}
		err = j.beginStream(a.Head)
		if err == nil {
			err = j.sink.Event(event.Raw, more)
		}
		if err != nil {
			j.writeError = err
			return retry.CallerGone{}, err
		}
		j.lastEvent = max(j.lastEvent, event.Number)
		j.progress.settle(j.lastEvent)
	}
}

// checkOrder returns an error unless an event follows the last one that was accepted. repeated is true if it was
// accepted before: a resumed run may repeat events.
func (j *job) checkOrder(event exchange.Event) (repeated bool, err error) {
	last := j.lastAccepted()
	switch {
	case event.Number > 0 && event.Number <= last:
		if j.begun() {
			return true, nil
		}
		return false, errOutOfOrder
	case event.Number > last+1 && (last > 0 || j.begun()):
		return false, errOutOfOrder
	}
	return false, nil
}

// beginStream forwards the head before the first event. A stream that another instance
// continues keeps its first head.
func (j *job) beginStream(h exchange.Head) error {
	if j.headSent {
		return nil
	}
	j.fallback = nil
	j.recordOrigin()
	j.headSent = true
	j.firstByteAt = clock.Now()
	return j.sink.Begin(h)
}

func (j *job) endStream(h exchange.Head) retry.Result {
	err := j.beginStream(h)
	if err != nil {
		j.writeError = err
		return retry.CallerGone{}
	}
	j.sink.End()
	return retry.Completed{Status: h.Status}
}
