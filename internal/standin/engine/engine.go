// Package engine is a small stand-in for a model engine: OpenAI-compatible
// responses, a priority queue, cancellation, resumption by event offset, a bounded
// and salted prefix cache, export and import of cached blocks, delayed and
// incomplete cache events, delayed load reports, and orders with fencing tokens.
//
// It generates placeholder words at a configured rate. The data of a cached block
// is its key repeated, so that reading the wrong block is detected.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Options configures an Engine.
type Options struct {
	// Version is the weight version served initially.
	Version string
	// Slots is the maximum number of concurrent runs, and Queue the maximum number
	// of requests that wait for a slot.
	Slots, Queue int
	// PrefillRate is the speed of prompt processing in tokens per second.
	PrefillRate float64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadLag is the age at which a load report is replaced by a new one; EventLag
	// is the delay of cache events.
	LoadLag, EventLag time.Duration
	// LoadTime is the time taken to load a weight version.
	LoadTime time.Duration
	// ChecksOrders rejects orders whose token is below the highest one seen.
	ChecksOrders bool
	// KeepRuns is how long a run can still be resumed after its end.
	KeepRuns time.Duration
	// DefaultTokens is the number of tokens generated when the request sets no
	// limit.
	DefaultTokens int
	// Start identifies this start of the process.
	Start string
}

// Engine is the stand-in server. Create one with New.
type Engine struct {
	options Options
	cache   *cache
	// Faults can be changed while the engine runs.
	Faults fault.Injector

	mu sync.Mutex
	// waiting is the queue in ascending order of the priority number: the lowest
	// number is served first.
	waiting     []*waiter
	running     int
	runs        map[string]*run
	startsByRun map[string]int
	version     string
	orderToken  uint64
	loading     string
	// prefillTokens counts the uncached prompt tokens of the runs that are in
	// prefill.
	prefillTokens int
	reported      protocol.Load
	reportedAt    time.Time
	delayed       []delayedEvents
	// importedBlocks counts the blocks imported from stores.
	importedBlocks int
}

// delayedEvents records that the events up to sequence existed at a given time;
// they become visible EventLag later.
type delayedEvents struct {
	at       time.Time
	sequence uint64
}

// New returns an engine with an empty cache.
func New(o Options) *Engine {
	e := &Engine{options: o, runs: map[string]*run{}, startsByRun: map[string]int{}, version: o.Version}
	e.cache = newCache(o.CacheBlocks, func() int { return e.Faults.Get().GapEvery })
	return e
}

// Handler returns the handler for the engine's protocol, the fault settings and
// the counts of started runs.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &e.Faults)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("GET "+protocol.PathRuns+"{id}/events", e.resume)
	mux.HandleFunc("DELETE "+protocol.PathRuns+"{id}", e.cancel)
	mux.HandleFunc("GET "+protocol.PathLoad, e.load)
	mux.HandleFunc("GET "+protocol.PathEvents, e.cacheEvents)
	mux.HandleFunc("POST "+protocol.PathImport, e.importBlocks)
	mux.HandleFunc("POST "+protocol.PathExport, e.exportBlocks)
	mux.HandleFunc("POST "+protocol.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+protocol.PathOrders, e.serveOrderState)
	mux.HandleFunc("GET /standin/ran", e.serveStarts)
	return mux
}

// RunsStarted returns the number of runs started so far.
func (e *Engine) RunsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.startsByRun {
		total += n
	}
	return total
}

// Running returns the number of slots in use.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) serveStarts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.startsByRun)
}

func (e *Engine) refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(protocol.HeaderNotRun, "true")
	http.Error(w, reason, status)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	parse := openai.ParseCompletion
	if chat {
		parse = openai.ParseChat
	}
	req, err := parse(body)
	f := e.Faults.Get()
	n := newRun(r.Header.Get(protocol.HeaderRun), r.Header.Get(protocol.HeaderAttempt), e.Version())
	n.chat = chat
	e.setRunHeaders(w, n, f)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	want := r.Header.Get(protocol.HeaderVersion)
	if want != "" && want != n.version {
		e.refuse(w, http.StatusConflict, "another weight version is served")
		return
	}
	if f.Leaving {
		w.Header().Set(protocol.HeaderLeaving, "true")
	}
	if f.Refuse || f.Leaving {
		e.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if !e.acquireSlot(r) {
		e.refuse(w, http.StatusTooManyRequests, "the queue is full")
		return
	}
	e.registerRun(n)
	keys := prefix.Chain(r.Header.Get(protocol.HeaderSalt), req.Text())
	matched := e.cache.match(keys)
	n.prompt = prefix.Tokens(len(req.Text()))
	n.cached = matched * prefix.BlockTokens
	w.Header().Set(protocol.HeaderCached, strconv.Itoa(n.cached))
	w.Header().Set(protocol.HeaderPrompt, strconv.Itoa(n.prompt))
	go e.generate(n, req, keys, f)
	if req.Stream() {
		e.stream(w, r, n, 0, f)
		return
	}
	e.writeCompletion(w, r, n, req, f)
}

