package serving_test

import (
	"context"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// cutOffEngine sends events up to last, and cuts an answer off when an event stays unread too long.
type cutOffEngine struct {
	last uint64
	size int
	// hangs keeps answers from ending after the last event.
	hangs bool
	// breakAfter, if set, is the number of the event after which the first answer breaks off.
	breakAfter uint64
	// after holds the event after which each attempt began. closedAt is when an answer was closed early, and
	// endedAt when the last one was read to its end.
	mu                sync.Mutex
	after             []uint64
	closedAt, endedAt atomic.Int64
}

func (e *cutOffEngine) Refuses(context.Context, registry.Instance) bool { return false }

func (e *cutOffEngine) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.after = append(e.after, a.After)
	s := &cutOffStream{engine: e, ctx: ctx, events: make(chan uint64, 4), closed: make(chan struct{}), raw: make([]byte, e.size)}
	last, breaks := e.last, len(e.after) == 1 && e.breakAfter > 0
	if breaks {
		last = e.breakAfter
	}
	go func() {
		defer close(s.events)
		for i := a.After + 1; i <= last; i++ {
			select {
			case <-time.After(pieceInterval):
			case <-s.closed:
				return
			}
			select {
			case s.events <- i:
			case <-time.After(cutOffAfter):
				s.cut.Store(true)
				return
			case <-s.closed:
				return
			}
		}
		s.cut.Store(breaks)
		if e.hangs {
			<-s.closed
		}
	}()
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: s}
}

// cutOffStream is one answer of cutOffEngine.
type cutOffStream struct {
	engine *cutOffEngine
	ctx    context.Context
	events chan uint64
	closed chan struct{}
	cut    atomic.Bool
	// raw is the last event: it is valid until the next one is read.
	raw []byte
}

func (s *cutOffStream) Next() (exchange.Event, bool, error) {
	select {
	case i, ok := <-s.events:
		switch {
		case ok:
			s.raw[0] = byte(i)
			return exchange.Event{Number: i, Raw: s.raw}, false, nil
		case s.cut.Load():
			return exchange.Event{}, false, io.ErrUnexpectedEOF
		}
		s.engine.endedAt.Store(int64(time.Now().UnixNano()))
		return exchange.Event{}, false, io.EOF
	case <-s.ctx.Done():
		return exchange.Event{}, false, s.ctx.Err()
	}
}

func (s *cutOffStream) Close() {
	s.engine.closedAt.Store(time.Now().UnixNano())
	close(s.closed)
}

// slowSink is a caller that takes slowWrite, or what pace returns, for each write, until it has taken
// stallAfter bytes, if that is set. The next write then fails after stall, or 10 s.
type slowSink struct {
	serving.Sink
	stallAfter int
	stall      time.Duration
	pace       func() time.Duration
	text       []byte
	begun      int
	end        string
}

func (s *slowSink) Begin(exchange.Head) error {
	s.begun++
	return nil
}

func (s *slowSink) Event(raw []byte, _ bool) error {
	if s.stallAfter > 0 && len(s.text) >= s.stallAfter {
		stall := 10 * time.Second
		if s.stall > 0 {
			stall = s.stall
		}
		<-time.After(stall)
		return os.ErrDeadlineExceeded
	}
	pace := slowWrite
	if s.pace != nil {
		pace = s.pace()
	}
	<-time.After(pace)
	s.text = append(s.text, raw...)
	return nil
}

func (s *slowSink) End()   { s.end = "whole" }
func (s *slowSink) Break() { s.end = "broken" }

// numbers returns the first byte of each event that the caller has taken.
func (s *slowSink) numbers(size int) []byte {
	var out []byte
	for i := 0; i+size <= len(s.text); i += size {
		out = append(out, s.text[i])
	}
	return out
}

func upTo(last uint64) []byte {
	var out []byte
	for i := range last {
		out = append(out, byte(i+1))
	}
	return out
}

// metric returns the value of a metric as it is served.
func metric(s *serving.Server, name string) string {
	w := httptest.NewRecorder()
	s.Metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value
		}
	}
	return ""
}

// tieredServer returns a server whose service is tiered and which holds at most the given number of bytes.
func tieredServer(t *testing.T, upstreams exchange.Upstreams, bytes int) *serving.Server {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc", Engine: &deployment.Engine{Slots: 9, MemoryTokens: 100_000, Models: []string{"m"}}}}}
	for rank, prefix := range []string{"/", "/b/", "/c/"} {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: prefix, Rank: rank, Kind: deployment.Stream, Resumable: true, Timeout: time.Hour, Objective: time.Second, Attempts: 3,
			Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		})
	}
	err := config.Check()
	if err != nil {
		t.Fatal(err)
	}
	view := &fleet.View{Entries: 1, Config: config, Instances: map[string][]registry.Instance{}}
	for _, id := range []string{"a", "b"} {
		view.Instances["svc"] = append(view.Instances["svc"], registry.Instance{ID: id, Address: id, Service: "svc", Slots: 9, Weights: map[string]uint64{"m": 7}})
	}
	s := &serving.Server{View: func() *fleet.View { return view }, Upstreams: upstreams, BufferBytes: bytes, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
	s.Allowance.Slack, s.Allowance.Window = 100, time.Minute
	return s
}

func serve(ctx context.Context, s *serving.Server, wait time.Duration, sink serving.Sink) {
	s.Serve(ctx, &exchange.Request{Host: "h", Path: "/", Arrived: clock.Now(), Wait: wait}, sink)
}
