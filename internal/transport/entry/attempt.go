package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/admission"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// dispatch fetches stored context if the plan says so, and sends the prompt to the
// upstream.
func (e *Entry) dispatch(ctx context.Context, c caller, j *job, s *responder) retry.Result {
	j.attempt = j.retry.Begin()
	j.runID = c.requestID + "-" + strconv.Itoa(j.attempt)
	j.startedAt = clock.Now()
	if j.plan.Fetch {
		e.fetch(ctx, j)
	}
	return e.handleReply(c, j, s, e.detours.Send(ctx, j.exchangeAttempt(c.class)))
}

// exchangeAttempt returns the current attempt in the form that the upstream client
// sends.
func (j *job) exchangeAttempt(class admission.Class) *exchange.Attempt {
	return &exchange.Attempt{
		Request: j.request, Instance: j.instance(),
		Run: j.runID, Number: j.attempt, Salt: j.salt, WeightsName: j.version, Urgency: urgency(class),
	}
}

// batchUrgency places batch requests behind all interactive requests in an engine's
// queue.
const batchUrgency = 10

func urgency(class admission.Class) int {
	if class == admission.Batch {
		return batchUrgency
	}
	return 0
}

// handleReply processes the reply to an attempt and forwards an acceptable response.
func (e *Entry) handleReply(c caller, j *job, s *responder, reply exchange.Reply) retry.Result {
	j.lastActivity.Store(clock.Now().UnixNano())
	e.recordBrokenResponse(c, j.plan.Name, reply)
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{NoPath: reply.NoPath}
	case exchange.NotRun:
		e.recordLoad(j, reply.Header)
		e.recordRefusal(j, reply)
		return retry.Refused{}
	case exchange.Broken:
		return retry.Broken{Sent: s.sent}
	case exchange.Whole:
		e.recordLoad(j, reply.Head.Header)
		if !e.acceptable(c, j, reply.Head) {
			return retry.Broken{Sent: s.sent}
		}
		return s.writeComplete(reply)
	case exchange.Stream:
		defer reply.Events.Close()
		e.recordLoad(j, reply.Head.Header)
		if !e.acceptable(c, j, reply.Head) {
			return retry.Broken{Sent: s.sent}
		}
		return s.writeStream(reply.Events, j)
	}
	panic("entry: unexpected reply to a prompt")
}

// recordLoad records the load that the upstream reports in its response headers, so
// that upstreams with traffic need no separate load polls.
func (e *Entry) recordLoad(j *job, h http.Header) {
	load, ok := engine.ParseLoad(h.Get(engine.HeaderLoad))
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.planner.Upstream(j.plan.Upstream).NoteLoad(load.Running, load.Queued, load.PendingPromptTokens, false)
}

// recordRefusal updates the upstream from the headers of a refusal: it asked for a
// backoff, is leaving, or serves a different weight version than assumed.
func (e *Entry) recordRefusal(j *job, reply exchange.NotRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := reply.Header
	u := e.planner.Upstream(j.plan.Upstream)
	if backoff := reply.Condition.RestFor; backoff > 0 {
		u.NoteBackoff(clock.Now().Add(backoff))
		e.logBackoff(j.plan.Address, backoff)
	}
	if h.Get(engine.HeaderLeaving) == "true" {
		u.NoteLeaving(true)
	}
	version := h.Get(engine.HeaderVersion)
	if version == "" {
		return
	}
	u.Version = version
	if version != j.version {
		// The upstream refused the version, not the prompt, so it may be tried again
		// with the right one.
		j.tried = slices.DeleteFunc(j.tried, func(n int) bool { return n == j.plan.Upstream })
	}
}

// acceptable reports whether a response may be forwarded. A 5xx status is retried
// elsewhere, and a response that was generated with another weight version than
// requested is discarded.
func (e *Entry) acceptable(c caller, j *job, head exchange.Head) bool {
	if head.Status >= http.StatusInternalServerError {
		return false
	}
	if head.Status == http.StatusOK {
		if head.Header.Get(engine.HeaderVersion) != j.version {
			return false
		}
		e.recordReuse(c, j, head.Header)
	}
	return true
}

func (e *Entry) recordReuse(c caller, j *job, h http.Header) {
	cached, err := strconv.Atoi(h.Get(engine.HeaderCached))
	if err != nil {
		return
	}
	prompt, err := strconv.Atoi(h.Get(engine.HeaderPrompt))
	if err != nil {
		prompt = j.request.Prompt.Tokens
	}
	c.reqMetrics.observePrompt(prompt, cached)
	e.mu.Lock()
	e.planner.NoteReuse(j.plan, cached/prefix.BlockTokens, clock.Now())
	e.mu.Unlock()
	e.Log.Info().Str("event", "reuse").Str("request", c.requestID).Str("run", j.runID).Int("prompt_tokens", prompt).Int("cached_tokens", cached).Msg("")
}

// resumeRun continues the stream of a run whose connection broke.
func (e *Entry) resumeRun(ctx context.Context, j *job, s *responder, offset uint64) retry.Result {
	a := j.exchangeAttempt(admission.Interactive)
	a.Resumes = true
	a.After = offset
	stream, ok := e.detours.Send(ctx, a).(exchange.Stream)
	if !ok {
		return retry.Broken{Sent: s.sent}
	}
	defer stream.Events.Close()
	return s.writeStream(stream.Events, j)
}
