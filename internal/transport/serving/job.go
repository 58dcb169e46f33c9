package serving

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

const (
	// resendDivisor sets the time that must remain until the deadline for a request to be sent again:
	// the route's objective divided by this. With less, an instance cannot respond in time.
	resendDivisor = 10
	// notReadyRetryAfter is the Retry-After of a process that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
)

// job is the state of one request while it is served.
type job struct {
	server  *Server
	request *exchange.Request
	sink    Sink

	// digest identifies all identical requests. quarantined is the quarantine state of the digest
	// when the last attempt was permitted or held, and done must be called when a permitted attempt
	// has ended.
	digest quarantine.Digest
	// parts are the digests of the shared parts of its prompt.
	parts       []quarantine.Digest
	quarantined quarantine.RequestStatus
	// heldPart is the part of the prompt that quarantined is about, or empty if it is about the request.
	heldPart string
	done     func()

	version        uint64
	route          deployment.Route
	team           deployment.Team
	residency      residency.Policy
	service        string
	urgency        int
	deadline       time.Time
	attempts       retry.RequestAttempts
	triedInstances []registry.Incarnation
	// instance is the instance of the current attempt, and attemptNumber counts the attempts.
	instance      registry.Instance
	attemptNumber int
	// origin is where the stream began, if it has begun.
	origin streamOrigin
	// headSent is true once the head of a stream was forwarded, and lastEvent is the number of
	// the last event that was forwarded.
	headSent  bool
	lastEvent uint64
	// firstByteAt is when the first byte was sent to the caller.
	firstByteAt time.Time
	// buffered is true if answers are read from engines ahead of the caller. Then delivery is set once the
	// first event was read, and the three fields above are set when the delivery has ended.
	buffered bool
	delivery *delivery
	// callerCtx ends when the caller leaves, and stop ends the attempt in progress.
	callerCtx context.Context
	stop      func()
	// fetchParts and saveParts count the prompt parts for which the last attempt named a store.
	fetchParts, saveParts int
	// computed is the number of prompt tokens that the engine of the last attempt computes, and waiting
	// the length of its queue if it was known.
	computed, waiting int
	// firstEventAt is when the first event of the last attempt was read, or zero.
	firstEventAt time.Time
	// memory is the free memory of the last attempt's engine if it was known, or, if the request was
	// refused for lack of memory, of all engines with room.
	memory freeMemory
	// consultation is what the leader's arbiter said about the last attempt.
	consultation consultation
	// condition is what the last attempt's instance had reported about itself.
	condition conditionSnapshot
	// weights is the state by which the weight version of the last attempt was chosen.
	weights weightsSnapshot
	// via is the address of the entry through which the last attempt was sent, or empty.
	via string
	// answerAge is how long ago any instance of the service had answered when the last attempt ended, or negative
	// if none ever has.
	answerAge time.Duration
	// progress tells what the attempt in progress has received, for a successor.
	progress progress
	// hadSuccessor is true once the request was sent to another instance because one was silent, and successor is that
	// attempt until it is followed or dropped. Both are guarded by the server's mu.
	hadSuccessor bool
	successor    *successor
	// beside is true for the job of a successor's attempt.
	beside bool
	// full is true if the last choice found no instance with room, and waited is how long the request has waited for some.
	full   bool
	waited time.Duration
	// counted is true while the backlog counts the attempt in progress.
	counted bool
	// lastError is why the last attempt gave no whole response, or nil.
	lastError error
	// writeError is why a write to the caller failed, or nil.
	writeError error
	// fallback is a 5xx response of an instance, sent to the caller if no later attempt succeeds.
	fallback *exchange.Whole
}

