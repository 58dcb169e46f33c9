package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// cancelTimeout bounds the request that cancels an abandoned run.
const cancelTimeout = 2 * time.Second

// job is one admitted prompt.
type job struct {
	// request is the caller's request, and text is the prompt in the form that block
	// keys are computed from.
	request *exchange.Request
	team    string
	model   declared.Model
	text    []byte
	// digest is the same for all identical requests of the team.
	digest quarantine.Digest
	// version is the weight version that the prompt runs under; salt and keys are
	// derived from it.
	version string
	salt    string
	keys    []prefix.Key
	tried   []int
	retry   retry.PromptAttempts
	// plan, runID, attempt and startedAt belong to the current attempt.
	plan      placement.Plan
	runID     string
	attempt   int
	startedAt time.Time
	// pendingPrefill is how many prompt tokens the upstream has yet to process before
	// the first token. It is guarded by Entry.mu.
	pendingPrefill int
	// lastActivity is when the upstream last sent data for this attempt, in Unix
	// nanoseconds.
	lastActivity atomic.Int64
}

// runPrompt makes attempts until the prompt has a final outcome.
func (e *Entry) runPrompt(w http.ResponseWriter, r *http.Request, c caller, j *job) {
	s := &responder{w: w, team: c.team.Name(), sealer: e.sealer, reqMetrics: c.reqMetrics}
	s.onFirstEvent = func() { e.recordFirstToken(j) }
	var step retry.Step = retry.Dispatch{}
	for {
		var end retry.Result
		switch next := step.(type) {
		case retry.Dispatch:
			e.setVersion(c, j)
			denied, release := e.permit(j.digest)
			if denied != nil {
				step = retry.Stop{Outcome: j.retry.Reject(denied.retryAfter, denied.reason)}
				continue
			}
			if !e.place(r.Context(), j) {
				release()
				step = retry.Stop{Outcome: e.noUpstreamOutcome(j)}
				continue
			}
			ctx, done := e.attemptContext(r.Context(), j)
			end = e.dispatch(ctx, c, j, s)
			done()
			release()
		case retry.Resume:
			ctx, done := e.attemptContext(r.Context(), j)
			end = e.resumeRun(ctx, j, s, next.Offset)
			done()
		case retry.Stop:
			e.finishPrompt(c, j, s, next.Outcome)
			return
		default:
			panic("entry: unexpected retry step")
		}
		if r.Context().Err() != nil && !isCompleted(end) {
			end = retry.CallerGone{}
		}
		step = e.finishAttempt(r.Context(), c, j, end)
	}
}

// attemptContext returns a context for one attempt that is also cancelled when the
// upstream stops responding: a hung engine keeps its connections open indefinitely.
func (e *Entry) attemptContext(ctx context.Context, j *job) (attempt context.Context, done func()) {
	attempt, cancel := context.WithCancel(ctx)
	j.lastActivity.Store(clock.Now().UnixNano())
	n := j.plan.Upstream
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeAttempts[n] == nil {
		e.activeAttempts[n] = map[*job]context.CancelFunc{}
	}
	e.activeAttempts[n][j] = cancel
	return attempt, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.activeAttempts[n], j)
	}
}

func isCompleted(end retry.Result) bool {
	_, ok := end.(retry.Completed)
	return ok
}

// setVersion selects the weight version for the next attempt. Attempts may use
// different versions, because a new one starts only while no part of a response has
// been forwarded.
func (e *Entry) setVersion(c caller, j *job) {
	e.mu.Lock()
	version := e.planner.ServingVersion(j.model, j.tried, clock.Now())
	e.mu.Unlock()
	if version == j.version {
		return
	}
	j.version = version
	j.salt = prefix.NewSalt(e.Secrets[0], c.team.Name(), j.model.Name(), version).String()
	j.keys = prefix.Chain(j.salt, j.text)
}

