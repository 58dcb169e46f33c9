package serving

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/clock"
)

// maxServingLines limits the lines that are logged of the requests that the end of the process ends or cuts.
const maxServingLines = 100

// beginServing records that an admitted request is being served, until end is called.
func (s *Server) beginServing(j *job) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving[j] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.serving, j)
	}
}

// Cut logs and counts the requests that are still being served, and returns their number. Call it before the
// connections of their callers are closed.
func (s *Server) Cut() int {
	s.init()
	s.cut.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logServing("request_cut", s.Metrics.cutRequests)
	return len(s.serving)
}

// logServing logs and counts the requests that are being served. mu must be held.
func (s *Server) logServing(event string, count *prometheus.CounterVec) {
	logged := 0
	for j := range s.serving {
		count.WithLabelValues(j.service).Inc()
		if logged < maxServingLines {
			logged++
			j.logServing(event)
		}
	}
}

// logServing logs a request that the end of the process ends or cuts. The server's mu must be held.
func (j *job) logServing(event string) {
	line := j.server.Log.Warn().Str("event", event).Str("request", j.request.ID).Str("service", j.service).Uint64("config", j.version).
		Dur("took_ms", clock.Since(j.request.Arrived)).Dur("remaining_ms", clock.Until(j.deadline))
	if attempt, sent := j.server.inFlight[j]; sent {
		line = line.Str("instance", attempt.target.ID).Dur("attempt_ms", clock.Since(attempt.sentAt))
	}
	line.Msg("")
}