// admit finds the route, the team and the service. It returns false if it has already refused the
// request.
func (j *job) admit(ctx context.Context) bool {
	r := j.request
	if r.Left {
		j.refuse(outcome.NotRun{Reason: outcome.ReasonCallerLeft})
		return false
	}
	config := j.awaitConfig(ctx)
	if ctx.Err() != nil {
		j.refuse(outcome.NotRun{Reason: outcome.ReasonCallerLeft})
		return false
	}
	if config == nil {
		j.refuse(outcome.NotRun{RetryAfter: notReadyRetryAfter, Reason: outcome.ReasonNotReady})
		return false
	}
	j.version = config.Version
	var ok bool
	j.route, ok = config.Route(r.Host, r.Path)
	if !ok {
		return j.deny(NoRoute)
	}
	if config.HasTeams() {
		j.team, ok = config.TeamByKey(r.Key)
		if !ok && !j.route.Public {
			return j.deny(NoTeam)
		}
	}
	if config.Limits.BodyBytes > 0 && len(r.Body) > config.Limits.BodyBytes {
		return j.deny(BodyTooLarge)
	}
	j.residency = j.route.Residency(j.team)
	j.setDigest()
	j.urgency = config.Urgency(j.team, j.route)
	j.service = j.route.Service(rand.Float64())
	if o := j.resolveOrigin(ctx); o != nil {
		j.refuse(o)
		return false
	}
	j.buffered = j.server.buffers != nil && config.Tiered(j.service)
	j.deadline = r.Arrived.Add(min(j.route.Timeout, r.MaxWait()))
	j.attempts = retry.RequestAttempts{MaxAttempts: max(1, j.route.Attempts), Idempotent: j.route.AllowsRetries(), Streamed: j.route.Kind == deployment.Stream}
	j.lastEvent = r.After
	j.progress.settle(r.After)
	j.server.mu.Lock()
	j.server.window(j.service).CountRequest(clock.Now())
	j.server.mu.Unlock()
	j.awaitStores(ctx)
	return true
}

func (j *job) deny(d Denial) bool {
	j.line(d.String()).Str("host", j.request.Host).Str("path", j.request.Path).Msg("")
	j.sink.Deny(d)
	return false
}

// run sends attempts until the request has an outcome.
func (j *job) run(ctx context.Context) {
	var step retry.Step = retry.Dispatch{}
	for {
		var end retry.Result
		switch next := step.(type) {
		case retry.Dispatch, retry.Resume:
			if ctx.Err() == context.Canceled {
				j.conclude(outcome.CallerGone)
				return
			}
			if o := j.place(ctx); o != nil {
				j.conclude(o)
				return
			}
			end = j.attempt(ctx)
		case retry.Stop:
			j.conclude(j.withReturnTime(next.Outcome))
			return
		}
		step = j.attempts.Next(end, j.mayResend)
	}
}

// mayResend takes one resend from the allowance that all entries share, if there is time for it.
func (j *job) mayResend() bool {
	if clock.Until(j.deadline) < j.route.Objective/resendDivisor {
		return false
	}
	entries := j.server.View().Entries
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.server.window(j.service).Take(clock.Now(), entries)
}

