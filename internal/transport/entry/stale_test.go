package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shedrock/shedrock/internal/protocol/engine"
)

// TestUnreachableUpstreamsAreSkipped declares more unreachable upstreams than a prompt
// has attempts. They appear idle, so all of them are tried before the reachable one.
func TestUnreachableUpstreamsAreSkipped(t *testing.T) {
	slow := engineOptions()
	slow.PrefillRate = 1000
	s := newDeployment(t, slow)
	for i := range 5 {
		l := listen(t)
		l.Close()
		s.docs["upstreams"] += fmt.Sprintf("  - {name: dead%d, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 1e6, link_bytes_per_second: 1e9}\n", i, l.Addr())
	}
	s.declare()
	e := s.start()
	a := e.send(t, "POST", "/v1/chat/completions", chat("which valve sticks", false, 1))
	if a.status != http.StatusOK {
		t.Fatalf("status %d: %s", a.status, a.body)
	}
}

// TestVersionRefusalIsNotAFailure swaps the weights of the preferred engine without the
// entry's knowledge. The refusal tells the entry which version the engine serves, and
// the prompt still runs, there or at the engine with the old weights.
func TestVersionRefusalIsNotAFailure(t *testing.T) {
	slow := engineOptions()
	slow.PrefillRate = 1000
	s := newDeployment(t, engineOptions(), slow)
	s.declare()
	e := s.start()
	eventually(t, "the preferred engine is used", func() bool {
		a := e.send(t, "POST", "/v1/chat/completions", chat("hello", false, 1))
		return a.status == http.StatusOK && s.engines[0].RunsStarted() > 0
	})
	s.docs["models"] = strings.Replace(s.docs["models"], "v1", "v2", 1)
	s.engines[0].ApplyOrder(engine.Order{Token: 1, Version: "v2"})
	eventually(t, "the weights are swapped", func() bool { return s.engines[0].Version() == "v2" })
	revision := e.Applied().Revision
	s.apply("models", 2)
	eventually(t, "the new version is declared", func() bool { return e.Applied().Revision > revision })
	for range 5 {
		a := e.send(t, "POST", "/v1/chat/completions", chat("which valve sticks", false, 1))
		if a.status != http.StatusOK {
			t.Fatalf("status %d: %s", a.status, a.body)
		}
	}
}
