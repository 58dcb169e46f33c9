package serving

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	transport "github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Arbiter is the client for the arbiter of the leader.
type Arbiter interface {
	// Decide requests a decision about an attempt from the leader at an address, and sets its id. It returns within the time
	// that an entry may wait.
	Decide(ctx context.Context, leader string, r arbiter.Request) (transport.Answer, error)
	// Release reports to the leader that a granted attempt has ended or never began. It does not wait.
	Release(leader, id string)
}

// consultResult is how the arbiter took part in the placement of an attempt, as logs and metrics name it.
type consultResult string

const (
	// notConcerned is the result for requests that need no decision of the arbiter.
	notConcerned consultResult = ""
	// consultGranted and consultRefused mean that the entry followed the arbiter.
	consultGranted consultResult = "granted"
	consultRefused consultResult = "refused"
	// All other results mean that the entry decided by itself: it knew no leader, had no choice among
	// engines, had to wait after a failure, or got no answer in time; the leader knew too few loads, granted
	// an engine that the entry cannot use, or refused what must not be refused.
	consultNoLeader   consultResult = "no_leader"
	consultNoChoice   consultResult = "no_choice"
	consultPaused     consultResult = "paused"
	consultFailed     consultResult = "failed"
	consultUnknown    consultResult = "unknown"
	consultUnusable   consultResult = "unusable"
	consultNotRefused consultResult = "not_refused"
)

// consultation is what the leader's arbiter said about one attempt. The zero value means that it was not
// concerned.
type consultation struct {
	result consultResult
	leader string
	answer transport.Answer
	// took is how long the answer or the failure took, and 0 if no decision was requested. err is the failure.
	took time.Duration
	err  error
	// open is true while the leader holds a grant for the attempt.
	open bool
}

// consult requests a decision about the next attempt from the leader's arbiter, if it is one of a long prompt at a tiered service.
// The server's mu must not be held.
func (j *job) consult(ctx context.Context) {
	j.consultation = consultation{}
	view := j.server.View()
	if j.server.Arbiter == nil || !view.Config.Tiered(j.service) {
		return
	}
	pickInfo := j.pickInfo(view)
	if !pickInfo.Long() {
		return
	}
	c := &j.consultation
	c.leader = view.Leader
	if c.leader == "" {
		c.result = consultNoLeader
		return
	}
	excluded, ok := j.excluded(view, pickInfo)
	if !ok {
		c.result = consultNoChoice
		return
	}
	began := clock.Now()
	c.answer, c.err = j.server.Arbiter.Decide(ctx, c.leader, j.arbiterRequest(pickInfo, excluded))
	if errors.Is(c.err, transport.ErrPaused) {
		c.result = consultPaused
		return
	}
	c.took = clock.Since(began)
	j.server.Metrics.decisionSeconds.Observe(c.took.Seconds())
	if c.err != nil {
		c.result = consultFailed
		return
	}
	switch c.answer.Decision.(type) {
	case arbiter.Grant:
		c.result, c.open = consultGranted, true
	case arbiter.Refusal:
		c.result = consultRefused
	case arbiter.Unknown:
		c.result = consultUnknown
	}
}

// excluded returns the ids of the engines that this entry cannot use; ok is false if it has to decide by
// itself.
func (j *job) excluded(view *fleet.View, pickInfo balance.PickInfo) (ids map[string]bool, ok bool) {
	now := clock.Now()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.server.balancer.Excluded(view.Instances[j.service], j.unusable(view, now), pickInfo, now)
}

func (j *job) arbiterRequest(pickInfo balance.PickInfo, excluded map[string]bool) arbiter.Request {
	return arbiter.Request{
		Digest: j.digest, Service: j.service, Key: pickInfo.Key, Tokens: pickInfo.Tokens,
		Urgency: j.urgency, Team: j.team.Name, Resumes: !j.refusable(), Excluded: excluded, Objective: j.route.Objective, Remaining: clock.Until(j.deadline),
	}
}

// refusable reports whether the request may be refused for lack of memory. A resumed stream is not refused:
// the caller would lose the part that it already has. Neither is a request that was sent before.
func (j *job) refusable() bool { return j.attemptNumber == 0 && !j.request.Resumes }

// followArbiter returns the instance of the next attempt, or the request's outcome, as the arbiter decided;
// decided is false if the entry has to decide by itself. The server's mu must be held.
func (j *job) followArbiter(instances []registry.Instance, pickInfo balance.PickInfo, now time.Time) (in registry.Instance, o outcome.Outcome, decided bool) {
	c, balancer := &j.consultation, j.server.balancer
	switch d := c.answer.Decision.(type) {
	case arbiter.Grant:
		in, decided = balancer.Take(instances, d.Engine, pickInfo, now)
		if !decided {
			c.result = consultUnusable
			j.releaseGrant()
			return in, nil, false
		}
	case arbiter.Refusal:
		if !j.refusable() {
			c.result = consultNotRefused
			return in, nil, false
		}
		j.memory = freeMemory{}
		o, decided = outcome.NotRun{RetryAfter: d.RetryAfter, Reason: refusalReason(d.Reason)}, true
	case arbiter.Unknown, nil:
		return in, nil, false
	}
	if j.refusable() {
		balancer.RecordDemand(pickInfo.Tokens, now)
	}
	return in, o, decided
}

func refusalReason(r arbiter.Reason) outcome.Reason {
	switch r {
	case arbiter.OverShare:
		return outcome.ReasonTeamShare
	case arbiter.NoTime:
		return outcome.ReasonDeadline
	}
	return outcome.ReasonNoRoom
}

// releaseGrant ends the grant of the current attempt, if there is one.
func (j *job) releaseGrant() {
	c := &j.consultation
	if c.open {
		c.open = false
		j.server.Arbiter.Release(c.leader, c.answer.ID)
	}
}

// addTo adds the consultation to a log line.
func (c consultation) addTo(line *log.Entry) *log.Entry {
	if c.result == notConcerned {
		return line
	}
	line = line.Str("arbiter", string(c.result))
	if c.took > 0 {
		line = line.Str("arbiter_id", c.answer.ID).Str("leader", c.leader).Dur("arbiter_ms", c.took)
	}
	if c.answer.Decision != nil {
		line = line.Dur("arbiter_loads_age_ms", c.answer.LoadsAge)
	}
	if grant, ok := c.answer.Decision.(arbiter.Grant); ok {
		line = line.Str("arbiter_engine", grant.Engine.ID).Int("arbiter_free", grant.Free)
	}
	if c.err != nil {
		line = line.Str("arbiter_error", c.err.Error())
	}
	return line
}

// countConsultation counts how the arbiter took part in a placement.
func (m *Metrics) countConsultation(service string, c consultation) {
	if c.result != notConcerned {
		m.decisions.WithLabelValues(service, string(c.result)).Inc()
	}
}
