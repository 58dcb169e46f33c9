package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

func TestPromptIsServedWholeAndStreamed(t *testing.T) {
	s := newDeployment(t, engineOptions(), engineOptions())
	s.declare()
	e := s.start()
	body := chat("which valve sticks", false, 3)
	response := e.send(t, "POST", "/v1/chat/completions", body)
	if !strings.Contains(response.body, firstWord(t, body)+` w1 w2"`) || response.header.Get(entry.HeaderOutcome) != "ran" {
		t.Fatalf("response: %+v", response)
	}
	body = chat("which valve sticks", true, 3)
	got := parseStream(t, e.send(t, "POST", "/v1/chat/completions", body).body)
	if diff := cmp.Diff(firstWord(t, body)+" w1 w2", got.text); diff != "" || !got.complete {
		t.Fatalf("stream (complete: %v): %s", got.complete, diff)
	}
}

// TestRepeatedPromptReusesStoredContext fails when placement ignores the directory, or
// when nothing is exported to the store.
func TestRepeatedPromptReusesStoredContext(t *testing.T) {
	small := engineOptions()
	small.CacheBlocks = 40
	small.PrefillRate = 2000
	s := newDeployment(t, small)
	s.declare()
	e := s.start()
	longPrompt := strings.Repeat("manual page ", 700)
	e.send(t, "POST", "/v1/chat/completions", chat(longPrompt, false, 1))
	eventually(t, "the context is stored", func() bool {
		return strings.Contains(e.get(t, "/metrics"), `shedrock_link_bytes_total{direction="in"`)
	})
	// Other prompts evict the context from the engine's cache; the entry learns of the
	// eviction from cache events some time later.
	eventually(t, "the repeated prompt's context is fetched", func() bool {
		for _, other := range []string{"a ", "b ", "c "} {
			e.send(t, "POST", "/v1/chat/completions", chat(strings.Repeat(other, 2000), false, 1))
		}
		e.send(t, "POST", "/v1/chat/completions", chat(longPrompt, false, 1))
		return s.engines[0].ImportedBlocks() > 0
	})
}

// get returns a page from the operators' listener.
func (r *runningEntry) get(t *testing.T, path string) string {
	t.Helper()
	res, err := client.Get(r.operators + path)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return readAll(t, res)
}

func TestBadInput(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start(func(e *entry.Entry) { e.MaxBody = 4096 })
	valid := chat("hello", false, 1)
	type refusal struct {
		Status          int
		Code, Param     string
		Outcome, Reason string
	}
	cases := []struct {
		name, method, path, body string
		headers                  []string
		want                     refusal
	}{
		{"unknown key", "POST", "/v1/chat/completions", valid, []string{"Authorization", "Bearer nobody"}, refusal{401, "invalid_api_key", "", "not run", ""}},
		{"no key", "POST", "/v1/chat/completions", valid, []string{"Authorization", ""}, refusal{401, "invalid_api_key", "", "not run", ""}},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(valid, "demo", "secret", 1), nil, refusal{404, "model_not_found", "model", "not run", ""}},
		{"not JSON", "POST", "/v1/chat/completions", "{", nil, refusal{400, "invalid_body", "body", "not run", ""}},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":"demo","messages":[{"role":7}]}`, nil, refusal{400, "invalid_body", "messages.role", "not run", ""}},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"demo"}`, nil, refusal{400, "invalid_body", "messages", "not run", ""}},
		{"no role", "POST", "/v1/chat/completions", `{"model":"demo","messages":[{"content":"x"}]}`, nil, refusal{400, "invalid_body", "messages[0].role", "not run", ""}},
		{"no prompt", "POST", "/v1/completions", `{"model":"demo"}`, nil, refusal{400, "invalid_body", "prompt", "not run", ""}},
		{"negative length", "POST", "/v1/completions", `{"model":"demo","prompt":"x","max_tokens":-1}`, nil, refusal{400, "invalid_body", "max_tokens", "not run", ""}},
		{"too large", "POST", "/v1/chat/completions", chat(strings.Repeat("x", 5000), false, 1), nil, refusal{413, "body_too_large", "", "not run", ""}},
		{"class", "POST", "/v1/chat/completions", valid, []string{entry.HeaderClass, "urgent"}, refusal{400, "invalid_class", entry.HeaderClass, "not run", ""}},
		{"deadline", "POST", "/v1/chat/completions", valid, []string{entry.HeaderDeadline, "soon"}, refusal{400, "invalid_deadline", entry.HeaderDeadline, "not run", ""}},
		{"no idempotency key", "POST", "/v1/services/orders/quotes", "x", nil, refusal{400, "missing_idempotency_key", entry.HeaderIdempotencyKey, "not run", ""}},
		{"unknown service", "POST", "/v1/services/payments/quotes", "x", nil, refusal{404, "service_not_found", "", "not run", ""}},
		{"unknown path", "GET", "/v2", "", nil, refusal{404, "unknown_path", "", "not run", ""}},
		{"forged cursor", "GET", entry.PathStreams, "", []string{"Last-Event-ID", "AAAA"}, refusal{404, "stream_not_found", "Last-Event-ID", "not run", ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := e.send(t, c.method, c.path, c.body, c.headers...)
			code, param := errorOf(t, a.body)
			got := refusal{a.status, code, param, a.header.Get(entry.HeaderOutcome), a.header.Get(entry.HeaderReason)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff, a.body)
			}
		})
	}
	if n := s.engines[0].RunsStarted(); n != 0 {
		t.Fatalf("%d refused requests ran", n)
	}
}

func TestHeaderFloodIsRefused(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	a := e.send(t, "GET", "/v1/models", "", "X-Flood", strings.Repeat("x", 64<<10))
	if a.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("status %d", a.status)
	}
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	slow := engineOptions()
	slow.Slots, slow.Queue = 1, 0
	s := newDeployment(t, slow)
	s.engines[0].Faults.Set(fault.Settings{Slow: testTimeout})
	s.declare()
	e := s.start(func(e *entry.Entry) { e.MaxWaiting = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// One of these runs and one waits. A request of the loop below may wait first, and the second of these is then
	// refused and sent again.
	for range 2 {
		go func() {
			for ctx.Err() == nil {
				res, err := client.Do(e.request(chat("long", true, 1)).WithContext(ctx))
				if err == nil {
					_ = res.Body.Close()
				}
			}
		}()
	}
	eventually(t, "one request runs", func() bool { return s.engines[0].Running() == 1 })
	var last answer
	eventually(t, "a request is refused", func() bool {
		last = e.send(t, "POST", "/v1/chat/completions", chat("x", false, 1), entry.HeaderDeadline, "50")
		return last.status == http.StatusTooManyRequests && last.header.Get(entry.HeaderReason) == "queue_full"
	})
	if last.header.Get("Retry-After") == "" || last.header.Get(entry.HeaderOutcome) != "not run" {
		t.Fatalf("refusal: %+v", last)
	}
}
