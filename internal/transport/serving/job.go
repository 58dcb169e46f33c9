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
	"github.com/shedrock/shedrock/internal/transport/ends"
)

const (
	// leastShare is the part of its objective that a request must have left to be sent once
	// more: with less, an instance has no time to do anything.
	leastShare = 10
	// notReadyAfter is when to come back to a process that knows no configuration yet.
	notReadyAfter = 500 * time.Millisecond
	// startHold is for how long a request is held that comes before the configuration is known, and
	// startShare which part of the caller's time that may take: after a loss of power everything starts
	// at once, and a configuration is in force some tenths of a second after a process runs. Who has
	// little time is better told at once when to come back.
	startHold  = 400 * time.Millisecond
	startShare = 10
	// startTime is how long after its start a process may be without a configuration for that reason.
	startTime = 2 * time.Second
	// startLook is how often it is looked whether there is one.
	startLook = 10 * time.Millisecond
)

// job is one request on its way.
type job struct {
	server  *Server
	request *exchange.Request
	sink    Sink

	// digest names all requests that are the same; known is what was known of ends of instances
	// under them when the last attempt was permitted or held, and done ends the permission.
	digest quarantine.Digest
	known  quarantine.RequestStatus
	done   func()

	version  uint64
	route    deployment.Route
	team     deployment.Team
	service  string
	urgency  int
	deadline time.Time
	tries    retry.RequestAttempts
	tried    []registry.Incarnation
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
	// room is the free memory of the last attempt's engine as far as it was known, or of all
	// engines with room when there was too little.
	room known
	// sent is what the last attempt's instance had said of itself.
	condition conditionKnown
	// weights is what decided on the weights of the last attempt.
	weights weightsKnown
	// spare is a failure that an instance answered, for when no attempt does better.
	spare *exchange.Whole
}

// admit finds the route, the team and the service; it reports false when the request has
// had its end.
func (j *job) admit(ctx context.Context) bool {
	r := j.request
	if r.Left {
		j.finish(outcome.NotRun{Reason: outcome.ReasonCallerLeft})
		return false
	}
	config := j.awaitConfig(ctx)
	if ctx.Err() != nil {
		j.finish(outcome.NotRun{Reason: outcome.ReasonCallerLeft})
		return false
	}
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
	j.identify()
	j.urgency = config.Urgency(j.team, j.route)
	j.service = j.route.Service(rand.Float64())
	j.deadline = r.Arrived.Add(min(j.route.Timeout, r.Patience()))
	j.tries = retry.RequestAttempts{MaxAttempts: max(1, j.route.Attempts), Idempotent: j.route.Repeats(), Streamed: j.route.Kind == deployment.Stream}
	j.last = r.After
	j.server.mu.Lock()
	j.server.window(j.service).CountRequest(clock.Now())
	j.server.mu.Unlock()
	return true
}

