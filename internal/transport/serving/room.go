package serving

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/backlog"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// roomPollInterval is how often the first requests of a backlog look for room that no end of an attempt signals:
	// in an engine's memory, or by the end of a pause.
	roomPollInterval = 20 * time.Millisecond
	// returnDivisor is the part of the remaining time after which a caller comes back at the latest.
	returnDivisor = 3
	// mostUrgent goes before all that have not begun.
	mostUrgent = -1
)

// chooseWithRoom chooses the instance of the next attempt. If none has room, it waits in the service's backlog until one
// has, or returns the request's outcome.
func (j *job) chooseWithRoom(ctx context.Context) outcome.Outcome {
	if !j.mustQueue() {
		o := j.choose()
		if !j.full {
			return o
		}
	}
	waiting, o := j.joinBacklog()
	if o != nil {
		return o
	}
	began := clock.Now()
	o = j.awaitRoom(ctx, waiting)
	waited := clock.Since(began)
	j.waited += waited
	j.server.Metrics.waitSeconds.WithLabelValues(j.service).Observe(waited.Seconds())
	return o
}

// mustQueue reports whether requests that go first wait for room already.
func (j *job) mustQueue() bool {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	b := j.server.backlogs[j.service]
	return b != nil && b.Ahead(j.waitUrgency())
}

// waitUrgency is the urgency of the request in the backlog. What callers have a part of goes first.
func (j *job) waitUrgency() int {
	if !j.refusable() {
		return mostUrgent
	}
	return j.urgency
}

// waitUntil returns until when the request may wait for room: as long as it can still be answered within its objective or,
// if its caller would lose a part of the answer, until its deadline. The server's mu must be held.
func (j *job) waitUntil() time.Time {
	if !j.refusable() {
		return j.deadline.Add(-minAttemptTime)
	}
	until := j.request.Arrived.Add(j.server.backlog(j.service).MaxWait(j.route.Objective))
	if latest := j.deadline.Add(-minAttemptTime); latest.Before(until) {
		return latest
	}
	return until
}

// joinBacklog adds the request to the service's backlog, or returns its outcome.
func (j *job) joinBacklog() (*backlog.Request, outcome.Outcome) {
	now := clock.Now()
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	b := j.server.backlog(j.service)
	waiting, ok := b.Join(j.waitUrgency(), j.waitUntil(), now)
	if !ok {
		return nil, j.noRoom(now)
	}
	j.server.Metrics.waiting.WithLabelValues(j.service).Set(float64(b.Len()))
	return waiting, nil
}

// awaitRoom waits until an instance has room, and chooses it, or returns the request's outcome.
func (j *job) awaitRoom(ctx context.Context, waiting *backlog.Request) outcome.Outcome {
	defer j.leaveBacklog(waiting)
	j.releasePermit()
	j.returnGrant()
	expiry := time.NewTimer(clock.Until(waiting.Until()))
	defer expiry.Stop()
	poll := time.NewTicker(roomPollInterval)
	defer poll.Stop()
	for {
		polled := false
		select {
		case <-waiting.Room():
		case <-poll.C:
			polled = true
		case <-expiry.C:
			return j.refuseForRoom()
		case <-ctx.Done():
			if ctx.Err() == context.Canceled {
				return outcome.CallerGone
			}
			return j.refuseForRoom()
		}
		if o := j.checkStopping(); o != nil {
			return o
		}
		looks, dropped := j.looksForRoom(waiting, polled)
		if dropped {
			return j.refuseForRoom()
		}
		if !looks {
			continue
		}
		if o := j.chooseAgain(); !j.full {
			return o
		}
	}
}

// chooseAgain chooses the instance of the next attempt after a wait, in which instances may have ended that served the
// request elsewhere.
func (j *job) chooseAgain() outcome.Outcome {
	j.full = false
	if o := j.checkQuarantine(); o != nil {
		return o
	}
	o := j.choose()
	if j.full {
		j.releasePermit()
	}
	return o
}

// releasePermit gives back the permit of an attempt that is not sent now.
func (j *job) releasePermit() {
	j.done()
	j.done = func() {}
}

// returnGrant gives back the leader's grant for an attempt that is not sent now.
func (j *job) returnGrant() {
	j.releaseGrant()
	if _, granted := j.consultation.answer.Decision.(arbiter.Grant); granted {
		j.consultation.answer.Decision = nil
	}
}

// looksForRoom reports whether a request of the backlog is to look for room now, and whether it was dropped.
func (j *job) looksForRoom(waiting *backlog.Request, polled bool) (looks, dropped bool) {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return !polled || j.server.backlog(j.service).Active(waiting), waiting.Dropped()
}

// leaveBacklog removes a request from the backlog, and lets the next one look for room.
func (j *job) leaveBacklog(waiting *backlog.Request) {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	b := j.server.backlog(j.service)
	b.Leave(waiting)
	j.server.Metrics.waiting.WithLabelValues(j.service).Set(float64(b.Len()))
	b.NotifyNext()
}

// refuseForRoom returns the outcome of a request for which there was no room in time.
func (j *job) refuseForRoom() outcome.Outcome {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	return j.noRoom(clock.Now())
}

// noRoom returns the outcome of a request for which no instance has room. The server's mu must be held.
func (j *job) noRoom(now time.Time) outcome.Outcome {
	return j.attempts.Reject(j.returnTime(now), outcome.ReasonFull)
}

// returnTime returns after which time the caller is to send the request again when there was no room for it. The server's
// mu must be held.
func (j *job) returnTime(now time.Time) time.Duration {
	return j.server.backlog(j.service).RetryAfter(j.urgency, j.deadline.Sub(now)/returnDivisor, now)
}

// withReturnTime replaces the Retry-After of a request that an instance with a refusal limit refused: a fixed one would
// bring all callers back at the same time.
func (j *job) withReturnTime(o outcome.Outcome) outcome.Outcome {
	refused, ok := o.(outcome.NotRun)
	if !ok || refused.Reason != outcome.ReasonRefused || !j.condition.refusalLimited {
		return o
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	refused.RetryAfter = j.returnTime(clock.Now())
	return refused
}

// backlog returns the backlog of a service. mu must be held.
func (s *Server) backlog(service string) *backlog.Backlog {
	b, ok := s.backlogs[service]
	if !ok {
		b = backlog.New()
		s.backlogs[service] = b
	}
	return b
}

// countAttempt counts the attempt that begins in the backlog of its service, if its instance has a refusal limit. The
// server's mu must be held.
func (j *job) countAttempt() {
	j.counted = j.condition.refusalLimited
	if j.counted {
		j.server.backlog(j.service).RecordAttempt()
	}
}

// countEnd counts the end of an attempt that was sent at the given time, and how long it took if the instance answered and
// no lost path delayed the answer. The server's mu must be held.
func (j *job) countEnd(result balance.Result, sent, now time.Time) {
	_, limited := j.server.balancer.RefusalLimit(j.instance, now)
	switch {
	case !limited || result.Latency == 0:
	case result.Delayed:
		j.server.backlog(j.service).RecordDelayedAnswer(now)
	default:
		j.server.backlog(j.service).RecordAnswer(result.Latency, now.Sub(sent), now)
	}
	if j.counted {
		j.counted = false
		j.server.backlog(j.service).RecordEnd()
	}
}
