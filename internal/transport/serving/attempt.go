package serving

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// sentAttempt is an attempt for which a reply has arrived, or which has failed.
type sentAttempt struct {
	sentAt, respondedAt time.Time
	// trackedCtx is canceled when the attempt is given up, and watchedCtx also by watch.
	trackedCtx, watchedCtx context.Context
	watch                  *beginWatch
	// tracked is the attempt as the tracker of instance ends records it.
	tracked ends.Attempt
	reply   exchange.Reply
	// delayed is true if a lost path delayed the reply.
	delayed bool
	// saveHolder is the holder of the attempt's saves, or empty.
	saveHolder string
	// release ends the tracking of the attempt.
	release func()
}

// attempt sends the request and forwards the response. While the instance is silent, it may be sent to another one as
// well, whose response is then forwarded if it comes first.
func (j *job) attempt(ctx context.Context) retry.Result {
	returned := false
	defer func() {
		if !returned {
			j.dropSuccessor(ctx)
		}
	}()
	end := j.finish(ctx, j.send(ctx))
	end = j.followSuccessor(ctx, end)
	returned = true
	return end
}

// send sends the request once and waits for the reply.
func (j *job) send(ctx context.Context) *sentAttempt {
	x := &sentAttempt{sentAt: clock.Now()}
	x.trackedCtx, x.release = j.track(ctx)
	x.watchedCtx, x.watch = x.trackedCtx, &beginWatch{}
	returned := false
	defer func() {
		if !returned {
			j.abandon(x)
		}
	}()
	a := j.newAttempt(x.trackedCtx)
	x.saveHolder, x.sentAt = j.saveHolder, clock.Now()
	x.watchedCtx, x.watch = j.watchBegin(x.trackedCtx, a.Salt)
	x.reply = j.server.Upstreams.Send(x.watchedCtx, a)
	j.via, x.delayed = a.Via, a.Delayed
	x.respondedAt = clock.Now()
	x.tracked = j.trackedAttempt(x.sentAt)
	j.recordResponse(x.reply, x.tracked, x.respondedAt)
	returned = true
	return x
}

// abandon gives back what an attempt holds that panicked.
func (j *job) abandon(x *sentAttempt) {
	x.release()
	x.watch.close()
	j.endSaves(x.saveHolder, nil)
	j.done()
	j.releaseGrant()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	now := clock.Now()
	j.server.balancer.End(j.instance.Incarnation(), balance.Result{Aborted: true}, now)
	j.countEnd(balance.Result{}, x.sentAt, now)
}

