package serving

import (
	"context"
	"io"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// forwardBuffered reads a stream at the engine's pace and has it delivered to the caller. It returns when the
// stream has ended at the engine: what was read until then is delivered while the request is resumed or
// concluded.
func (j *job) forwardBuffered(ctx context.Context, a exchange.Stream, watch *beginWatch) (retry.Result, error) {
	for {
		event, _, err := a.Events.Next()
		if err == io.EOF {
			err = j.startDelivery(a.Head).failure()
			if err != nil {
				return retry.CallerGone{}, err
			}
			return retry.Completed{Status: a.Head.Status}, nil
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
		d := j.startDelivery(a.Head)
		err = d.push(ctx, event)
		if err != nil && d.failure() != nil {
			return retry.CallerGone{}, err
		}
		if err != nil {
			return retry.Broken{Sent: j.lastSent()}, err
		}
		j.progress.settle(d.lastRead)
	}
}

// startDelivery returns the delivery of the answer, which it starts with the first event. A stream that another
// instance continues keeps its first head.
func (j *job) startDelivery(h exchange.Head) *delivery {
	if j.delivery == nil {
		j.fallback = nil
		j.recordOrigin()
		j.delivery = newDelivery(j, h)
	}
	return j.delivery
}

// finishDelivery waits until the events that were read are delivered, also after the deadline. It returns the
// outcome of the request, which has no answer if they were not.
func (j *job) finishDelivery(o outcome.Outcome) outcome.Outcome {
	d := j.delivery
	if d == nil {
		return o
	}
	endedAt := clock.Now()
	err := d.finish(j.callerCtx)
	j.headSent, j.lastEvent, j.firstByteAt = d.headSent, d.lastEvent, d.firstByteAt
	if err != nil {
		if err != errCallerLeft {
			j.writeError = err
		}
		return outcome.CallerGone
	}
	if _, ok := o.(outcome.Answered); ok {
		j.server.Metrics.delivery.WithLabelValues(j.service).Observe(clock.Since(endedAt).Seconds())
		j.sink.End()
	}
	return o
}
