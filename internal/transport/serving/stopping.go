package serving

import (
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// stoppingRetryAfter is the Retry-After of a request that a process which stops cannot end in time. Other entries
	// can serve it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// repeatableShare is the part of the time from Stop to the end that must be left for an attempt of a request that may
	// be repeated, if the request's deadline is later than the end.
	repeatableShare = 0.5
	// latencyMargin is for how many times the mean latency of the service there must be time as well.
	latencyMargin = 1.5
)

// errStopping reports that an attempt was canceled because the process ends.
var errStopping = errors.New("the process ends")

// stopPlan is when a process that stops was told to, and when it ends.
type stopPlan struct{ began, end time.Time }

// Stop makes the server report that it is not ready, because the process ends at the given time. Requests that still
// arrive or wait are served if they can be ended until then, and refused otherwise. Further calls have no effect.
func (s *Server) Stop(end time.Time) {
	s.stopping.CompareAndSwap(nil, &stopPlan{began: clock.Now(), end: end})
}

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.stopping.Load() != nil }

// EndAll ends, logs and counts all requests that are still being served, so that their callers get an outcome before
// their connections are closed. No attempt begins any more. It returns the number of requests.
func (s *Server) EndAll() int {
	s.init()
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logServing("request_ended", s.Metrics.endedRequests)
	for _, a := range s.inFlight {
		a.cancel(errStopping)
	}
	return len(s.serving)
}

// Serving returns the number of admitted requests that have no outcome yet.
func (s *Server) Serving() int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.serving)
}

// checkStopping returns the request's outcome if an attempt that begins now may be cut by the end of the process.
func (j *job) checkStopping() outcome.Outcome {
	if j.endsInTime(clock.Now()) {
		return nil
	}
	return j.attempts.Reject(stoppingRetryAfter, outcome.ReasonLeaving)
}

// endsInTime reports whether an attempt that begins now ends before the process does: its deadline is earlier or, as most
// requests end long before their deadlines, the request may be repeated and much of the time is left. The server's mu must
// not be held.
func (j *job) endsInTime(now time.Time) bool {
	plan := j.server.stopping.Load()
	switch {
	case j.server.ended.Load():
		return false
	case plan == nil || !j.deadline.Add(deadlineGrace).After(plan.end):
		return true
	}
	if !j.attempts.Idempotent {
		return false
	}
	j.server.mu.Lock()
	mean, _ := j.server.balancer.MeanLatency(j.service)
	j.server.mu.Unlock()
	needed := max(repeatableShare*plan.end.Sub(plan.began).Seconds(), latencyMargin*mean.Seconds())
	return plan.end.Sub(now).Seconds() >= needed
}
