package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// overloadedUpstream refuses every run with 503 and a Retry-After header.
type overloadedUpstream struct {
	retryAfter string
	requests   atomic.Int64
}

func (u *overloadedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathLoad {
		_, _ = io.WriteString(w, `{"slots":8,"version":"v1"}`)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == engine.PathEvents {
		http.NotFound(w, r)
		return
	}
	u.requests.Add(1)
	w.Header().Set(engine.HeaderRun, r.Header.Get(engine.HeaderRun))
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	w.Header().Set(engine.HeaderNotRun, "true")
	w.Header().Set("Retry-After", u.retryAfter)
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// Guards against a fault in which an upstream that had refused a run with Retry-After
// was sent the next one at once. Prompts, repeatable calls and calls that run once must
// not be sent to it during the backoff, and their callers must be told when it ends.
func TestUpstreamRetryAfterIsRespected(t *testing.T) {
	prompts, calls := &overloadedUpstream{retryAfter: "30"}, &overloadedUpstream{retryAfter: "30.5"}
	s := newDeployment(t)
	s.docs["upstreams"] = fmt.Sprintf("upstreams:\n  - {name: u1, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 1000, link_bytes_per_second: 1e9}\n", serve(t, prompts))
	s.docs["services"] = fmt.Sprintf("services:\n  - {name: orders, instances: [%q], not_repeatable: [\"POST *\"]}\n", serve(t, calls))
	s.declare()
	e := s.start()
	prompt := func() answer { return e.send(t, "POST", "/v1/chat/completions", chat("x", true, 1)) }
	eventually(t, "the engine received a prompt", func() bool { prompt(); return prompts.requests.Load() > 0 })
	_ = e.send(t, "GET", "/v1/services/orders/x", "")
	before := []int64{prompts.requests.Load(), calls.requests.Load()}
	for kind, a := range map[string]answer{
		"prompt": prompt(), "repeatable call": e.send(t, "GET", "/v1/services/orders/x", ""),
		"at-most-once call": e.send(t, "POST", "/v1/services/orders/x", "q", entry.HeaderIdempotencyKey, "k"),
	} {
		after, err := strconv.Atoi(a.header.Get("Retry-After"))
		if err != nil || after < 20 || after > 31 {
			t.Errorf("%s: Retry-After is %q", kind, a.header.Get("Retry-After"))
		}
		if diff := cmp.Diff([]string{"503", "upstream_resting"}, []string{fmt.Sprint(a.status), a.header.Get(entry.HeaderReason)}); diff != "" {
			t.Error(kind, diff)
		}
	}
	if diff := cmp.Diff(before, []int64{prompts.requests.Load(), calls.requests.Load()}); diff != "" {
		t.Error("runs sent to upstreams during their backoff: ", diff)
	}
}