// awaitConfig returns the configuration in force, or nil when there is none. While the process starts
// it waits for one for as long as that is surely better for the caller than to come again.
func (j *job) awaitConfig(ctx context.Context) *deployment.Config {
	s := j.server
	config := s.View().Config
	if config != nil || clock.Since(s.began) > startTime {
		return config
	}
	hold, cancel := context.WithTimeout(ctx, min(startHold, j.request.Patience()/startShare))
	defer cancel()
	look := time.NewTicker(startLook)
	defer look.Stop()
	for s.View().Config == nil && hold.Err() == nil {
		select {
		case <-look.C:
		case <-hold.Done():
		}
	}
	return s.View().Config
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
		var end retry.Result
		switch next := step.(type) {
		case retry.Dispatch, retry.Resume:
			if ctx.Err() == context.Canceled {
				j.stop(outcome.CallerGone)
				return
			}
			if o := j.place(); o != nil {
				j.stop(o)
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
	if clock.Until(j.deadline) < j.route.Objective/leastShare {
		return false
	}
	entries := j.server.View().Entries
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.server.window(j.service).Take(clock.Now(), entries)
}

// attempt sends the request once and passes the answer on.
func (j *job) attempt(ctx context.Context) retry.Result {
	began := clock.Now()
	tracked, over := j.track(ctx)
	defer over()
	watched, watch := j.watchBegin(tracked)
	defer watch.over()
	defer j.done()
	reply := j.server.Upstreams.Send(watched, j.outgoing())
	heard := clock.Now()
	track := j.tracked(began)
	j.noteHeard(reply, track, heard)
	end, err := j.pass(reply, watch)
	if withdrawn(end, watch) {
		err = errTooOld
	}
	gone := superseded(tracked)
	if gone {
		err = errSuperseded
	}
	if _, whole := end.(retry.Completed); !whole && ctx.Err() == context.Canceled {
		// The caller's leaving closed the connection: that says nothing of the instance.
		end = retry.CallerGone{}
	}
	if !withdrawn(end, watch) {
		j.trackEnd(ctx, track, end, err, gone)
	}
	result := balance.Result{}
	switch end := end.(type) {
	case retry.Completed:
		result.Latency = heard.Sub(began)
		result.Failed = end.Status >= 500
	case retry.Unreached, retry.Misdirected:
		result.Failed, result.Unreachable, result.TimedOut = true, true, timedOut(reply, err)
	case retry.Broken:
		result.Failed, result.TimedOut = true, timedOut(reply, err)
	case retry.CallerGone:
		result.Canceled = true
	}
	if withdrawn(end, watch) {
		// The engine did nothing wrong.
		result = balance.Result{Canceled: true}
	}
	j.server.mu.Lock()
	j.server.board.End(j.instance.Incarnation(), result, clock.Now())
	if failedItself(end, err, gone) {
		j.server.noteFailed(j.instance, j.team.Name)
	}
	j.server.mu.Unlock()
	j.server.Metrics.attempt(j.service, end)
	if _, whole := end.(retry.Completed); !whole || result.Failed {
		j.logAttempt(end, err, heard.Sub(began))
	}
	return end
}

// failedItself reports whether an instance that answers failed a request: by what it answered, or by
// closing the connection. Silence may be the link's.
func failedItself(end retry.Result, err error, gone bool) bool {
	switch end := end.(type) {
	case retry.Completed:
		return end.Status >= 500
	case retry.Broken:
		return !gone && closed(err)
	}
	return false
}

// timedOut reports whether an address said nothing in time, not even that it refuses. An
// answer that broke off after its head was a word.
func timedOut(reply exchange.Reply, err error) bool {
	switch reply.(type) {
	case exchange.Unreached, exchange.Broken:
	default:
		return false
	}
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// noteHeard notes a word of the instance before its answer has ended.
func (j *job) noteHeard(reply exchange.Reply, track ends.Attempt, now time.Time) {
	if answersItself(reply) {
		j.server.Ends.RecordResponse(track)
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.noteCondition(exchange.ConditionOf(reply), track.Sent, now)
	switch reply.(type) {
	case exchange.Unreached, exchange.Broken:
	default:
		j.server.board.RecordResponse(j.instance.Incarnation(), now)
	}
}

func (j *job) outgoing() *exchange.Attempt {
	a := &exchange.Attempt{
		Request: j.request, Instance: j.instance, Deadline: j.deadline, Team: j.team.Name, Urgency: j.urgency,
		After: j.last, Resumes: j.request.Resumes || j.began,
	}
	if p := j.request.Prompt; p != nil {
		j.keep(a, p)
		j.weights = j.knownWeights(a.Weights)
	}
	return a
}

// stop gives the caller the end of the request.
func (j *job) stop(o outcome.Outcome) {
	if _, answered := o.(outcome.Answered); answered && j.spare == nil {
		j.note(o)
		return
	}
	if j.spare != nil && !j.began {
		answer := *j.spare
		j.first = clock.Now()
		err := j.sink.Answer(answer)
		if err != nil {
			o = outcome.CallerGone
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