// place chooses the upstream for the next attempt; it reports false when there is none.
func (e *Entry) place(ctx context.Context, j *job) bool {
	var hints *placement.Hints
	if e.Peers != nil {
		hints = e.Peers.Hints(ctx, j.keys)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	plan, ok := e.planner.Place(j.placementPrompt(hints), clock.Now())
	if !ok {
		return false
	}
	j.plan = plan
	j.tried = append(j.tried, plan.Upstream)
	e.planner.Upstream(plan.Upstream).Begin(plan.Recompute)
	j.pendingPrefill = plan.Recompute
	return true
}

// placementPrompt returns the job as input for placement.
func (j *job) placementPrompt(hints *placement.Hints) placement.Prompt {
	return placement.Prompt{Model: j.model, Version: j.version, Keys: j.keys, Tokens: j.request.Prompt.Tokens, Tried: j.tried, Hints: hints}
}

// noUpstreamOutcome returns the outcome of a prompt that no upstream can accept now.
func (e *Entry) noUpstreamOutcome(j *job) outcome.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if remaining, ok := e.planner.BackoffRemaining(j.placementPrompt(nil), clock.Now()); ok {
		return j.retry.Reject(remaining, outcome.ReasonResting)
	}
	return j.retry.GiveUp(outcome.ReasonNoUpstream)
}

// finishAttempt records how an attempt ended and decides what follows.
func (e *Entry) finishAttempt(ctx context.Context, c caller, j *job, end retry.Result) retry.Step {
	e.metrics.attempts.WithLabelValues(j.plan.Name, retry.Label(end)).Inc()
	e.trackAttemptEnd(ctx, c, j, end)
	e.mu.Lock()
	step := j.retry.Next(end, j.request.Streamed, e.budget)
	u := e.planner.Upstream(j.plan.Upstream)
	now := clock.Now()
	switch end := end.(type) {
	case retry.Completed:
		u.NoteSuccess()
	case retry.Unreached:
		if !end.NoPath {
			u.NoteFailure(now)
		}
	case retry.Broken:
		u.NoteFailure(now)
	}
	_, resumed := step.(retry.Resume)
	if !resumed {
		u.FirstToken(j.pendingPrefill)
		j.pendingPrefill = 0
		u.End(slotTime(end, j, now))
	}
	e.mu.Unlock()
	e.Log.Info().Str("event", "attempt").Str("request", c.requestID).Str("run", j.runID).Str("upstream", j.plan.Name).Str("end", retry.Label(end)).
		Str("digest", j.digest.String()).Bool("fetched", j.plan.Fetch).Int("expected_recompute", j.plan.Recompute).Dur("estimate_ms", j.plan.Estimate).Msg("")
	if !resumed && mayStillRun(end) {
		e.cancelRun(context.WithoutCancel(ctx), j)
	}
	if isCompleted(end) {
		e.retainContext(j)
	}
	return step
}

// recordFirstToken records that the upstream has processed the prompt of an attempt.
func (e *Entry) recordFirstToken(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.planner.Upstream(j.plan.Upstream).FirstToken(j.pendingPrefill)
	j.pendingPrefill = 0
}

// slotTime returns how long an attempt occupied a slot, or 0 if it did not complete.
func slotTime(end retry.Result, j *job, now time.Time) time.Duration {
	if isCompleted(end) {
		return now.Sub(j.startedAt)
	}
	return 0
}

// mayStillRun reports whether the engine may still be running an attempt that nobody
// waits for.
func mayStillRun(end retry.Result) bool {
	switch end.(type) {
	case retry.Broken, retry.CallerGone:
		return true
	}
	return false
}

// finishPrompt records the final outcome, and writes it to the caller unless a response
// was forwarded.
func (e *Entry) finishPrompt(c caller, j *job, s *responder, o outcome.Outcome) {
	c.reqMetrics.countOutcome(o)
	e.logOutcome(c, o, j.retry.Attempts())
	if _, ok := o.(outcome.Answered); ok {
		return
	}
	e.recordIfBroken(c, o, s, j, j.retry.Attempts())
	s.writeFailure(o)
}

// cancelRun asks an engine to cancel a run, in the background.
func (e *Entry) cancelRun(ctx context.Context, j *job) {
	cancellation := &exchange.Attempt{
		Request: &exchange.Request{ID: j.request.ID, Method: http.MethodDelete, Target: engine.PathRuns + j.runID}, Instance: j.instance(), Run: j.runID, Number: j.attempt,
	}
	if !e.background.tryAdd() {
		return
	}
	go func() {
		defer e.background.done()
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		// Without an answer, the run ends by itself.
		_ = e.detours.Send(ctx, cancellation)
	}()
}

// instance returns the upstream of the current attempt.
func (j *job) instance() registry.Instance {
	return registry.Instance{ID: j.plan.Name, Service: modelGroup + j.model.Name(), Address: j.plan.Address}
}
