package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/admission"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/state/registry"
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
	// version is the weight version under which the prompt runs; salt and keys
	// follow from it.
	version string
	salt    string
	keys    []prefix.Key
	tried   []int
	retry   retry.Run
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
		var end retry.End
		switch next := step.(type) {
		case retry.Dispatch:
			e.setVersion(c, j)
			if !e.place(r.Context(), j) {
				step = retry.Stop{Outcome: j.retry.GiveUp(outcome.ReasonNoUpstream)}
				continue
			}
			ctx, done := e.watched(r.Context(), j)
			end = e.dispatch(ctx, c, j, s)
			done()
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
	j.heard.Store(time.Now().UnixNano())
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

func isWhole(end retry.End) bool {
	_, ok := end.(retry.Whole)
	return ok
}

// setVersion picks the weight version for the next attempt. An attempt starts only
// while nothing of an answer was passed on, so two attempts may differ in it.
func (e *Entry) setVersion(c caller, j *job) {
	e.mu.Lock()
	version := e.board.ServingVersion(j.model, j.tried, time.Now())
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
	p := placement.Prompt{Model: j.model, Version: j.version, Keys: j.keys, Tokens: j.request.Prompt.Tokens, Tried: j.tried, Hints: hints}
	plan, ok := e.board.Place(p, time.Now())
	if !ok {
		return false
	}
	j.plan = plan
	j.tried = append(j.tried, plan.Upstream)
	e.board.Upstream(plan.Upstream).Begin(plan.Recompute)
	j.reading = plan.Recompute
	return true
}

// after notes how an attempt ended and decides what follows.
func (e *Entry) after(ctx context.Context, c caller, j *job, end retry.End) retry.Step {
	e.metrics.attempts.WithLabelValues(j.plan.Name, retry.Label(end)).Inc()
	e.mu.Lock()
	step := j.retry.Next(end, j.request.Streamed, e.budget)
	u := e.board.Upstream(j.plan.Upstream)
	now := time.Now()
	switch end.(type) {
	case retry.Whole:
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
		Bool("fetched", j.plan.Fetch).Int("expected_recompute", j.plan.Recompute).Dur("estimate_ms", j.plan.Estimate).Msg("")
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
func held(end retry.End, j *job, now time.Time) time.Duration {
	if isWhole(end) {
		return now.Sub(j.began)
	}
	return 0
}

// abandoned reports whether a run may go on at the engine with nobody waiting.
func abandoned(end retry.End) bool {
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

// dispatch fetches kept context when that is planned, and runs the prompt.
func (e *Entry) dispatch(ctx context.Context, c caller, j *job, s *sink) retry.End {
	j.attempt = j.retry.Begin()
	j.run = c.request + "-" + strconv.Itoa(j.attempt)
	j.began = time.Now()
	if j.plan.Fetch {
		e.fetch(ctx, j)
	}
	return e.receive(c, j, s, e.upstreams.Send(ctx, j.outgoing(c.class)))
}

// outgoing is the present attempt as it is sent.
func (j *job) outgoing(class admission.Class) *exchange.Attempt {
	return &exchange.Attempt{
		Request: j.request, Instance: registry.Instance{ID: j.plan.Name, Address: j.plan.Address},
		Run: j.run, Number: j.attempt, Salt: j.salt, WeightsName: j.version, Urgency: urgency(class),
	}
}

// batchUrgency is the place of batch work in an engine's queue, behind all that is
// interactive.
const batchUrgency = 10

func urgency(class admission.Class) int {
	if class == admission.Batch {
		return batchUrgency
	}
	return 0
}

// receive takes the reply to an attempt.
func (e *Entry) receive(c caller, j *job, s *sink, reply exchange.Reply) retry.End {
	j.heard.Store(time.Now().UnixNano())
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{}
	case exchange.NotRun:
		e.noteLoad(j, reply.Header)
		e.noteRefusal(j, reply.Header)
		return retry.Refused{}
	case exchange.Broken:
		return retry.Broken{Sent: s.sent}
	case exchange.Whole:
		e.noteLoad(j, reply.Head.Header)
		if !e.takes(c, j, reply.Head) {
			return retry.Broken{Sent: s.sent}
		}
		return s.whole(reply)
	case exchange.Stream:
		defer reply.Events.Close()
		e.noteLoad(j, reply.Head.Header)
		if !e.takes(c, j, reply.Head) {
			return retry.Broken{Sent: s.sent}
		}
		return s.stream(reply.Events, j)
	}
	panic("entry: reply outside the sealed set")
}

// noteLoad takes the load that comes with an answer: where there is traffic, reports
// cost no messages of their own.
func (e *Entry) noteLoad(j *job, h http.Header) {
	load, ok := engine.ParseLoad(h.Get(engine.HeaderLoad))
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.board.Upstream(j.plan.Upstream).NoteLoad(load.Running, load.Queued, load.Reading, false)
}

// noteRefusal learns from a refusal: the upstream leaves, or serves another
// weight version than was thought.
func (e *Entry) noteRefusal(j *job, h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.board.Upstream(j.plan.Upstream)
	if h.Get(engine.HeaderLeaving) == "true" {
		u.NoteLeaving(true)
	}
	version := h.Get(engine.HeaderVersion)
	if version == "" {
		return
	}
	u.Version = version
	if version != j.version {
		// It refused the version, not the prompt, which may come back with the right one.
		j.tried = slices.DeleteFunc(j.tried, func(n int) bool { return n == j.plan.Upstream })
	}
}

// takes reports whether an answer may be passed on: an engine's failure is tried elsewhere,
// and of one that ran other weights than were asked for, nothing is used.
func (e *Entry) takes(c caller, j *job, head exchange.Head) bool {
	if head.Status >= http.StatusInternalServerError {
		return false
	}
	if head.Status == http.StatusOK {
		if head.Header.Get(engine.HeaderVersion) != j.version {
			return false
		}
		e.noteReuse(c, j, head.Header)
	}
	return true
}

func (e *Entry) noteReuse(c caller, j *job, h http.Header) {
	cached, err := strconv.Atoi(h.Get(engine.HeaderCached))
	if err != nil {
		return
	}
	prompt, err := strconv.Atoi(h.Get(engine.HeaderPrompt))
	if err != nil {
		prompt = j.request.Prompt.Tokens
	}
	c.flow.prompt(prompt, cached)
	e.mu.Lock()
	e.board.NoteReuse(j.plan, cached/prefix.BlockTokens, time.Now())
	e.mu.Unlock()
	e.Log.Info().Str("event", "reuse").Str("request", c.request).Str("run", j.run).Int("prompt_tokens", prompt).Int("cached_tokens", cached).Msg("")
}

// pickUp goes on with a run whose connection broke.
func (e *Entry) pickUp(ctx context.Context, j *job, s *sink, offset uint64) retry.End {
	a := j.outgoing(admission.Interactive)
	a.Resumes = true
	a.After = offset
	stream, ok := e.upstreams.Send(ctx, a).(exchange.Stream)
	if !ok {
		return retry.Broken{Sent: s.sent}
	}
	defer stream.Events.Close()
	return s.stream(stream.Events, j)
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