// setRunHeaders sets the response headers that identify the run, its attempt and
// weight version, and the header that reports the load.
func (e *Engine) setRunHeaders(w http.ResponseWriter, n *run, f fault.Settings) {
	id := n.id
	if f.Crossed {
		id = "run-of-another"
	}
	w.Header().Set(protocol.HeaderRun, id)
	w.Header().Set(protocol.HeaderAttempt, n.attempt)
	w.Header().Set(protocol.HeaderVersion, n.version)
	w.Header().Set(protocol.HeaderLoad, e.reportedLoad(f).String())
}

func (e *Engine) registerRun(n *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n.id] = n
	e.startsByRun[n.id]++
}

// generate produces the run's events at the configured rate until the run ends or
// is cancelled, whether or not a client reads them.
func (e *Engine) generate(n *run, req *openai.Request, keys []prefix.Key, f fault.Settings) {
	defer func() {
		e.mu.Lock()
		e.releaseSlot()
		e.mu.Unlock()
		time.AfterFunc(e.options.KeepRuns, func() { e.removeRun(n) })
	}()
	uncached := n.prompt - n.cached
	prefill := time.Duration(float64(uncached) / e.options.PrefillRate * float64(time.Second))
	e.addPrefillTokens(uncached)
	completed := pause(n, prefill+f.Slow)
	e.addPrefillTokens(-uncached)
	if !completed {
		return
	}
	e.cache.add(keys)
	tokens := req.MaxTokens()
	if tokens == 0 {
		tokens = e.options.DefaultTokens
	}
	for i := range tokens {
		if i > 0 && !pause(n, e.options.TokenInterval) {
			return
		}
		last := i == tokens-1
		finish := ""
		if last {
			finish = "stop"
		}
		n.add(chunk(n, req.Model(), word(req.Text(), i), finish), last)
	}
}

func (e *Engine) addPrefillTokens(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillTokens += tokens
}

// pause waits for d and reports false if the run is cancelled meanwhile.
func pause(n *run, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.cancelled:
		return false
	}
}

func (e *Engine) removeRun(n *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[n.id] == n {
		delete(e.runs, n.id)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, n *run, offset int, f fault.Settings) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	sent := 0
	for {
		events, ended, changed := n.eventsFrom(offset)
		for _, data := range events {
			offset++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
			sent++
			if f.CloseAfterEvents > 0 && sent >= f.CloseAfterEvents {
				_ = out.Flush()
				fault.Abort()
			}
		}
		if ended {
			io.WriteString(w, "data: "+openai.Done+"\n\n")
			return
		}
		_ = out.Flush()
		select {
		case <-changed:
		case <-n.cancelled:
			fault.Abort()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, n *run, req *openai.Request, f fault.Settings) {
	for {
		events, ended, changed := n.eventsFrom(0)
		if ended {
			if f.CloseBeforeReply {
				fault.Abort()
			}
			var text strings.Builder
			for i := range events {
				text.WriteString(word(req.Text(), i))
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(completion(n, req.Model(), text.String(), len(events)))
			return
		}
		select {
		case <-changed:
		case <-n.cancelled:
			fault.Abort()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n, ok := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(r.Header.Get(protocol.HeaderLastEvent))
	if err != nil || offset < 0 {
		http.Error(w, "Last-Event-ID: an offset is needed", http.StatusBadRequest)
		return
	}
	f := e.Faults.Get()
	e.setRunHeaders(w, n, f)
	e.stream(w, r, n, offset, f)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n, ok := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	n.cancel()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
