// Package service is a small stand-in for a plain HTTP service, such as the one
// that sends quotes. It counts how often each call was executed; the tests of the
// at-most-once guarantee read these counts.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
)

// PathCounts is the URL path that returns the execution counts as JSON.
const PathCounts = "/standin/counts"

// Service is the stand-in server. The zero value is ready for use.
type Service struct {
	// Faults can be changed while the service runs.
	Faults fault.Injector

	mu sync.Mutex
	// counts holds the number of executions of each call, keyed by "METHOD path body".
	counts map[string]int
}

// Handler returns the handler for the fault settings, the counts and, on every
// other path, the service itself.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Count returns how often a call, given as "METHOD path body", was executed.
func (s *Service) Count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[call]
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.counts)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.Faults.Get()
	run := r.Header.Get(engine.HeaderRun)
	if f.Crossed {
		run = "run-of-another"
	}
	w.Header().Set(engine.HeaderRun, run)
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	if f.Refuse || f.Leaving {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.Redirect != "" {
		w.Header().Set("Location", f.Redirect)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	s.count(r.Method + " " + r.URL.Path + " " + string(body))
	time.Sleep(f.Slow)
	if f.CloseBeforeReply {
		fault.Abort()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Path string `json:"path"`
		Body string `json:"body"`
	}{r.URL.Path, string(body)})
}

func (s *Service) count(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[call]++
}