// sentAttempt is an attempt for which a reply has arrived, or which has failed.
type sentAttempt struct {
	sentAt, respondedAt time.Time
	// trackedCtx is canceled when the attempt is given up, and watchedCtx also by watch.
	trackedCtx, watchedCtx context.Context
	watch                  *weightsWatch
	// tracked is the attempt as the tracker of instance ends records it.
	tracked ends.Attempt
	reply   exchange.Reply
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
	x.watchedCtx, x.watch = j.watchWeights(x.trackedCtx)
	returned := false
	defer func() {
		if !returned {
			j.abandon(x)
		}
	}()
	a := j.newAttempt()
	x.reply = j.server.Upstreams.Send(x.watchedCtx, a)
	j.via = a.Via
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
	j.done()
	j.releaseGrant()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	now := clock.Now()
	j.server.balancer.End(j.instance.Incarnation(), balance.Result{Aborted: true}, now)
	j.countEnd(0, x.sentAt, now)
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
	tracked.Begun = !j.firstEventAt.IsZero()
	j.recordReading(sentAt)
	if canceledByWatch(end, watch) {
		err = errWeightsExpired
	}
	gone := superseded(trackedCtx)
	if gone {
		err = errSuperseded
	}
	if cause := context.Cause(trackedCtx); cause == errTakenOver || cause == errOverdue {
		err = cause
	}
	if _, whole := end.(retry.Completed); !whole && ctx.Err() == context.Canceled {
		// The connection was closed because the caller disconnected, not by the instance.
		end = retry.CallerGone{}
	}
	if !canceledByWatch(end, watch) {
		j.trackEnd(ctx, tracked, end, err, gone)
	}
	result := balance.Result{}
	switch end := end.(type) {
	case retry.Completed:
		result.Latency = respondedAt.Sub(sentAt)
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
	case retry.CallerGone:
		result.Aborted = true
	}
	if canceledByWatch(end, watch) || err == errTakenOver {
		// The attempt was canceled on this side and does not count as a failure of the instance.
		result = balance.Result{Aborted: true}
	}
	j.server.mu.Lock()
	j.server.balancer.End(j.instance.Incarnation(), result, clock.Now())
	j.countEnd(result.Latency, sentAt, clock.Now())
	j.server.learned.learn(j, end, j.server.View(), clock.Now())
	j.answerAge = j.server.answerAge(j.service, clock.Now())
	if failedByInstance(end, err, gone) {
		j.server.recordFailure(j.instance, j.team.Name)
	}
	j.server.mu.Unlock()
	j.lastError = err
	j.server.Metrics.endAttempt(j.service, end, j.condition)
	if _, whole := end.(retry.Completed); !whole || result.Failed {
		j.logAttempt(end, err, respondedAt.Sub(sentAt))
	}
	return end
}

// failedByInstance reports whether a reachable instance failed a request, by a 5xx response or by
// closing the connection. A timeout does not count, because the network may have caused it.
func failedByInstance(end retry.Result, err error, gone bool) bool {
	switch end := end.(type) {
	case retry.Completed:
		return end.Status >= 500
	case retry.Broken:
		return !gone && exchange.ConnectionClosed(err)
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

func (j *job) newAttempt() *exchange.Attempt {
	a := &exchange.Attempt{
		Request: j.request, Instance: j.instance, Deadline: j.deadline, Team: j.team.Name, Urgency: j.urgency,
		After: j.lastAccepted(), Resumes: j.request.Resumes || j.begun(), Beside: j.beside,
		AllowsDomain: func(domain string) bool { return j.residency.Allows(domain, j.server.Regions) },
	}
	if p := j.request.Prompt; p != nil {
		j.planContext(a, p)
		j.weights = j.snapshotWeights(a.Weights)
	}
	return a
}

// conclude ends the request with an outcome, after all events that were read have been written. Unless the
// response has been forwarded completely, it sends the fallback response, breaks the stream or refuses the request.
func (j *job) conclude(o outcome.Outcome) {
	o = j.finishDelivery(o)
	if _, answered := o.(outcome.Answered); answered && j.fallback == nil {
		j.logOutcome(o)
		return
	}
	if j.fallback != nil && !j.headSent {
		answer := *j.fallback
		j.firstByteAt = clock.Now()
		err := j.sink.Answer(answer)
		if err == nil {
			j.logOutcome(outcome.Answered{Status: answer.Head.Status})
			return
		}
		j.writeError = err
		o = outcome.CallerGone
	}
	if j.headSent || j.writeError != nil {
		j.logBroken(o)
		j.logOutcome(o)
		j.sink.Break()
		return
	}
	j.refuse(o)
}

// refuse ends a request for which there is no response of an instance.
func (j *job) refuse(o outcome.Outcome) {
	j.logOutcome(o)
	j.sink.Refuse(o)
}