// finish forwards the response to an attempt and records its end.
func (j *job) finish(ctx context.Context, x *sentAttempt) retry.Result {
	sentAt, respondedAt, trackedCtx, watch, reply := x.sentAt, x.respondedAt, x.trackedCtx, x.watch, x.reply
	defer x.release()
	defer watch.close()
	defer j.done()
	defer j.releaseGrant()
	tracked := x.tracked
	j.firstEventAt = time.Time{}
	end, err := j.forward(x.watchedCtx, reply, watch)
	j.adoptCorrection()
	tracked.Begun = !j.firstEventAt.IsZero()
	j.recordReading(sentAt)
	expired := canceledByWatch(end, watch)
	if expired != nil {
		err = expired
	}
	gone := superseded(trackedCtx)
	if gone {
		err = errSuperseded
	}
	if cause := context.Cause(trackedCtx); cause == errTakenOver || cause == errOverdue || cause == errStopping {
		err = cause
	}
	if _, whole := end.(retry.Completed); !whole && ctx.Err() == context.Canceled {
		// The connection was closed because the caller disconnected, not by the instance.
		end = retry.CallerGone{}
	}
	if expired == nil {
		j.trackEnd(ctx, tracked, end, err, gone)
	}
	j.endSaves(x.saveHolder, end)
	result := balance.Result{}
	switch end := end.(type) {
	case retry.Completed:
		result.Latency, result.Delayed = respondedAt.Sub(sentAt), x.delayed
		result.Failed = end.Status >= 500
	case retry.Unreached:
		// Without a path, the attempt is no evidence about the instance.
		result.Aborted = end.NoPath
		result.Failed, result.Unreachable, result.TimedOut = true, true, timedOut(reply, err)
	case retry.Refused:
		result.Refused = true
	case retry.Misdirected:
		result.Failed, result.Unreachable = true, true
	case retry.Broken:
		result.Failed, result.TimedOut = true, timedOut(reply, err)
		result.Unreachable = exchange.Excessive(err)
	case retry.CallerGone:
		result.Aborted = true
	}
	if expired != nil || err == errTakenOver {
		// The attempt was canceled on this side and does not count as a failure of the instance.
		result = balance.Result{Aborted: true}
	}
	j.server.mu.Lock()
	j.server.balancer.End(j.instance.Incarnation(), result, clock.Now())
	j.countEnd(result, sentAt, clock.Now())
	j.server.learned.learn(j, end, j.server.View(), clock.Now())
	j.answerAge = j.server.answerAge(j.service, clock.Now())
	if failedByInstance(end, err, gone) {
		j.server.recordFailure(j.instance, j.team.Name, exchange.Excessive(err))
	}
	j.server.mu.Unlock()
	j.lastError = err
	j.server.Metrics.endAttempt(j.service, end, j.condition)
	if reason := exchange.ReasonOf(err); reason != "" {
		j.server.Metrics.brokenResponses.WithLabelValues(j.service, string(reason)).Inc()
	}
	if exchange.Excessive(err) {
		j.server.Metrics.excessive.WithLabelValues(j.service).Inc()
	}
	if _, whole := end.(retry.Completed); !whole || result.Failed {
		j.logAttempt(end, err, respondedAt.Sub(sentAt))
	}
	return end
}

// failedByInstance reports whether a reachable instance failed a request, by a 5xx response, by closing
// the connection, by a malformed response, or by sending without end. A timeout does not count, because the network may have
// caused it.
func failedByInstance(end retry.Result, err error, gone bool) bool {
	switch end := end.(type) {
	case retry.Completed:
		return end.Status >= 500
	case retry.Broken:
		return !gone && (exchange.ConnectionClosed(err) || exchange.Excessive(err) || exchange.ReasonOf(err) != "")
	}
	return false
}

// timedOut reports whether an address sent nothing in time, not even a refused connection. A
// response that was cut off after its head is not a timeout.
func timedOut(reply exchange.Reply, err error) bool {
	switch reply.(type) {
	case exchange.Unreached, exchange.Broken:
	default:
		return false
	}
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// recordResponse records that the instance responded, before the response is complete.
func (j *job) recordResponse(reply exchange.Reply, attempt ends.Attempt, now time.Time) {
	if fromInstance(reply) {
		j.server.Ends.RecordResponse(attempt)
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.server.recordCondition(j.instance, j.request.ID, exchange.ConditionOf(reply), attempt.Sent, now)
	switch reply.(type) {
	case exchange.Unreached, exchange.Broken:
	default:
		j.server.balancer.RecordResponse(j.instance.Incarnation(), now)
		j.server.answeredAt[j.service] = now
	}
}

func (j *job) newAttempt(ctx context.Context) *exchange.Attempt {
	a := &exchange.Attempt{
		Request: j.request, Instance: j.instance, Deadline: j.deadline, Team: j.team.Name, Urgency: j.urgency,
		After: j.lastAccepted(), Resumes: j.request.Resumes || j.begun(), Beside: j.beside,
		AllowsDomain: func(domain string) bool { return j.residency.Allows(domain, j.server.Regions) },
	}
	if p := j.request.Prompt; p != nil {
		j.planContext(ctx, a, p)
		j.weights = j.snapshotWeights(a.Weights)
	}
	return a
}
