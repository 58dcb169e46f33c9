package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/routing"
)

var now = time.Unix(1000, 0)

func upstream() routing.Upstream {
	return routing.Upstream{Slots: 4, PrefillRate: 1000, LinkRate: 1e6, Model: "m", Version: "v", SameDomain: true}
}

func prompt(n int) *routing.Prompt {
	return &routing.Prompt{
		Model: "m", Version: "v", Tokens: 1000, Cached: make([]int32, n), BlockTokens: 10, BytesPerToken: 100, StoreRate: 1e6,
		Weights: routing.Weights{FirstToken: 1}, Scores: make([]float64, n),
	}
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name  string
		setup func(u []routing.Upstream, p *routing.Prompt)
		want  int // -1: no upstream
		fetch bool
	}{
		{"upstream that has the prompt cached", func(_ []routing.Upstream, p *routing.Prompt) { p.Cached[1] = 90 }, 1, false},
		{"cached, but the queue takes longer than recomputing", func(u []routing.Upstream, p *routing.Prompt) {
			p.Cached[1] = 50
			u[1].NoteLoad(4, 4, 0, false)
			u[0].SameDomain = false
		}, 2, false},
		{"queued prefill tokens count as wait", func(u []routing.Upstream, p *routing.Prompt) {
			p.Cached[1] = 50
			u[1].NoteLoad(1, 0, 2000, false)
			u[0].SameDomain = false
		}, 2, false},
		{"fetch over a fast link", func(u []routing.Upstream, p *routing.Prompt) { p.Stored = 900; u[0].LinkRate, u[2].LinkRate = 1, 1 }, 1, true},
		{"no fetch over a slow link", func(u []routing.Upstream, p *routing.Prompt) {
			p.Stored, p.StoreRate = 900, 1e4
			u[0].SameDomain, u[2].SameDomain = false, false
		}, 1, false},
		{"recompute weight favors a fetch", func(u []routing.Upstream, p *routing.Prompt) {
			p.Stored, p.StoreRate = 900, 8e4
			p.Weights.Recompute = 0.01
			u[0].SameDomain, u[2].SameDomain = false, false
		}, 1, true},
		{"own failure domain first", func(u []routing.Upstream, _ *routing.Prompt) { u[0].SameDomain, u[1].SameDomain = false, false }, 2, false},
		{"other failure domain if cheaper", func(u []routing.Upstream, p *routing.Prompt) { u[0].SameDomain = false; p.Cached[0] = 90 }, 0, false},
		{"never another model", func(u []routing.Upstream, p *routing.Prompt) { p.Cached[0] = 90; u[0].Model = "x"; u[1].Model = "x" }, 2, false},
		{"never another weight version", func(u []routing.Upstream, p *routing.Prompt) { p.Cached[0] = 90; u[0].Version, u[1].Version = "w", "w" }, 2, false},
		{"never a leaving upstream", func(u []routing.Upstream, p *routing.Prompt) {
			p.Cached[0] = 90
			u[0].NoteLoad(0, 0, 0, true)
			u[1].NoteLeaving(true)
		}, 2, false},
		{"never an upstream that the platform lists as leaving", func(u []routing.Upstream, p *routing.Prompt) {
			p.Cached[0] = 90
			u[0].NoteListedLeaving(true)
			u[1].NoteListedLeaving(true)
			// A load report that is older than the list must not undo it.
			u[1].NoteLoad(0, 0, 0, false)
		}, 2, false},
		{"never an upstream that was tried", func(_ []routing.Upstream, p *routing.Prompt) { p.Cached[0] = 90; p.Tried = []int{0, 1} }, 2, false},
		{"never an ejected upstream", func(u []routing.Upstream, p *routing.Prompt) {
			p.Cached[0] = 90
			for range 3 {
				u[0].NoteFailure(now)
				u[1].NoteFailure(now)
			}
		}, 2, false},
		{"no eligible upstream", func(_ []routing.Upstream, p *routing.Prompt) { p.Tried = []int{0, 1, 2} }, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := []routing.Upstream{upstream(), upstream(), upstream()}
			p := prompt(3)
			c.setup(u, p)
			plan, ok := routing.Choose(u, p, now)
			got := plan.Upstream
			if !ok {
				got = -1
			}
			if diff := cmp.Diff([]any{c.want, c.fetch}, []any{got, plan.Fetch}); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestEjectionEndsHalfOpen checks that an ejected upstream first gets one run at a time when it
// returns, and that each further ejection is longer.
func TestEjectionEndsHalfOpen(t *testing.T) {
	u := upstream()
	for range 3 {
		u.NoteFailure(now)
	}
	at := func(d time.Duration) bool { return u.Ejected(now.Add(d)) }
	u.Begin(0)
	got := []bool{at(900 * time.Millisecond), at(1100 * time.Millisecond), at(3100 * time.Millisecond)}
	u.End(0)
	got = append(got, at(1100*time.Millisecond))
	u.NoteFailure(now.Add(3 * time.Second))
	got = append(got, at(4900*time.Millisecond), at(5100*time.Millisecond))
	if diff := cmp.Diff([]bool{true, true, false, false, true, false}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestEntriesDoNotHerd guards against herding: eight entries hold the same outdated report, in
// which one upstream is idle and the others nearly so, and must not all send their prompts to the
// idle one.
func TestEntriesDoNotHerd(t *testing.T) {
	const entries, upstreams, prompts = 8, 20, 4
	counts := make([]int, upstreams)
	for e := range entries {
		u := make([]routing.Upstream, upstreams)
		for i := range u {
			u[i] = upstream()
			u[i].NoteLoad(i%2, 0, 0, false)
		}
		random := rand.New(rand.NewPCG(uint64(e), 7))
		for range prompts {
			p := prompt(upstreams)
			p.Random = random.Uint64()
			plan, _ := routing.Choose(u, p, now)
			u[plan.Upstream].Begin(plan.Recompute)
			counts[plan.Upstream]++
		}
	}
	for i, n := range counts {
		if n > 6 {
			t.Errorf("upstream %d got %d of %d prompts", i, n, entries*prompts)
		}
	}
}
