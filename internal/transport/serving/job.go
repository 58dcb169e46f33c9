package serving

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// lateAnswer is how long after the deadline an instance's own last word is waited for;
	// callers are given an end within half a second after a route's timeout.
	lateAnswer = 150 * time.Millisecond
	// notReadyAfter is when to come back to a process that knows no configuration yet.
	notReadyAfter = 500 * time.Millisecond
	// shortest is the least time that makes an attempt worth sending.
	shortest = 5 * time.Millisecond
)

// errOutOfOrder says that an event does not follow the one before.
var errOutOfOrder = errors.New("an event does not follow the one before")

// job is one request on its way.
type job struct {
	server  *Server
	request *exchange.Request
	sink    Sink

	version  uint64
	route    deployment.Route
	team     deployment.Team
	service  string
	urgency  int
	deadline time.Time
	tries    retry.Tries
	tried    []string
	// instance is that of the present attempt, and number counts the attempts.
	instance registry.Instance
	number   int
	// began is true once the head of a stream was passed on, and last is the number of
	// the last event passed on.
	began bool
	last  uint64
	// first is when the caller got the first byte.
	first time.Time
	// fetch and save are how many parts the last attempt named stores for.
	fetch, save int
	// spare is a failure that an instance answered, for when no attempt does better.
	spare *exchange.Whole
}

