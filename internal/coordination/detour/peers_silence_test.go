package detour_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/detour"
)

// Guards against a peer that gets no requests for a minute because its link was silent for a second.
func TestSilenceIsNoDelayOfAPeer(t *testing.T) {
	const silence, usual, requests = time.Second, 2 * time.Millisecond, 600
	p := detour.NewPeers(1)
	all := peers(3)
	now := start
	for _, peer := range all {
		p.Begin(peer.Address, now)
	}
	now = now.Add(silence)
	p.Canceled(all[1].Address, now)
	p.Canceled(all[2].Address, now)
	p.Accepted(all[0].Address, silence, now)
	p.End(all[0].Address, now)
	got := map[string]int{}
	for range requests {
		chosen, _ := p.Pick(detour.Choice{Candidates: all}, now)
		p.Begin(chosen.Address, now)
		now = now.Add(usual)
		p.Accepted(chosen.Address, usual, now)
		p.End(chosen.Address, now)
		got[chosen.Address]++
	}
	if n := got[all[0].Address]; n < requests/len(all)/2 {
		t.Errorf("the peer that was silent got %d of %d requests: %v", n, requests, got)
	}
}
