package system_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestTeamRateIsShared has two entries admit a team's prompts under one declared rate:
// what one has spent the other cannot, and a change of the rate is in force without a
// restart.
func TestTeamRateIsShared(t *testing.T) {
	f := newFleet(t, 1, 2)
	eventually(t, "both entries know each other", func() bool {
		return strings.Contains(f.entries[0].Text(), "event=entries live=2") && strings.Contains(f.entries[1].Text(), "event=entries live=2")
	})
	teams := func(rate string) string {
		return "teams:\n  - {name: demo, key_digests: [" + demoDigest + "], models: [demo], services: [orders]" + rate + "}\n"
	}
	ask := func(i, tokens int) (status int, text string) {
		_, status, text = f.call(i, "POST", "/v1/chat/completions", "", fmt.Sprintf(`{"model":"demo","max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens))
		return status, text
	}
	f.apply("teams", 2, teams(", tokens_per_second: 0.5"))
	refused := func(i int) bool {
		status, text := ask(i, 10)
		return status == http.StatusTooManyRequests && strings.Contains(text, "team_rate")
	}
	eventually(t, "the rate is used up at one entry", func() bool { return refused(0) })
	eventually(t, "and at the other", func() bool { return refused(1) })
	for i := range f.entries {
		if outcome, _, _ := f.order(i, fmt.Sprint("k", i), "bread"); outcome != "ran" {
			t.Fatalf("a call that is no prompt was refused: %q", outcome)
		}
	}
	f.apply("teams", 3, teams(""))
	for i := range f.entries {
		eventually(t, "the limit is gone", func() bool { status, _ := ask(i, 10); return status == http.StatusOK })
	}
}
