// Package fault defines the faults that can be injected into a stand-in server,
// by command line flags at its start or by an HTTP request while it runs.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is the URL path at which a stand-in accepts new Settings, as JSON, by PUT.
const Path = "/standin/faults"

// Settings selects the injected faults. The zero value injects none.
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

// Injector holds the current settings and is the HTTP handler that changes them.
// Its methods are safe for concurrent use; the zero value injects no faults.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	// OnReset, if not nil, is called on DELETE to discard the stand-in's state.
	OnReset func()
}

// Set replaces the current settings.
func (i *Injector) Set(settings Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = settings
}

// Get returns the current settings.
func (i *Injector) Get() Settings {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings
}

// ServeHTTP calls OnReset on DELETE. With any other method, normally PUT, it
// replaces the settings with those in the JSON body.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		if i.OnReset != nil {
			i.OnReset()
		}
		return
	}
	var settings Settings
	err := json.NewDecoder(r.Body).Decode(&settings)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(settings)
}

// Abort panics with http.ErrAbortHandler, which makes the HTTP server close the
// connection without completing the response.
func Abort() { panic(http.ErrAbortHandler) }
