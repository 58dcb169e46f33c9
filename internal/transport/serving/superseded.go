package serving

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// supersededInterval is how often attempts in flight are checked for instances that have restarted.
// Heartbeats report a restart some hundred milliseconds after it.
const supersededInterval = 250 * time.Millisecond

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
	s.inFlight[j] = inFlightAttempt{target: j.instance, cancel: cancel, sentAt: clock.Now(), ctx: ctx}
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
		case view.Superseded(a.target):
			a.cancel(errSuperseded)
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

// sentBeforeLoss reports whether an attempt was sent before this entry lost its path to the service's instances.
func (s *Server) sentBeforeLoss(a inFlightAttempt) bool {
	if s.PathLostSince == nil {
		return false
	}
	since, lost := s.PathLostSince(a.target.Service)
	return lost && since.Sub(a.sentAt) > lossMargin
}
