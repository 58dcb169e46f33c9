package serving

import "github.com/shedrock/shedrock/internal/clock"

// maxCutLines limits the lines that are logged of requests that the end of the process cuts.
const maxCutLines = 100

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
	logged := 0
	for j := range s.serving {
		s.Metrics.cutRequests.WithLabelValues(j.service).Inc()
		if logged == maxCutLines {
			continue
		}
		logged++
		j.logCut()
	}
	return len(s.serving)
}

// logCut logs a request that the end of the process cuts. The server's mu must be held.
func (j *job) logCut() {
	line := j.server.Log.Warn().Str("event", "request_cut").Str("request", j.request.ID).Str("service", j.service).Uint64("config", j.version).
		Dur("took_ms", clock.Since(j.request.Arrived)).Dur("remaining_ms", clock.Until(j.deadline))
	if attempt, sent := j.server.inFlight[j]; sent {
		line = line.Str("instance", attempt.target.ID).Dur("attempt_ms", clock.Since(attempt.sentAt))
	}
	line.Msg("")
}
