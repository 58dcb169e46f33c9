package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// forgingEngine answers every prompt with the same stream, whose weight version and
// event are set by the test; the run and attempt headers are correct.
type forgingEngine struct {
	version, event string
	requests       atomic.Int64
}

func (l *forgingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathLoad {
		_, _ = io.WriteString(w, `{"slots":8,"version":"v1"}`)
		return
	}
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	l.requests.Add(1)
	run := r.Header.Get(engine.HeaderRun)
	w.Header().Set(engine.HeaderRun, run)
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	w.Header().Set(engine.HeaderVersion, l.version)
	_, _ = io.WriteString(w, strings.ReplaceAll(l.event, "RUN", run)+"data: [DONE]\n\n")
}

// TestInvalidStreamsAreNotForwarded has an engine whose streams have the right status
// and run ID but invalid events or another weight version. None of their content may
// reach the caller.
func TestInvalidStreamsAreNotForwarded(t *testing.T) {
	const good = "id: 1\ndata: {\"id\":\"RUN\",\"choices\":[{\"delta\":{\"content\":\"poison\"}}]}\n\n"
	cases := []struct{ name, version, event string }{
		{"event of another run", "v1", strings.ReplaceAll(good, "RUN", "run-of-another-1")},
		{"another run's event with the right run id in its text", "v1", strings.ReplaceAll(strings.ReplaceAll(good, "RUN", "run-of-another-1"), "poison", `poison \"id\":\"RUN\"`)},
		{"gap in event numbers", "v1", strings.ReplaceAll(good, "id: 1", "id: 2")},
		{"no event number", "v1", strings.ReplaceAll(good, "id: 1\n", "")},
		{"another weight version", "v0", good},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &forgingEngine{version: c.version, event: c.event}
			s := newDeployment(t)
			s.docs["upstreams"] = fmt.Sprintf("upstreams:\n  - {name: u1, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 1000, link_bytes_per_second: 1e9}\n", serve(t, l))
			s.declare()
			e := s.start()
			var a answer
			eventually(t, "the engine received a prompt", func() bool {
				a = e.send(t, "POST", "/v1/chat/completions", chat("x", true, 1))
				return l.requests.Load() > 0
			})
			if strings.Contains(a.body, "poison") || a.header.Get(entry.HeaderOutcome) != "failed" {
				t.Fatalf("answer %+v", a)
			}
		})
	}
}

// TestRepeatableCallIsNotRedirected covers calls whose body can be sent again: for
// these the HTTP library would follow the redirect.
func TestRepeatableCallIsNotRedirected(t *testing.T) {
	s := newDeployment(t, engineOptions())
	var reached atomic.Int64
	target := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	s.declare()
	e := s.start()
	s.service.Faults.Set(fault.Settings{Redirect: "http://" + target + "/quotes"})
	a := e.send(t, "PUT", "/v1/services/orders/quotes", "q1")
	if reached.Load() != 0 || a.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("reached %d, answer %+v", reached.Load(), a)
	}
}
