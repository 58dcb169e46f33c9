package serving

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// supersededInterval is how often attempts in flight are checked for instances that have restarted.
// Heartbeats report a restart some hundred milliseconds after it.
const supersededInterval = 250 * time.Millisecond

// supersededSilence is how long a stream whose instance was replaced may send nothing until it is given up.
const supersededSilence = 2 * time.Second

// lossMargin is how long before the loss of the path an attempt must have been sent to get a successor for it: later
// ones may have been sent through another entry.
const lossMargin = 400 * time.Millisecond

// overdueAfter is how long after its deadline an attempt is canceled if its own timers have not done so.
const overdueAfter = 2 * deadlineGrace

// errSuperseded reports that the process that had a request no longer exists, errTakenOver that another instance
// responded while it was silent, and errOverdue that the deadline passed while the timers did not run.
var (
	errSuperseded = errors.New("the instance restarted, or another one has its address")
	errTakenOver  = errors.New("another instance responded while this one was silent")
	errOverdue    = errors.New("deadline exceeded while the machine was suspended")
)

// inFlight maps each job to its attempt in flight. A request has one attempt at a time.
type inFlight map[*job]inFlightAttempt

// inFlightAttempt is one attempt in flight.
type inFlightAttempt struct {
	target registry.Instance
	cancel context.CancelCauseFunc
	sentAt time.Time
	// ctx is the context in which the attempt was begun.
	ctx context.Context
	// before is how many events of the request had come when the attempt was begun.
	before uint64
	// supersededAt is when it was first seen that another process has the id or address of target, or zero, and
	// received is how many events had come then.
	supersededAt time.Time
	received     uint64
}

// track registers the current attempt until release is called. The attempt must use the returned
// context, which is canceled once the instance is known to have restarted: when the old process
// vanished without closing its connections, the attempt would otherwise wait for a response that
// cannot come.
func (j *job) track(ctx context.Context) (tracked context.Context, release func()) {
	s := j.server
	tracked, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[j] = inFlightAttempt{target: j.instance, cancel: cancel, sentAt: clock.Now(), ctx: ctx, before: j.progress.received.Load()}
	select {
	case s.attemptBegan <- struct{}{}:
	default:
	}
	return tracked, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, j)
		cancel(nil)
	}
}

// superseded reports whether an attempt was canceled because its instance had restarted.
func superseded(tracked context.Context) bool { return context.Cause(tracked) == errSuperseded }

// checkInFlight cancels the attempts at instances that were superseded, and those whose deadline passed
// while the machine was suspended, when the timers that enforce it do not advance. An attempt at a failure
// domain that is unreachable, or sent before the path to its service was lost, gets a successor if the request may be
// sent again, once for each request: silence alone ends no attempt. It returns the number of attempts in flight.
func (s *Server) checkInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	now := clock.Now()
	for j, a := range s.inFlight {
		switch {
		case s.supersede(j, a, view, now):
		case now.Sub(j.deadline) > overdueAfter:
			a.cancel(errOverdue)
		case j.hadSuccessor || !j.attempts.MayFollow():
		case s.balancer.Unreachable(a.target, view.Unreachable):
			s.startSuccessor(j, a, silentDomain)
		case s.sentBeforeLoss(a):
			s.startSuccessor(j, a, silentPath)
		}
	}
	return len(s.inFlight)
}

// eventsSince returns how many events have come in an attempt of a job.
func (a inFlightAttempt) eventsSince(j *job) uint64 {
	received := j.progress.received.Load() &^ takenOver
	if received < a.before {
		// The count was begun anew.
		return received
	}
	return received - a.before
}

// supersede handles an attempt whose instance has been replaced by a later process, and reports whether it has. The process
// that had it either does not exist any more, or is the later one, whose first heartbeat came after the attempt: events that
// still come are from that one. The server's mu must be held.
func (s *Server) supersede(j *job, a inFlightAttempt, view *fleet.View, now time.Time) bool {
	later, ok := view.SuccessorOf(a.target)
	if !ok {
		return false
	}
	received := a.eventsSince(j)
	switch {
	case received == 0:
		a.cancel(errSuperseded)
	case a.supersededAt.IsZero():
		a.supersededAt, a.received = now, received
		s.inFlight[j] = a
	case received > a.received && (j.origin.attempt == j.attemptNumber || later.SoftwareVersion == a.target.SoftwareVersion):
		s.Log.Info().Str("event", "attempt_at_later_process").Str("request", j.request.ID).Str("instance", later.ID).Int64("start", int64(later.Start)).
			Int64("believed_start", int64(a.target.Start)).Str("software", later.SoftwareVersion).Str("believed_software", a.target.SoftwareVersion).Msg("")
		j.correctOrigin(later, false)
		a.target, a.supersededAt = later, time.Time{}
		s.inFlight[j] = a
	case received > a.received || now.Sub(a.supersededAt) >= supersededSilence:
		j.correctOrigin(later, true)
		a.cancel(errSuperseded)
	}
	return true
}

// sentBeforeLoss reports whether an attempt was sent before this entry lost its path to the service's instances.
func (s *Server) sentBeforeLoss(a inFlightAttempt) bool {
	if s.PathLostSince == nil {
		return false
	}
	since, lost := s.PathLostSince(a.target.Service)
	return lost && since.Sub(a.sentAt) > lossMargin
}
