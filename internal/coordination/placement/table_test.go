package placement_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// row formats the results of a policy over several seeds: mean, minimum and maximum.
func row(v []float64, unit string) string {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return fmt.Sprintf("%.3f%s (%.3f-%.3f)", sum/float64(len(v)), unit, slices.Min(v), slices.Max(v))
}

// seeds returns how many seeds each result is computed from.
func seeds() uint64 {
	switch os.Getenv("SHEDROCK_BENCH") {
	case "quick", "letter":
		return 1
	}
	return 5
}

// TestReplayTable prints the results of all policies; see "make bench".
func TestReplayTable(t *testing.T) {
	if os.Getenv("SHEDROCK_BENCH") == "" {
		t.Skip("set SHEDROCK_BENCH to print the table")
	}
	eventless, lost, slow := compressor(), compressor(), nordmjol()
	eventless.name, eventless.noEvents = "compressor host, no cache events", true
	lost.name, lost.loseStore = "compressor host, a store lost", true
	slow.name, slow.slowLink = "Nordmjöl, links at a tenth", true
	fmt.Println("setup,policy,share recomputed,first token p50 s,p95 s,p99 s,link TB")
	setups := []scenario{compressor(), nordmjol(), eventless, lost, slow}
	if os.Getenv("SHEDROCK_BENCH") == "letter" {
		setups = []scenario{peakDomain()}
	}
	for _, s := range setups {
		for _, p := range policies() {
			var share, p50, p95, p99, link []float64
			for seed := range seeds() {
				f := replay(t, s, p, seed+1)
				share = append(share, f.share())
				p50 = append(p50, quantile(f.first, 0.5))
				p95 = append(p95, quantile(f.first, 0.95))
				p99 = append(p99, quantile(f.first, 0.99))
				link = append(link, f.linkBytes/1e12)
			}
			fmt.Printf("%s,%s,%s,%s,%s,%s,%s\n", s.name, p, row(share, ""), row(p50, ""), row(p95, ""), row(p99, ""), row(link, ""))
		}
	}
}

// TestReplayAgainstBaselines checks the planner's advantage over the baselines, at a size that
// takes a second or two. It does not depend on real time.
func TestReplayAgainstBaselines(t *testing.T) {
	s := nordmjol()
	s.contexts, s.storeBlocks, s.cacheBlocks, s.hours = 6000, 125000, 2000, 3
	of := map[policy]*figures{}
	for _, p := range policies() {
		of[p] = replay(t, s, p, 1)
	}
	ours := of[shedrock]
	for _, p := range []policy{roundRobin, leastLoad, affinity} {
		if ours.share() > 0.5*of[p].share() || quantile(ours.first, 0.95) > 0.7*quantile(of[p].first, 0.95) {
			t.Errorf("%s: recomputed %.3f against %.3f, first token p95 %.3f against %.3f s", p, ours.share(), of[p].share(), quantile(ours.first, 0.95), quantile(of[p].first, 0.95))
		}
	}
	lru := of[lruKeeping]
	if ours.share() > 1.1*lru.share() || quantile(ours.first, 0.5) > 0.7*quantile(lru.first, 0.5) || ours.linkBytes > 0.85*lru.linkBytes {
		t.Errorf("LRU keeping: recomputed %.3f against %.3f, first token p50 %.3f against %.3f s, link bytes %.2f of its", ours.share(), lru.share(), quantile(ours.first, 0.5), quantile(lru.first, 0.5), ours.linkBytes/lru.linkBytes)
	}
}

// TestSlowLinkIsNotWaitedFor bounds the time to first token with links at a tenth of their speed:
// waiting for fetches must not take more than a few times as long as recomputing.
func TestSlowLinkIsNotWaitedFor(t *testing.T) {
	s := nordmjol()
	s.contexts, s.storeBlocks, s.cacheBlocks, s.hours, s.slowLink = 6000, 125000, 2000, 3, true
	s.linkRate /= 4
	ours, recomputing := replay(t, s, shedrock, 1), replay(t, s, affinity, 1)
	if a, b := quantile(ours.first, 0.95), quantile(recomputing.first, 0.95); a > 3*b {
		t.Errorf("first token p95 %.3f s; without any store %.3f s", a, b)
	}
}

// TestLostCacheEventsAreSurvived checks that without any cache event, what engines still have
// cached is learned from what they reuse.
func TestLostCacheEventsAreSurvived(t *testing.T) {
	s := nordmjol()
	s.contexts, s.storeBlocks, s.cacheBlocks, s.hours = 6000, 125000, 2000, 3
	withEvents := replay(t, s, shedrock, 1)
	s.noEvents = true
	withoutEvents := replay(t, s, shedrock, 1)
	if withoutEvents.share() > 1.6*withEvents.share() {
		t.Errorf("recomputed %.3f without cache events, %.3f with them", withoutEvents.share(), withEvents.share())
	}
}

// BenchmarkPlace measures one decision in a failure domain of 240 upstreams, with 7,000 contexts in
// the entry's directory.
func BenchmarkPlace(b *testing.B) {
	s := nordmjol()
	s.engines, s.contexts = 240, 7000
	w := newSimulation(s, 1)
	w.declare(b)
	planner := w.planners[0]
	now := time.Unix(0, 0)
	prompts := make([]placement.Prompt, s.contexts)
	for i := range prompts {
		keys := keysOf(i, 64)
		planner.Apply(placement.Note{Key: keys[59], Blocks: 60, Upstream: fmt.Sprintf("u%d", i%240)}, now)
		prompts[i] = placement.Prompt{Model: w.model, Version: "v", Keys: keys, Tokens: 64 * prefix.BlockTokens}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, ok := planner.Place(prompts[i%len(prompts)], now); !ok {
			b.Fatal("no plan")
		}
	}
}
