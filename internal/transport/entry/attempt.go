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
	"github.com/shedrock/shedrock/internal/state/registry"
)

// dispatch fetches kept context when that is planned, and runs the prompt.
func (e *Entry) dispatch(ctx context.Context, c caller, j *job, s *sink) retry.Result {
	j.attempt = j.retry.Begin()
	j.run = c.request + "-" + strconv.Itoa(j.attempt)
	j.began = clock.Now()
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
func (e *Entry) receive(c caller, j *job, s *sink, reply exchange.Reply) retry.Result {
	j.heard.Store(clock.Now().UnixNano())
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{}
	case exchange.NotRun:
		e.noteLoad(j, reply.Header)
		e.noteRefusal(j, reply)
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

// noteRefusal learns from a refusal: the upstream wants rest, leaves, or serves another
// weight version than was thought.
func (e *Entry) noteRefusal(j *job, reply exchange.NotRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := reply.Header
	u := e.board.Upstream(j.plan.Upstream)
	if rest := reply.Condition.RestFor; rest > 0 {
		u.NoteBackoff(clock.Now().Add(rest))
		e.logRest(j.plan.Address, rest)
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
	e.board.NoteReuse(j.plan, cached/prefix.BlockTokens, clock.Now())
	e.mu.Unlock()
	e.Log.Info().Str("event", "reuse").Str("request", c.request).Str("run", j.run).Int("prompt_tokens", prompt).Int("cached_tokens", cached).Msg("")
}

// pickUp goes on with a run whose connection broke.
func (e *Entry) pickUp(ctx context.Context, j *job, s *sink, offset uint64) retry.Result {
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
