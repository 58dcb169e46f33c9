// Package fault holds the faults that a stand-in can be told to show, by flags
// at its start or by a request while it runs.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is where a stand-in takes new settings, as JSON, by PUT.
const Path = "/standin/faults"

// Settings are the faults in force. The zero value is a stand-in in good health.
type Settings struct {
	Slow             time.Duration `json:"slow" help:"Wait this long before each answer."`
	Refuse           bool          `json:"refuse" help:"Refuse every run, saying that it did not run."`
	CloseBeforeReply bool          `json:"close_before_reply" help:"Run, then close the connection in place of an answer."`
	CloseAfterEvents int           `json:"close_after_events" help:"Close a stream after this many events; 0 never."`
	Crossed          bool          `json:"crossed" help:"Answer with another run's id."`
	Redirect         string        `json:"redirect" help:"Answer with a 307 to this URL."`
	FillUp           bool          `json:"fill_up" help:"Behave as if no space were left."`
	GapEvery         int           `json:"gap_every" help:"Lose each n-th cache event; 0 loses none."`
	FreezeLoad       bool          `json:"freeze_load" help:"Report the same load for ever."`
	Leaving          bool          `json:"leaving" help:"Refuse new runs as an instance that is stopping."`
}

// Injector holds the settings in force and lets requests change them. It is safe
// for concurrent use; the zero value has no faults.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	// OnReset, when set, is called when a request asks to lose everything.
	OnReset func()
}

// Set puts settings in force.
func (s *Injector) Set(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Get returns the settings in force.
func (s *Injector) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// ServeHTTP takes new settings by PUT, and loses everything on DELETE.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		if s.OnReset != nil {
			s.OnReset()
		}
		return
	}
	var settings Settings
	err := json.NewDecoder(r.Body).Decode(&settings)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(settings)
}

// Abort closes the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }
