package serving

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
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
	// originCorrection is what has become known of the origin during the attempt in progress, or nil. It is guarded by the
	// server's mu.
	originCorrection *streamorigin.Origin
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
	// fetchEpochs holds the address and epoch of the store of each fetched part. saveHolder is the holder of the last
	// attempt's saves, or empty, and saveTook how long it took to have them recorded.
	fetchEpochs []string
	saveHolder  string
	saveTook    time.Duration
	// sharedSince is the version since which teams share the cached context that the last attempt may use, or 0
	// if it may use that of its team only.
	sharedSince uint64
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
	if clock.Until(j.deadline) < j.route.Objective/resendDivisor || !j.endsInTime(clock.Now()) {
		return false
	}
	entries := j.server.View().Entries
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.server.window(j.service).Take(clock.Now(), entries)
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
