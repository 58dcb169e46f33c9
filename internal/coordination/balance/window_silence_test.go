package balance_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// pauseAfter has an entry that has a small part of an instance's only slots send one request, and returns for how long it sends
// no other one after the end.
func pauseAfter(b *balance.Balancer, in registry.Instance, took time.Duration, r balance.Result) time.Duration {
	fleet, info := []registry.Instance{in}, balance.PickInfo{Entries: 80}
	at := now
	wait := func() {
		for ok := false; !ok; at = at.Add(time.Millisecond) {
			b.SetRefusalLimit(in, 6, at)
			_, ok = b.Pick(fleet, info, at)
		}
	}
	wait()
	b.Begin(in, at)
	at = at.Add(took)
	b.RecordResponse(in.Incarnation(), at)
	b.End(in.Incarnation(), r, at)
	ended := at
	wait()
	return at.Sub(ended)
}

// Guards against a pause of many seconds at an instance after a silence of one that delayed an answer.
func TestSilenceDoesNotPauseWindows(t *testing.T) {
	const took, silence = 20 * time.Millisecond, time.Second
	for _, delayed := range []bool{false, true} {
		b, fleet := fragileFleet(1)
		usual := pauseAfter(b, fleet[0], took, balance.Result{Latency: took})
		b, fleet = fragileFleet(1)
		pauseAfter(b, fleet[0], took, balance.Result{Latency: took})
		after := pauseAfter(b, fleet[0], took+silence, balance.Result{Latency: took + silence, Delayed: delayed})
		if after > usual+silence {
			t.Errorf("a pause of %s after a silence of %s, usually %s", after, silence, usual)
		}
	}
}
