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

// tired refuses every run and asks for rest.
type tired struct {
	rest  string
	asked atomic.Int64
}

func (u *tired) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathLoad {
		_, _ = io.WriteString(w, `{"slots":8,"version":"v1"}`)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == engine.PathEvents {
		http.NotFound(w, r)
		return
	}
	u.asked.Add(1)
	w.Header().Set(engine.HeaderRun, r.Header.Get(engine.HeaderRun))
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	w.Header().Set(engine.HeaderNotRun, "true")
	w.Header().Set("Retry-After", u.rest)
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// An upstream that refused a run and asked for rest was sent the next one at once: prompts, calls that may
// be repeated and calls that run once leave it alone, and their callers are told when the rest ends.
func TestUpstreamThatRestsIsLeftAlone(t *testing.T) {
	prompts, calls := &tired{rest: "30"}, &tired{rest: "30.5"}
	s := newSite(t)
	s.docs["upstreams"] = fmt.Sprintf("upstreams:\n  - {name: u1, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 1000, link_bytes_per_second: 1e9}\n", serve(t, prompts))
	s.docs["services"] = fmt.Sprintf("services:\n  - {name: orders, instances: [%q], not_repeatable: [\"POST *\"]}\n", serve(t, calls))
	s.declare()
	e := s.start()
	prompt := func() answer { return e.send(t, "POST", "/v1/chat/completions", chat("x", true, 1)) }
	eventually(t, "the engine was asked", func() bool { prompt(); return prompts.asked.Load() > 0 })
	_ = e.send(t, "GET", "/v1/services/orders/x", "")
	before := []int64{prompts.asked.Load(), calls.asked.Load()}
	for kind, a := range map[string]answer{
		"a prompt": prompt(), "a call that may be repeated": e.send(t, "GET", "/v1/services/orders/x", ""),
		"a call that runs once": e.send(t, "POST", "/v1/services/orders/x", "q", entry.HeaderIdempotencyKey, "k"),
	} {
		after, err := strconv.Atoi(a.header.Get("Retry-After"))
		if err != nil || after < 20 || after > 31 {
			t.Errorf("%s: Retry-After is %q", kind, a.header.Get("Retry-After"))
		}
		if diff := cmp.Diff([]string{"503", "upstream_resting"}, []string{fmt.Sprint(a.status), a.header.Get(entry.HeaderReason)}); diff != "" {
			t.Error(kind, diff)
		}
	}
	if diff := cmp.Diff(before, []int64{prompts.asked.Load(), calls.asked.Load()}); diff != "" {
		t.Error("runs sent to upstreams that rest: ", diff)
	}
}
