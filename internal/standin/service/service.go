// Package service is a small stand-in for a plain service, such as the one that
// sends quotes. It counts how often each call ran, which is what the tests of
// the at-most-once promise read.
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

// PathCounts is where the counts can be read.
const PathCounts = "/standin/counts"

// Service is the stand-in. The zero value is ready.
type Service struct {
	// Faults can be set while the service runs.
	Faults fault.Injector

	mu sync.Mutex
	// counts holds how often each call ran, by "METHOD path body".
	counts map[string]int
}

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	mux.HandleFunc("/", s.call)
	return mux
}

// Count returns how often a call ran.
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

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
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
