package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

func readAll(t *testing.T, res *http.Response) string {
	t.Helper()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func errorOf(t *testing.T, body string) (code, param string) {
	t.Helper()
	var in struct {
		Error struct {
			Code  string  `json:"code"`
			Param *string `json:"param"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &in); err != nil {
		t.Fatalf("not an error body: %q", body)
	}
	if in.Error.Param != nil {
		param = *in.Error.Param
	}
	return in.Error.Code, param
}

// request makes a chat request of the demo team.
func (r *running) request(body string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, r.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	return req
}

// TestNoHiddenResend has a service that keeps connections and then closes one
// after reading a call. The HTTP library by itself would send the call again.
func TestNoHiddenResend(t *testing.T) {
	s := newSite(t, engineOptions())
	var calls atomic.Int64
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set("X-Run-Id", r.Header.Get("X-Run-Id"))
		w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
		if calls.Add(1) > 1 {
			fault.Abort()
		}
	}))
	s.docs["services"] = "services:\n  - {name: orders, instances: [\"" + address + "\"], not_repeatable: [\"POST *\"]}\n"
	s.declare()
	e := s.start()
	first := e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
	if first.status != http.StatusOK {
		t.Fatalf("first: %+v", first)
	}
	second := e.send(t, "POST", "/v1/services/orders/quotes", "q2", entry.HeaderIdempotencyKey, "k2")
	if n := calls.Load(); n != 2 {
		t.Fatalf("the service saw %d calls, not 2", n)
	}
	if second.status != http.StatusBadGateway || second.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("second: %+v", second)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	s := newSite(t, engineOptions())
	var reached atomic.Int64
	target := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	s.declare()
	e := s.start()
	s.service.Faults.Set(fault.Settings{Redirect: "http://" + target + "/quotes"})
	a := e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
	if reached.Load() != 0 || a.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("reached %d, answer %+v", reached.Load(), a)
	}
}

func TestCrossedAnswersReachNobody(t *testing.T) {
	s := newSite(t, engineOptions(), engineOptions())
	s.declare()
	e := s.start()
	for _, stream := range []bool{false, true} {
		s.engines[0].Faults.Set(fault.Settings{Crossed: true})
		s.engines[1].Faults.Set(fault.Settings{Crossed: true})
		a := e.send(t, "POST", "/v1/chat/completions", chat("mine", stream, 2))
		if a.status != http.StatusBadGateway || a.header.Get(entry.HeaderOutcome) != "failed" || strings.Contains(a.body, "answer-") {
			t.Fatalf("stream %v: %+v", stream, a)
		}
		// One engine in order is enough for the right answer.
		s.engines[1].Faults.Set(fault.Settings{})
		eventually(t, "the right answer", func() bool {
			body := chat("mine", stream, 2)
			a := e.send(t, "POST", "/v1/chat/completions", body)
			return strings.Contains(a.body, mark(t, body))
		})
	}
}

func TestCrossedServiceAnswerIsUnknown(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	e := s.start()
	s.service.Faults.Set(fault.Settings{Crossed: true})
	a := e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
	if a.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("answer %+v", a)
	}
	s.service.Faults.Set(fault.Settings{})
	eventually(t, "the record says unknown", func() bool {
		a = e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
		return a.header.Get(entry.HeaderOutcome) == "unknown" && a.status == http.StatusBadGateway
	})
	if n := s.service.Count("POST /quotes q1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestBrokenStreamIsResumed cuts the engine's connection after each few events.
func TestBrokenStreamIsResumed(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{CloseAfterEvents: 4})
	body := chat("long answer", true, 10)
	got := parseStream(t, e.send(t, "POST", "/v1/chat/completions", body).body)
	want := mark(t, body) + " w1 w2 w3 w4 w5 w6 w7 w8 w9"
	if diff := cmp.Diff(want, got.text); diff != "" || !got.whole {
		t.Fatalf("whole %v: %s", got.whole, diff)
	}
	if n := s.engines[0].Ran(); n != 1 {
		t.Fatalf("the prompt ran %d times", n)
	}
}

// TestTruncatedStreamIsNotWhole cuts the connection more often than a run is
// picked up again: the caller must see an error and no end mark.
func TestTruncatedStreamIsNotWhole(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{CloseAfterEvents: 2})
	got := parseStream(t, e.send(t, "POST", "/v1/chat/completions", chat("long answer", true, 50)).body)
	if got.whole || !strings.Contains(got.error, "stream_broken") {
		t.Fatalf("stream: %+v", got)
	}
}

// TestStreamGoesOnAtAnotherEntry takes a cursor from one entry to another, as a
// caller does whose entry has died.
func TestStreamGoesOnAtAnotherEntry(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	first, second := s.start(), s.start()
	body := chat("resume me", true, 6)
	whole := parseStream(t, first.send(t, "POST", "/v1/chat/completions", body).body)
	rest := parseStream(t, second.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[1]).body)
	if diff := cmp.Diff(" w2 w3 w4 w5", rest.text); diff != "" || !rest.whole {
		t.Fatalf("whole %v: %s", rest.whole, diff)
	}
	stranger := second.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[1], "Authorization", "Bearer "+otherKey)
	if stranger.status != http.StatusNotFound {
		t.Fatalf("another team opened the cursor: %+v", stranger)
	}
	changed := s.start(func(e *entry.Entry) { e.Secrets = [][]byte{[]byte("the new secret of all"), []byte(secret)} })
	rest = parseStream(t, changed.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[3]).body)
	if diff := cmp.Diff(" w4 w5", rest.text); diff != "" {
		t.Fatalf("after a change of the secret: %s", diff)
	}
}

// TestVanishedCallerEndsItsRun checks that the run is cancelled and the slot
// returned when the caller goes away.
func TestVanishedCallerEndsItsRun(t *testing.T) {
	one := engineOptions()
	one.Slots, one.TokenInterval = 1, 50*time.Millisecond
	s := newSite(t, one)
	s.declare()
	e := s.start()
	ctx, cancel := context.WithCancel(context.Background())
	res, err := client.Do(e.request(chat("endless", true, 100000)).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = bufio.NewReader(res.Body).ReadString('\n')
	cancel()
	res.Body.Close()
	eventually(t, "the engine's slot is free", func() bool { return s.engines[0].Running() == 0 })
	body := chat("next", false, 1)
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, mark(t, body)) {
		t.Fatalf("the slot was not returned: %+v", a)
	}
}

// TestPlannedStopCutsNothingOff stops an entry while a stream is under way.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	slow := engineOptions()
	slow.TokenInterval = 20 * time.Millisecond
	s := newSite(t, slow)
	s.declare()
	e := s.start()
	body := chat("long", true, 40)
	res, err := client.Do(e.request(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	e.stop()
	eventually(t, "the entry is not ready", func() bool {
		r, err := client.Get(e.operators + "/readyz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable
	})
	eventually(t, "new work is refused", func() bool {
		r, err := client.Do(e.request(chat("new", false, 1)))
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(entry.HeaderReason) == "entry_leaving"
	})
	got := parseStream(t, readAll(t, res))
	if !got.whole || !strings.HasPrefix(got.text, mark(t, body)) || !strings.HasSuffix(got.text, " w39") {
		t.Fatalf("the stream was cut off: %+v", got)
	}
	<-e.ended
}

// TestOtherWeightVersionIsNotUsed has an engine that serves another version than
// the one in force.
func TestOtherWeightVersionIsNotUsed(t *testing.T) {
	old, current := engineOptions(), engineOptions()
	old.Version = "v0"
	s := newSite(t, old, current)
	s.declare()
	e := s.start()
	for i := range 6 {
		body := chat(fmt.Sprint("prompt ", i), false, 1)
		eventually(t, "an answer of the version in force", func() bool {
			return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, mark(t, body))
		})
	}
	if n := s.engines[0].Ran(); n != 0 {
		t.Fatalf("the engine with other weights ran %d prompts", n)
	}
}

// TestUpstreamThatLeavesGetsNoNewWork lets an engine refuse as leaving while the
// declared state still shows it.
func TestUpstreamThatLeavesGetsNoNewWork(t *testing.T) {
	s := newSite(t, engineOptions(), engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{Leaving: true})
	for i := range 8 {
		body := chat(fmt.Sprint("prompt ", i), false, 1)
		if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, mark(t, body)) {
			t.Fatalf("answer %+v", a)
		}
	}
	if n := s.engines[0].Ran(); n != 0 {
		t.Fatalf("the leaving engine ran %d prompts", n)
	}
}

// TestFrozenUpstreamIsGivenUp has an engine that accepts and never answers, as a
// stopped process does: the prompt must run elsewhere.
func TestFrozenUpstreamIsGivenUp(t *testing.T) {
	s := newSite(t, engineOptions())
	var frozen atomic.Bool
	never := make(chan struct{})
	defer close(never)
	real := s.engines[0].Handler()
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			<-never
			return
		}
		real.ServeHTTP(w, r)
	}))
	healthy := serve(t, s.engines[0].Handler())
	const line = "  - {name: %s, address: %q, failure_domain: %s, model: demo, slots: 8, prefill_tokens_per_second: 1000, link_bytes_per_second: 1e9}\n"
	s.docs["upstreams"] = "upstreams:\n" + fmt.Sprintf(line, "near", address, "d1") + fmt.Sprintf(line, "far", healthy, "d2")
	s.declare()
	e := s.start()
	body := chat("first", false, 1)
	eventually(t, "the near engine is used", func() bool {
		e.send(t, "POST", "/v1/chat/completions", body)
		return strings.Contains(e.get(t, "/metrics"), `shedrock_attempts_total{end="whole",upstream="near"}`)
	})
	frozen.Store(true)
	body = chat("second", false, 1)
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, mark(t, body)) {
		t.Fatalf("answer %+v", a)
	}
}

// TestEarlierSilenceEndsNoNewAttempt has an engine answer prompts and no questions, as one does
// that is short of processor time: the second question in a row that is not answered must not
// end a prompt that was sent after it.
func TestEarlierSilenceEndsNoNewAttempt(t *testing.T) {
	slow := engineOptions()
	slow.PrefillRate = 100
	s := newSite(t, slow)
	var mute atomic.Bool
	var unanswered atomic.Int64
	real := s.engines[0].Handler()
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathLoad && mute.Load() {
			unanswered.Add(1)
			<-r.Context().Done()
			return
		}
		real.ServeHTTP(w, r)
	}))
	s.docs["upstreams"] = fmt.Sprintf("upstreams:\n  - {name: u1, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 100, link_bytes_per_second: 1e9}\n", address)
	s.declare()
	e := s.start()
	body := chat("first", false, 1)
	eventually(t, "the engine is used", func() bool {
		return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, mark(t, body))
	})
	mute.Store(true)
	eventually(t, "a second question is not answered", func() bool { return unanswered.Load() == 2 })
	// It runs for some 1.3 s: longer than the question waits, and well into the pause before the next.
	body = chat(strings.Repeat("second ", 75), false, 1)
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, mark(t, body)) {
		t.Fatalf("answer %+v", a)
	}
}

// TestListedLeavingUpstreamGetsNoNewWork has the platform's list name an engine as
// leaving while the declared state and the engine itself say nothing.
func TestListedLeavingUpstreamGetsNoNewWork(t *testing.T) {
	s := newSite(t, engineOptions(), engineOptions())
	var list atomic.Value
	list.Store(`{"instances":[]}`)
	platform := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, list.Load().(string))
	}))
	s.declare()
	e := s.start(func(e *entry.Entry) { e.Instances = "http://" + platform + "/instances" })
	_, rest, _ := strings.Cut(s.docs["upstreams"], "address: \"")
	address, _, _ := strings.Cut(rest, "\"")
	list.Store(`{"instances":[{"address":"` + address + `","state":"leaving"}]}`)
	eventually(t, "new work goes elsewhere only", func() bool {
		before := s.engines[0].Ran()
		for i := range 8 {
			e.send(t, "POST", "/v1/chat/completions", chat(fmt.Sprint("prompt ", i), false, 1))
		}
		return s.engines[0].Ran() == before
	})
	list.Store(`{"instances":[{"address":"` + address + `","state":"live"}]}`)
	eventually(t, "it is used again", func() bool {
		before := s.engines[0].Ran()
		for i := range 8 {
			e.send(t, "POST", "/v1/chat/completions", chat(fmt.Sprint("prompt ", i), false, 1))
		}
		return s.engines[0].Ran() > before
	})
}
