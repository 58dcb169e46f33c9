package detour_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/state/registry"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0xde70)) }

func peers(n int) []detour.Peer {
	var out []detour.Peer
	for i := range n {
		out = append(out, detour.Peer{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: fmt.Sprint("d", i%3)})
	}
	return out
}

// A peer without a path, without room or without an answer is left alone for a while.
func TestDecliningPeerIsAvoided(t *testing.T) {
	for why, avoided := range map[detour.Decline]time.Duration{
		detour.DeclineNoPath: 500 * time.Millisecond, detour.DeclineBusy: 100 * time.Millisecond, detour.DeclineUnreachable: time.Second,
	} {
		t.Run(why.String(), func(t *testing.T) {
			p := detour.NewPeers(1)
			all := peers(2)
			p.Begin(all[0].Address, start)
			p.Declined(all[0].Address, why, start)
			for range 20 {
				if chosen, ok := p.Pick(detour.Choice{Candidates: all}, after(avoided-1)); !ok || chosen != all[1] {
					t.Fatalf("chose %v", chosen)
				}
			}
			if _, ok := p.Pick(detour.Choice{Candidates: all[:1]}, after(avoided-1)); ok {
				t.Error("the only peer was chosen though it had declined")
			}
			if _, ok := p.Pick(detour.Choice{Candidates: all[:1]}, after(avoided)); !ok {
				t.Error("the peer was not chosen again")
			}
		})
	}
}

// A peer that accepts nothing more gets no further requests, and a canceled request is no evidence about one.
func TestUnresponsivePeerIsAvoided(t *testing.T) {
	p := detour.NewPeers(1)
	all := peers(1)
	p.Begin(all[0].Address, start)
	if _, ok := p.Pick(detour.Choice{Candidates: all}, after(600*time.Millisecond)); ok {
		t.Error("a peer was chosen that had accepted nothing for 600ms")
	}
	p.Canceled(all[0].Address, after(700*time.Millisecond))
	if _, ok := p.Pick(detour.Choice{Candidates: all}, after(700*time.Millisecond)); !ok {
		t.Error("no peer was chosen after the only request was canceled")
	}
}

// A request passes only through failure domains in which its data may be, and by no peer that declined it.
func TestPeerIsAllowed(t *testing.T) {
	p := detour.NewPeers(1)
	all := peers(9)
	choice := detour.Choice{Candidates: all, Tried: map[string]bool{all[1].Address: true}, Allows: func(domain string) bool { return domain == "d1" }}
	seen := map[detour.Peer]bool{}
	for range 200 {
		chosen, ok := p.Pick(choice, start)
		if !ok {
			t.Fatal("no peer was chosen")
		}
		seen[chosen] = true
	}
	if diff := cmp.Diff(map[detour.Peer]bool{all[4]: true, all[7]: true}, seen); diff != "" {
		t.Error(diff)
	}
}

// Samples have the same size whatever the number of entries, hold peers of the own failure domain and of others, and
// each peer is in about as many of them.
func TestSampleIsSmallAndEven(t *testing.T) {
	for _, n := range []int{9, 300, 1000} {
		all := peers(n)
		counts := map[string]int{}
		for i, self := range all {
			others := append(append([]detour.Peer(nil), all[:i]...), all[i+1:]...)
			sample := detour.Sample(fmt.Sprint("e", i), self.FailureDomain, others, nil)
			own := 0
			for _, p := range sample {
				counts[p.Address]++
				if p.FailureDomain == self.FailureDomain {
					own++
				}
			}
			if wantOwn := min(4, n/3-1); len(sample) != min(8, n-1) || own < wantOwn {
				t.Fatalf("of %d entries, one has a sample of %d, %d of them of its own failure domain", n, len(sample), own)
			}
		}
		for address, times := range counts {
			if n > 100 && times > 30 {
				t.Errorf("of %d entries, %d have %s in their sample", n, times, address)
			}
		}
	}
}

// Peers that have lost their path are sampled only where there are too few others: all may have lost the path to a
// service that is down.
func TestSampleHasPeersWithAPathFirst(t *testing.T) {
	all := peers(20)
	sample := detour.Sample("e", "d0", all[:1], all[1:])
	if diff := cmp.Diff(all[0], sample[0]); diff != "" || len(sample) != 8 {
		t.Errorf("%d peers: %s", len(sample), diff)
	}
	open := map[detour.Peer]bool{}
	for _, p := range all[:10] {
		open[p] = true
	}
	for _, p := range detour.Sample("e", "d0", all[:10], all[10:]) {
		if !open[p] {
			t.Errorf("%v has lost its path and is in the sample", p)
		}
	}
}

// A round probes distinct failure domains, and instances at which requests did not fail.
func TestProbeTargetsDiffer(t *testing.T) {
	var instances []registry.Instance
	for i := range 9 {
		instances = append(instances, registry.Instance{ID: fmt.Sprint("i", i), Start: 1, FailureDomain: fmt.Sprint("d", i%3)})
	}
	var p detour.Path
	for i := range 3 {
		p.Failed(instances[i].Incarnation(), start)
	}
	for seed := range uint64(50) {
		domains := map[string]bool{}
		for _, in := range detour.ProbeTargets(&p, instances, newRandom(seed)) {
			domains[in.FailureDomain] = true
			if p.Failing(in.Incarnation()) {
				t.Errorf("seed %d: %s is probed, where requests failed", seed, in.ID)
			}
		}
		if diff := cmp.Diff(3, len(domains)); diff != "" {
			t.Errorf("seed %d: failure domains: %s", seed, diff)
		}
	}
}
