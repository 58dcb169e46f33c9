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
	writeJSON(w, e.reportedLoad(e.Faults.Get()))
}

// reportedLoad returns the last load report, after replacing it if it is at least
// LoadLag old and the load is not frozen.
func (e *Engine) reportedLoad(f fault.Settings) protocol.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.options.LoadLag && !f.FreezeLoad {
		e.reported = protocol.Load{Running: e.running, Queued: len(e.waiting), Slots: e.options.Slots, PendingPromptTokens: e.prefillTokens, Version: e.version, Leaving: f.Leaving}
		e.reportedAt = time.Now()
	}
	return e.reported
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events := e.cache.eventsAfter(after)
	seen := e.visible(events)
	writeJSON(w, protocol.CacheEvents{Start: e.options.Start, Events: seen})
}

// visible returns the events that are at least EventLag old, counted from the
// first call that was given them.
func (e *Engine) visible(events []protocol.CacheEvent) []protocol.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(events) > 0 {
		e.delayed = append(e.delayed, delayedEvents{now, events[len(events)-1].Sequence})
	}
	var limit uint64
	for len(e.delayed) > 0 && now.Sub(e.delayed[0].at) >= e.options.EventLag {
		limit = e.delayed[0].sequence
		if len(e.delayed) == 1 {
			break
		}
		e.delayed = e.delayed[1:]
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

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
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

// ApplyOrder records the order's token and starts loading its weight version. It
// reports false if ChecksOrders is set and a higher token was seen before.
func (e *Engine) ApplyOrder(in protocol.Order) (state protocol.OrderState, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && in.Token < e.orderToken {
		return protocol.OrderState{}, false
	}
	e.orderToken = max(e.orderToken, in.Token)
	if in.Version != e.version && in.Version != e.loading {
		e.loading = in.Version
		time.AfterFunc(e.options.LoadTime, func() { e.finishLoading(in.Version) })
	}
	return protocol.OrderState{Token: e.orderToken, Version: e.version, Loading: e.loading}, true
}

// finishLoading makes version the served one and clears the cache, unless a later
// order has replaced the load.
func (e *Engine) finishLoading(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading != version {
		return
	}
	e.loading = ""
	e.version = version
	e.cache.clear()
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, protocol.OrderState{Token: e.orderToken, Version: e.version, Loading: e.loading})
}
