package entry

import (
	"context"
	"io"
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
)

// cancelTimeout bounds the request that ends a run nobody waits for.
const cancelTimeout = 2 * time.Second

// job is one admitted prompt.
type job struct {
	// request is what the caller sent, and text the prompt in the form that keys are made of.
	request *exchange.Request
	team    string
	model   declared.Model
	text    []byte
	// digest names all requests that are the same.
	digest quarantine.Digest
	// version is the weight version under which the prompt runs; salt and keys
	// follow from it.
	version string
	salt    string
	keys    []prefix.Key
	tried   []int
	retry   retry.PromptAttempts
	// plan and run are those of the present attempt.
	plan    placement.Plan
	run     string
	attempt int
	began   time.Time
	// reading is how many tokens the upstream has yet to compute before the first
	// token; it is guarded by the entry's mu.
	reading int
	// heard is when the upstream last sent a word of this attempt, in nanoseconds
	// since 1970.
	heard atomic.Int64
}

// run makes attempts until the prompt has its final outcome.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, c caller, j *job) {
	s := &sink{w: w, team: c.team.Name(), sealer: e.sealer, flow: c.flow}
	s.onFirst = func() { e.noteFirstToken(j) }
	var step retry.Step = retry.Dispatch{}
	for {
		var end retry.Result
		switch next := step.(type) {
		case retry.Dispatch:
			e.setVersion(c, j)
			no, permitted := e.permit(j.digest)
			if no != nil {
				step = retry.Stop{Outcome: j.retry.Reject(no.after, no.reason)}
				continue
			}
			if !e.place(r.Context(), j) {
				permitted()
				step = retry.Stop{Outcome: e.noUpstream(j)}
				continue
			}
			ctx, done := e.watched(r.Context(), j)
			end = e.dispatch(ctx, c, j, s)
			done()
			permitted()
		case retry.Resume:
			ctx, done := e.watched(r.Context(), j)
			end = e.pickUp(ctx, j, s, next.Offset)
			done()
		case retry.Stop:
			e.conclude(c, j, s, next.Outcome)
			return
		default:
			panic("entry: step outside the sealed set")
		}
		if r.Context().Err() != nil && !isWhole(end) {
			end = retry.CallerGone{}
		}
		step = e.after(r.Context(), c, j, end)
	}
}

// watched returns a context for one attempt that also ends when its upstream falls
// silent: an engine that is frozen keeps its connections open for ever.
func (e *Entry) watched(ctx context.Context, j *job) (attempt context.Context, done func()) {
	attempt, cancel := context.WithCancel(ctx)
	j.heard.Store(clock.Now().UnixNano())
	n := j.plan.Upstream
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[n] == nil {
		e.active[n] = map[*job]context.CancelFunc{}
	}
	e.active[n][j] = cancel
	return attempt, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.active[n], j)
	}
}

func isWhole(end retry.Result) bool {
	_, ok := end.(retry.Completed)
	return ok
}

// setVersion picks the weight version for the next attempt. An attempt starts only
// while nothing of an answer was passed on, so two attempts may differ in it.
func (e *Entry) setVersion(c caller, j *job) {
	e.mu.Lock()
	version := e.board.ServingVersion(j.model, j.tried, clock.Now())
	e.mu.Unlock()
	if version == j.version {
		return
	}
	j.version = version
	j.salt = prefix.NewSalt(e.Secrets[0], c.team.Name(), j.model.Name(), version).String()
	j.keys = prefix.Chain(j.salt, j.text)
}

// place plans the next attempt.
func (e *Entry) place(ctx context.Context, j *job) bool {
	var hints *placement.Hints
	if e.Peers != nil {
		hints = e.Peers.Hints(ctx, j.keys)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	plan, ok := e.board.Place(j.prompt(hints), clock.Now())
	if !ok {
		return false
	}
	j.plan = plan
	j.tried = append(j.tried, plan.Upstream)
	e.board.Upstream(plan.Upstream).Begin(plan.Recompute)
	j.reading = plan.Recompute
	return true
}

// prompt is the job as it is placed.
func (j *job) prompt(hints *placement.Hints) placement.Prompt {
	return placement.Prompt{Model: j.model, Version: j.version, Keys: j.keys, Tokens: j.request.Prompt.Tokens, Tried: j.tried, Hints: hints}
}

// noUpstream is the outcome of a prompt that no upstream may run now.
func (e *Entry) noUpstream(j *job) outcome.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left, ok := e.board.BackoffRemaining(j.prompt(nil), clock.Now()); ok {
		return j.retry.Reject(left, outcome.ReasonResting)
	}
	return j.retry.GiveUp(outcome.ReasonNoUpstream)
}

// after notes how an attempt ended and decides what follows.
func (e *Entry) after(ctx context.Context, c caller, j *job, end retry.Result) retry.Step {
	e.metrics.attempts.WithLabelValues(j.plan.Name, retry.Label(end)).Inc()
	e.trackEnd(ctx, c, j, end)
	e.mu.Lock()
	step := j.retry.Next(end, j.request.Streamed, e.budget)
	u := e.board.Upstream(j.plan.Upstream)
	now := clock.Now()
	switch end.(type) {
	case retry.Completed:
		u.NoteSuccess()
	case retry.Unreached, retry.Broken:
		u.NoteFailure(now)
	}
	_, resumed := step.(retry.Resume)
	if !resumed {
		u.FirstToken(j.reading)
		j.reading = 0
		u.End(held(end, j, now))
	}
	e.mu.Unlock()
	e.Log.Info().Str("event", "attempt").Str("request", c.request).Str("run", j.run).Str("upstream", j.plan.Name).Str("end", retry.Label(end)).
		Str("digest", j.digest.String()).Bool("fetched", j.plan.Fetch).Int("expected_recompute", j.plan.Recompute).Dur("estimate_ms", j.plan.Estimate).Msg("")
	if !resumed && abandoned(end) {
		e.cancelRun(context.WithoutCancel(ctx), j)
	}
	if isWhole(end) {
		e.keep(j)
	}
	return step
}

// noteFirstToken says that an attempt's prompt is computed.
func (e *Entry) noteFirstToken(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.board.Upstream(j.plan.Upstream).FirstToken(j.reading)
	j.reading = 0
}

// held is how long an attempt held a slot; 0 when it never did.
func held(end retry.Result, j *job, now time.Time) time.Duration {
	if isWhole(end) {
		return now.Sub(j.began)
	}
	return 0
}

// abandoned reports whether a run may go on at the engine with nobody waiting.
func abandoned(end retry.Result) bool {
	switch end.(type) {
	case retry.Broken, retry.CallerGone:
		return true
	}
	return false
}

// conclude gives the caller the final outcome.
func (e *Entry) conclude(c caller, j *job, s *sink, o outcome.Outcome) {
	c.flow.ended(o)
	e.logOutcome(c, o, j.retry.Attempts())
	if _, ok := o.(outcome.Answered); ok {
		return
	}
	s.fail(o)
}

// cancelRun tells an engine to end a run, in the background.
func (e *Entry) cancelRun(ctx context.Context, j *job) {
	url := "http://" + j.plan.Address + engine.PathRuns + j.run
	if !e.background.begin() {
		return
	}
	go func() {
		defer e.background.end()
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
		if err != nil {
			return
		}
		res, err := e.upstreams.HTTP().Do(req)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHeaderBytes))
		_ = res.Body.Close()
	}()
}