// admit finds the route, the team and the service; it reports false when the request has
// had its end.
func (j *job) admit() bool {
	r := j.request
	config := j.server.View().Config
	if config == nil {
		j.finish(outcome.NotRun{RetryAfter: notReadyAfter, Reason: outcome.ReasonNotReady})
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
	j.urgency = config.Urgency(j.team, j.route)
	j.service = j.route.Service(rand.Float64())
	j.deadline = r.Arrived.Add(min(j.route.Timeout, r.Patience()))
	j.tries = retry.Tries{Attempts: max(1, j.route.Attempts), Repeats: j.route.Repeats(), Streamed: j.route.Kind == deployment.Stream}
	j.last = r.After
	j.server.mu.Lock()
	j.server.window(j.service).Request(time.Now())
	j.server.mu.Unlock()
	return true
}

func (j *job) deny(d Denial) bool {
	j.line(d.String()).Str("host", j.request.Host).Str("path", j.request.Path).Msg("")
	j.sink.Deny(d)
	return false
}

// run makes attempts until the request has its end.
func (j *job) run(ctx context.Context) {
	var step retry.Step = retry.Dispatch{}
	for {
		var end retry.End
		switch next := step.(type) {
		case retry.Dispatch, retry.Resume:
			if !j.place() {
				j.stop(j.tries.GiveUp())
				return
			}
			end = j.attempt(ctx)
		case retry.Stop:
			j.stop(next.Outcome)
			return
		}
		step = j.tries.Next(end, j.may)
	}
}

// may asks for one more send within the allowance of all entries.
func (j *job) may() bool {
	if time.Until(j.deadline) < j.route.Objective/10 {
		return false
	}
	entries := j.server.View().Entries
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.server.window(j.service).Take(time.Now(), entries)
}

// place chooses the instance of the next attempt.
func (j *job) place() bool {
	if time.Until(j.deadline) < shortest {
		return false
	}
	view := j.server.View()
	wish := balance.Wish{Tried: j.tried, Busy: view.Busy}
	if p := j.request.Prompt; p != nil {
		wish.Key = p.SharedKey()
		wish.Model = p.Model
		wish.Weights = view.Weights[p.Model]
	}
	now := time.Now()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	in, ok := j.server.board.Pick(view.Instances[j.service], wish, now)
	if !ok {
		return false
	}
	j.server.board.Begin(in.ID, now)
	j.instance = in
	j.tried = append(j.tried, in.ID)
	j.number++
	return true
}

// attempt sends the request once and passes the answer on.
func (j *job) attempt(ctx context.Context) retry.End {
	began := time.Now()
	reply := j.server.Upstreams.Send(ctx, j.outgoing())
	heard := time.Now()
	j.noteHeard(reply, heard)
	end, err := j.pass(reply)
	if _, whole := end.(retry.Whole); !whole && ctx.Err() == context.Canceled {
		// The caller's leaving closed the connection: that says nothing of the instance.
		end = retry.CallerGone{}
	}
	result := balance.Result{}
	switch end := end.(type) {
	case retry.Whole:
		result.Latency = heard.Sub(began)
		result.Failed = end.Status >= 500
	case retry.Unreached, retry.Misdirected:
		result.Failed, result.Unreached = true, true
	case retry.Broken:
		result.Failed = true
	}
	j.server.mu.Lock()
	j.server.board.End(j.instance.ID, result, time.Now())
	j.server.mu.Unlock()
	j.server.Metrics.attempt(j.service, end)
	if _, whole := end.(retry.Whole); !whole || result.Failed {
		j.logAttempt(end, err, heard.Sub(began))
	}
	return end
}

// noteHeard notes a word of the instance before its answer has ended.
func (j *job) noteHeard(reply exchange.Reply, now time.Time) {
	switch reply.(type) {
	case exchange.Unreached, exchange.Broken:
		return
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.server.board.Heard(j.instance.ID, now)
}

func (j *job) outgoing() *exchange.Attempt {
	a := &exchange.Attempt{
		Request: j.request, Instance: j.instance, Deadline: j.deadline, Team: j.team.Name, Urgency: j.urgency,
		After: j.last, Resumes: j.request.Resumes || j.began,
	}
	if p := j.request.Prompt; p != nil {
		j.keep(a, p)
	}
	return a
}

// pass turns a reply into the end of an attempt, and passes on what the caller may have.
func (j *job) pass(reply exchange.Reply) (retry.End, error) {
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{}, reply.Err
	case exchange.NotRun:
		if reply.Misdirected {
			return retry.Misdirected{}, errors.New("another instance has the address, or its weights changed")
		}
		return retry.Refused{}, errors.Errorf("refused with %d", reply.Status)
	case exchange.Broken:
		return retry.Broken{Sent: j.sent()}, reply.Err
	case exchange.Whole:
		return j.passWhole(reply)
	case exchange.Stream:
		defer reply.Events.Close()
		return j.passStream(reply)
	}
	panic("serving: reply outside the sealed set")
}

// sent is the number of the last event that the caller got from this process.
func (j *job) sent() uint64 {
	if !j.began {
		return 0
	}
	return j.last
}

func (j *job) passWhole(a exchange.Whole) (retry.End, error) {
	if j.began {
		// The stream cannot go on with an answer that is none.
		return retry.Broken{Sent: j.last}, errors.Errorf("answered %d in place of the rest", a.Head.Status)
	}
	if a.Head.Status >= 500 && j.tries.Repeats {
		j.spare = &a
		return retry.Whole{Status: a.Head.Status}, nil
	}
	j.spare = nil
	j.first = time.Now()
	err := j.sink.Answer(a)
	if err != nil {
		return retry.CallerGone{}, err
	}
	return retry.Whole{Status: a.Head.Status}, nil
}

func (j *job) passStream(a exchange.Stream) (retry.End, error) {
	for {
		event, more, err := a.Events.Next()
		if err == io.EOF {
			return j.endStream(a.Head), nil
		}
		if err != nil {
			return retry.Broken{Sent: j.sent()}, err
		}
		if event.Number > 0 && event.Number <= j.last {
			if j.began {
				// A run that goes on behind an event may repeat what the caller has.
				continue
			}
			return retry.Broken{Sent: j.sent()}, errOutOfOrder
		}
		if event.Number > j.last+1 && (j.last > 0 || j.began) {
			return retry.Broken{Sent: j.sent()}, errOutOfOrder
		}
		err = j.beginStream(a.Head)
		if err == nil {
			err = j.sink.Event(event.Raw, more)
		}
		if err != nil {
			return retry.CallerGone{}, err
		}
		j.last = max(j.last, event.Number)
	}
}

// beginStream passes the head on before the first event; a stream that another instance
// goes on with keeps its first head.
func (j *job) beginStream(h exchange.Head) error {
	if j.began {
		return nil
	}
	j.began = true
	j.first = time.Now()
	return j.sink.Begin(h)
}

func (j *job) endStream(h exchange.Head) retry.End {
	err := j.beginStream(h)
	if err != nil {
		return retry.CallerGone{}
	}
	j.sink.End()
	return retry.Whole{Status: h.Status}
}

// stop gives the caller the end of the request.
func (j *job) stop(o outcome.Outcome) {
	if _, answered := o.(outcome.Answered); answered && j.spare == nil {
		j.note(o)
		return
	}
	if j.spare != nil && !j.began {
		answer := *j.spare
		j.first = time.Now()
		err := j.sink.Answer(answer)
		if err != nil {
			o = outcome.Unknown{Detail: "the caller has gone"}
		} else {
			o = outcome.Answered{Status: answer.Head.Status}
		}
		j.note(o)
		return
	}
	if j.began {
		j.note(o)
		j.sink.Break()
		return
	}
	j.finish(o)
}

// finish answers a request that has no answer of an instance.
func (j *job) finish(o outcome.Outcome) {
	j.note(o)
	j.sink.Refuse(o)
}

// note logs and counts the end of the request.
func (j *job) note(o outcome.Outcome) {
	line := j.line(outcome.Label(o)).Int("attempts", j.number).Str("instance", j.instance.ID).Dur("took_ms", time.Since(j.request.Arrived))
	if j.request.Prompt != nil {
		line = line.Int("fetch", j.fetch).Int("save", j.save)
	}
	switch o := o.(type) {
	case outcome.Answered:
		line = line.Int("status", o.Status).Dur("first_ms", j.first.Sub(j.request.Arrived))
	case outcome.NotRun:
		line = line.Str("reason", string(o.Reason))
	case outcome.Unknown:
		line = line.Str("detail", o.Detail)
	case outcome.Failed:
		line = line.Str("detail", o.Detail)
	}
	line.Msg("")
	j.server.Metrics.request(j.team.Name, j.route, o, j.request.Arrived, j.first)
}

func (j *job) line(end string) *log.Entry {
	return j.server.Log.Info().Str("event", "request").Str("request", j.request.ID).Str("outcome", end).
		Str("team", j.team.Name).Str("route", j.route.Name).Str("service", j.service).Uint64("config", j.version)
}

func (j *job) logAttempt(end retry.End, err error, took time.Duration) {
	line := j.server.Log.Info().Str("event", "attempt").Str("request", j.request.ID).Int("number", j.number).
		Str("instance", j.instance.ID).Str("address", j.instance.Address).Uint64("sequence", j.instance.Sequence).
		Str("end", endName(end)).Dur("took_ms", took)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

func endName(end retry.End) string {
	switch end := end.(type) {
	case retry.Whole:
		if end.Status >= 500 {
			return "failed_there"
		}
		return "whole"
	case retry.CallerGone:
		return "caller_gone"
	case retry.Refused:
		return "refused"
	case retry.Unreached:
		return "unreached"
	case retry.Misdirected:
		return "misdirected"
	case retry.Broken:
		return "broken"
	}
	panic("serving: end outside the sealed set")
}
