// Package engine is a small stand-in for a model engine: OpenAI-compatible
// answers, priority, cancel, resume by offset, a bounded prefix cache with a
// salt, export and import of kept context, late and gappy cache events, lagging
// load reports, and fenced orders.
//
// It answers with made-up words at a set speed. Its kept context is made-up
// bytes that carry their key, so that reading a wrong block is noticed.
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

// Options are a stand-in engine's settings.
type Options struct {
	// Version is the weight version served at the start.
	Version string
	// Slots is how many runs go on at once, and Queue how many wait.
	Slots, Queue int
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// LoadLag is how old load reports are; EventLag delays cache events.
	LoadLag, EventLag time.Duration
	// LoadTime is how long loading a weight version takes.
	LoadTime time.Duration
	// ChecksOrders refuses orders with old tokens.
	ChecksOrders bool
	// KeepRuns is how long a finished run can be resumed.
	KeepRuns time.Duration
	// DefaultTokens is the length of an answer when the request sets none.
	DefaultTokens int
	// Start identifies this start of the process.
	Start string
}

// Engine is the stand-in. Make one with New.
type Engine struct {
	options Options
	cache   *cache
	// Faults can be set while the engine runs.
	Faults fault.Injector

	mu sync.Mutex
	// waiting holds the queue, best priority first.
	waiting []*ticket
	running int
	runs    map[string]*run
	ran     map[string]int
	version string
	token   uint64
	loading string
	// reading counts the prompt tokens that wait to be computed.
	reading  int
	reported protocol.Load
	reportAt time.Time
	events   []lateEvents
	// Imported counts blocks taken from stores.
	imported int
}

// lateEvents delays the sequence up to which cache events may be seen.
type lateEvents struct {
	at       time.Time
	sequence uint64
}

// New returns an engine with an empty cache.
func New(o Options) *Engine {
	e := &Engine{options: o, runs: map[string]*run{}, ran: map[string]int{}, version: o.Version}
	e.cache = newCache(o.CacheBlocks, func() int { return e.Faults.Get().GapEvery })
	return e
}

// Handler serves the engine's protocol.
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
	mux.HandleFunc("POST "+protocol.PathOrders, e.order)
	mux.HandleFunc("GET "+protocol.PathOrders, e.orders)
	mux.HandleFunc("GET /standin/ran", e.serveRan)
	return mux
}

// RunsStarted returns how many runs began.
func (e *Engine) RunsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.ran {
		total += n
	}
	return total
}

// Running returns how many runs go on now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) serveRan(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.ran)
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
	e.echo(w, n, f)
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
	if !e.enter(r) {
		e.refuse(w, http.StatusTooManyRequests, "the queue is full")
		return
	}
	e.begin(n)
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
	e.answerWhole(w, r, n, req, f)
}

// echo sets the headers that say whose answer this is.
func (e *Engine) echo(w http.ResponseWriter, n *run, f fault.Settings) {
	id := n.id
	if f.Crossed {
		id = "run-of-another"
	}
	w.Header().Set(protocol.HeaderRun, id)
	w.Header().Set(protocol.HeaderAttempt, n.attempt)
	w.Header().Set(protocol.HeaderVersion, n.version)
	w.Header().Set(protocol.HeaderLoad, e.lateLoad(f).String())
}

func (e *Engine) begin(n *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n.id] = n
	e.ran[n.id]++
}

// generate makes the run's events at the set speed, whether or not anybody
// reads them, until the end or a cancel.
func (e *Engine) generate(n *run, req *openai.Request, keys []prefix.Key, f fault.Settings) {
	defer func() {
		e.mu.Lock()
		e.release()
		e.mu.Unlock()
		time.AfterFunc(e.options.KeepRuns, func() { e.forget(n) })
	}()
	missing := n.prompt - n.cached
	prefill := time.Duration(float64(missing) / e.options.PrefillRate * float64(time.Second))
	e.read(missing)
	whole := pause(n, prefill+f.Slow)
	e.read(-missing)
	if !whole {
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

func (e *Engine) read(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reading += tokens
}

// pause waits; it reports false when the run was cancelled.
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

func (e *Engine) forget(n *run) {
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
		events, ended, grown := n.after(offset)
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
		case <-grown:
		case <-n.cancelled:
			fault.Abort()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, n *run, req *openai.Request, f fault.Settings) {
	for {
		events, ended, grown := n.after(0)
		if ended {
			if f.CloseBeforeReply {
				fault.Abort()
			}
			var text strings.Builder
			for i := range events {
				text.WriteString(word(req.Text(), i))
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(whole(n, req.Model(), text.String(), len(events)))
			return
		}
		select {
		case <-grown:
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
	e.echo(w, n, f)
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
