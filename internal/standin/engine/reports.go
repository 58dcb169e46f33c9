package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.lateLoad(e.Faults.Get()))
}

// lateLoad is the load as of the last report.
func (e *Engine) lateLoad(f fault.Settings) protocol.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportAt) >= e.options.LoadLag && !f.FreezeLoad {
		e.reported = protocol.Load{Running: e.running, Queued: len(e.waiting), Slots: e.options.Slots, PendingPromptTokens: e.reading, Version: e.version, Leaving: f.Leaving}
		e.reportAt = time.Now()
	}
	return e.reported
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events := e.cache.after(after)
	seen := e.visible(events)
	writeJSON(w, protocol.CacheEvents{Start: e.options.Start, Events: seen})
}

// visible hides events that are younger than the event lag.
func (e *Engine) visible(events []protocol.CacheEvent) []protocol.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(events) > 0 {
		e.events = append(e.events, lateEvents{now, events[len(events)-1].Sequence})
	}
	var limit uint64
	for len(e.events) > 0 && now.Sub(e.events[0].at) >= e.options.EventLag {
		limit = e.events[0].sequence
		if len(e.events) == 1 {
			break
		}
		e.events = e.events[1:]
	}
	n := 0
	for n < len(events) && events[n].Sequence <= limit {
		n++
	}
	return events[:n]
}

// Version returns the weight version being served.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in protocol.Order
	err := json.NewDecoder(r.Body).Decode(&in)
	if err != nil || in.Version == "" {
		http.Error(w, "version: a weight version is needed", http.StatusBadRequest)
		return
	}
	state, ok := e.ApplyOrder(in)
	if !ok {
		http.Error(w, "an order with a higher token was seen", http.StatusConflict)
		return
	}
	writeJSON(w, state)
}

// ApplyOrder takes an order; ok is false when a higher token was seen.
func (e *Engine) ApplyOrder(in protocol.Order) (state protocol.OrderState, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && in.Token < e.token {
		return protocol.OrderState{}, false
	}
	e.token = max(e.token, in.Token)
	if in.Version != e.version && in.Version != e.loading {
		e.loading = in.Version
		time.AfterFunc(e.options.LoadTime, func() { e.loaded(in.Version) })
	}
	return protocol.OrderState{Token: e.token, Version: e.version, Loading: e.loading}, true
}

// loaded puts a loaded version in force, unless another load has replaced it.
func (e *Engine) loaded(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading != version {
		return
	}
	e.loading = ""
	e.version = version
	e.cache.clear()
}

func (e *Engine) orders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, protocol.OrderState{Token: e.token, Version: e.version, Loading: e.loading})
}
