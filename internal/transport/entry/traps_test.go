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

// request returns a chat request of the demo team.
func (r *runningEntry) request(body string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, r.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	return req
}

// TestNoHiddenResend has a service that keeps connections open and then closes one
// after reading a call. Left to itself, the HTTP library would send the call again.
func TestNoHiddenResend(t *testing.T) {
	s := newDeployment(t, engineOptions())
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
		t.Fatalf("the service received %d calls, want 2", n)
	}
	if second.status != http.StatusBadGateway || second.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("second: %+v", second)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	s := newDeployment(t, engineOptions())
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

func TestMismatchedAnswersAreNotForwarded(t *testing.T) {
	s := newDeployment(t, engineOptions(), engineOptions())
	s.declare()
	e := s.start()
	for _, stream := range []bool{false, true} {
		s.engines[0].Faults.Set(fault.Settings{Crossed: true})
		s.engines[1].Faults.Set(fault.Settings{Crossed: true})
		a := e.send(t, "POST", "/v1/chat/completions", chat("mine", stream, 2))
		if a.status != http.StatusBadGateway || a.header.Get(entry.HeaderOutcome) != "failed" || strings.Contains(a.body, "answer-") {
			t.Fatalf("stream %v: %+v", stream, a)
		}
		// One working engine is enough to get the right response.
		s.engines[1].Faults.Set(fault.Settings{})
		eventually(t, "the correct response", func() bool {
			body := chat("mine", stream, 2)
			a := e.send(t, "POST", "/v1/chat/completions", body)
			return strings.Contains(a.body, firstWord(t, body))
		})
	}
}

func TestMismatchedServiceAnswerIsUnknown(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	s.service.Faults.Set(fault.Settings{Crossed: true})
	a := e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
	if a.header.Get(entry.HeaderOutcome) != "unknown" {
		t.Fatalf("answer %+v", a)
	}
	s.service.Faults.Set(fault.Settings{})
	eventually(t, "the record's outcome is unknown", func() bool {
		a = e.send(t, "POST", "/v1/services/orders/quotes", "q1", entry.HeaderIdempotencyKey, "k1")
		return a.header.Get(entry.HeaderOutcome) == "unknown" && a.status == http.StatusBadGateway
	})
	if n := s.service.Count("POST /quotes q1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestBrokenStreamIsResumed has an engine close the connection after every four events.
// The caller must receive the complete stream, and the prompt must run only once.
func TestBrokenStreamIsResumed(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{CloseAfterEvents: 4})
	body := chat("long answer", true, 10)
	got := parseStream(t, e.send(t, "POST", "/v1/chat/completions", body).body)
	want := firstWord(t, body) + " w1 w2 w3 w4 w5 w6 w7 w8 w9"
	if diff := cmp.Diff(want, got.text); diff != "" || !got.complete {
		t.Fatalf("complete %v: %s", got.complete, diff)
	}
	if n := s.engines[0].RunsStarted(); n != 1 {
		t.Fatalf("the prompt ran %d times", n)
	}
}

// TestTruncatedStreamEndsWithError breaks the connection more often than a run is
// resumed: the caller must receive an error event and no end-of-stream marker.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{CloseAfterEvents: 2})
	got := parseStream(t, e.send(t, "POST", "/v1/chat/completions", chat("long answer", true, 50)).body)
	if got.complete || !strings.Contains(got.error, "stream_broken") {
		t.Fatalf("stream: %+v", got)
	}
}

// TestStreamResumesAtAnotherEntry resumes a stream at another entry with the cursor of
// the first, as a caller does whose entry has died. Another team must not be able to
// use the cursor, and a cursor sealed with the previous secret must still be accepted.
func TestStreamResumesAtAnotherEntry(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	first, second := s.start(), s.start()
	body := chat("resume me", true, 6)
	whole := parseStream(t, first.send(t, "POST", "/v1/chat/completions", body).body)
	resumed := parseStream(t, second.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[1]).body)
	if diff := cmp.Diff(" w2 w3 w4 w5", resumed.text); diff != "" || !resumed.complete {
		t.Fatalf("complete %v: %s", resumed.complete, diff)
	}
	otherTeam := second.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[1], "Authorization", "Bearer "+otherKey)
	if otherTeam.status != http.StatusNotFound {
		t.Fatalf("another team could use the cursor: %+v", otherTeam)
	}
	changed := s.start(func(e *entry.Entry) { e.Secrets = [][]byte{[]byte("the new secret of all"), []byte(secret)} })
	resumed = parseStream(t, changed.send(t, "GET", entry.PathStreams, "", "Last-Event-ID", whole.ids[3]).body)
	if diff := cmp.Diff(" w4 w5", resumed.text); diff != "" {
		t.Fatalf("after rotating the secret: %s", diff)
	}
}

