package readspeed_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/readspeed"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

// Guards against a speed that is known too early, that a few prompts determine which an engine had in
// its memory, that waiting prompts lower, or that short prompts count for.
func TestSpeedIsThatOfTheFastestTenth(t *testing.T) {
	var e readspeed.Estimator
	record := func(n, tokens int, took time.Duration) float64 {
		for range n {
			e.Record(tokens, took)
		}
		return e.Speed()
	}
	got := []float64{
		record(100, 1000, time.Millisecond), // too short
		record(1, 2000, 0),                  // no time
		record(31, 4000, time.Second),       // too few
		record(1, 4000, time.Second),        // 32 of 4,000 tokens/s
		record(25, 2000, 2*time.Second),     // waiting prompts are left out
		record(6, 2000, time.Millisecond),   // the fastest six of 63 are left out
		record(1, 6000, time.Second),        // 6 of 64 are faster than this one
		record(64, 1024, time.Second),       // older prompts no longer count
	}
	if diff := cmp.Diff([]float64{0, 0, 0, 4000, 4000, 4000, 6000, 1024}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against fetches that take longer than computing, and against parts that are computed again
// although fetching is faster.
func TestMinTokensBalancesComputingAndFetching(t *testing.T) {
	// A token of 25,000 bytes takes 10 µs in the same failure domain, and 20 µs from another one.
	store := deployment.Store{FailureDomain: "a", LinkRate: 20_000, FirstByte: 12 * time.Microsecond}
	slow, unspecified := store, store
	slow.FirstByte += 6 * time.Millisecond
	unspecified.LinkRate = 0
	cases := []struct {
		name       string
		speed      float64
		store      deployment.Store
		tokenBytes int
		domain     string
		want       int
	}{
		{"same domain", 40_000, store, 25_000, "a", 201},        // 25 µs - 10 µs, from 3.012 ms
		{"other domain", 40_000, store, 25_000, "b", 603},       // 25 µs - 20 µs, from 3.012 ms
		{"slow store", 40_000, slow, 25_000, "a", 601},          // 25 µs - 10 µs, from 9.012 ms
		{"slow, other domain", 40_000, slow, 25_000, "b", 1024}, // 1,803
		{"computing is faster", 200_000, store, 25_000, "a", 1024},
		{"slow engines", 5_000, store, 25_000, "a", 128}, // 16
		{"speed not known", 0, store, 25_000, "a", 1024},
		{"link not specified", 40_000, unspecified, 25_000, "a", 1024},
		{"token size not specified", 40_000, store, 0, "a", 1024},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, readspeed.MinTokens(c.speed, c.store, c.tokenBytes, c.domain)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