// TestCallerDisconnectCancelsRun checks that the run is cancelled and its slot released
// when the caller disconnects.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	one := engineOptions()
	one.Slots, one.TokenInterval = 1, 50*time.Millisecond
	s := newDeployment(t, one)
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
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, firstWord(t, body)) {
		t.Fatalf("the slot was not released: %+v", a)
	}
}

// TestGracefulShutdownCompletesStreams stops an entry while a stream is in progress.
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	slow := engineOptions()
	slow.TokenInterval = 20 * time.Millisecond
	s := newDeployment(t, slow)
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
	eventually(t, "new requests are refused", func() bool {
		r, err := client.Do(e.request(chat("new", false, 1)))
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(entry.HeaderReason) == "entry_leaving"
	})
	got := parseStream(t, readAll(t, res))
	if !got.complete || !strings.HasPrefix(got.text, firstWord(t, body)) || !strings.HasSuffix(got.text, " w39") {
		t.Fatalf("the stream was truncated: %+v", got)
	}
	<-e.ended
}

// TestOtherWeightVersionIsNotUsed has an engine that serves another weight version than
// the one in force.
func TestOtherWeightVersionIsNotUsed(t *testing.T) {
	old, current := engineOptions(), engineOptions()
	old.Version = "v0"
	s := newDeployment(t, old, current)
	s.declare()
	e := s.start()
	for i := range 6 {
		body := chat(fmt.Sprint("prompt ", i), false, 1)
		eventually(t, "a response of the version in force", func() bool {
			return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, firstWord(t, body))
		})
	}
	if n := s.engines[0].RunsStarted(); n != 0 {
		t.Fatalf("the engine with another weight version ran %d prompts", n)
	}
}

// TestLeavingUpstreamGetsNoNewRequests has an engine that refuses runs because it is
// leaving, while the declared state still lists it.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	s := newDeployment(t, engineOptions(), engineOptions())
	s.declare()
	e := s.start()
	s.engines[0].Faults.Set(fault.Settings{Leaving: true})
	for i := range 8 {
		body := chat(fmt.Sprint("prompt ", i), false, 1)
		if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, firstWord(t, body)) {
			t.Fatalf("answer %+v", a)
		}
	}
	if n := s.engines[0].RunsStarted(); n != 0 {
		t.Fatalf("the leaving engine ran %d prompts", n)
	}
}

// TestHungUpstreamIsAbandoned has an engine that accepts connections and never answers,
// as a stopped process does: the prompt must run elsewhere.
func TestHungUpstreamIsAbandoned(t *testing.T) {
	s := newDeployment(t, engineOptions())
	var frozen atomic.Bool
	never := make(chan struct{})
	defer close(never)
	engineHandler := s.engines[0].Handler()
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			<-never
			return
		}
		engineHandler.ServeHTTP(w, r)
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
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, firstWord(t, body)) {
		t.Fatalf("answer %+v", a)
	}
}

// TestEarlierPollTimeoutsDoNotCancelNewAttempt has an engine that answers prompts but
// no polls, as one does that is short of CPU time. The second consecutive unanswered
// poll must not cancel a prompt that was sent after that poll.
func TestEarlierPollTimeoutsDoNotCancelNewAttempt(t *testing.T) {
	slow := engineOptions()
	slow.PrefillRate = 100
	s := newDeployment(t, slow)
	var pollsBlocked atomic.Bool
	var unanswered atomic.Int64
	real := s.engines[0].Handler()
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathLoad && pollsBlocked.Load() {
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
		return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, firstWord(t, body))
	})
	pollsBlocked.Store(true)
	eventually(t, "a second poll is not answered", func() bool { return unanswered.Load() == 2 })
	// The prompt runs for about 1.3 s: longer than the poll timeout, and well into the
	// pause before the next poll.
	body = chat(strings.Repeat("second ", 75), false, 1)
	if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, firstWord(t, body)) {
		t.Fatalf("answer %+v", a)
	}
}

// TestListedLeavingUpstreamGetsNoNewRequests has the platform's list report an engine
// as leaving while neither the declared state nor the engine itself does.
func TestListedLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	s := newDeployment(t, engineOptions(), engineOptions())
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
	eventually(t, "new requests go only to the other engine", func() bool {
		before := s.engines[0].RunsStarted()
		for i := range 8 {
			e.send(t, "POST", "/v1/chat/completions", chat(fmt.Sprint("prompt ", i), false, 1))
		}
		return s.engines[0].RunsStarted() == before
	})
	list.Store(`{"instances":[{"address":"` + address + `","state":"live"}]}`)
	eventually(t, "the engine is used again", func() bool {
		before := s.engines[0].RunsStarted()
		for i := range 8 {
			e.send(t, "POST", "/v1/chat/completions", chat(fmt.Sprint("prompt ", i), false, 1))
		}
		return s.engines[0].RunsStarted() > before
	})
}
