package balance_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against overload of the only instance of a failure domain, when all fall silent at once that a request may be sent
// to, and another one is idle because it gets none.
func TestIdleInstanceThatGetsNoRequestsIsNoSign(t *testing.T) {
	const idle = "i4"
	of := incarnation(idle)
	only := map[registry.Incarnation]bool{of: true}
	cases := map[string]struct {
		setUp func(b *balance.Balancer)
		info  balance.PickInfo
	}{
		"resting":        {func(b *balance.Balancer) { b.SetRestUntil(of, now.Add(time.Minute), now) }, balance.PickInfo{}},
		"no quota":       {func(b *balance.Balancer) { b.SetLimit(of, 0, now) }, balance.PickInfo{Entries: 1000, Rank: 3}},
		"cold, no quota": {func(b *balance.Balancer) { b.SetColdUntil(of, now.Add(time.Minute)) }, balance.PickInfo{Entries: 1000, Rank: 3, Cold: balance.Capacity{Rate: 1, Max: 1}}},
		"failing":        {func(*balance.Balancer) {}, balance.PickInfo{Failing: only}},
		"busy":           {func(*balance.Balancer) {}, balance.PickInfo{Busy: only}},
		"tried":          {func(*balance.Balancer) {}, balance.PickInfo{Tried: []registry.Incarnation{of}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := balance.New(1)
			in := instances(5)
			for i := range in {
				in[i].FailureDomain = "several"
			}
			in[3].FailureDomain = "single"
			c.setUp(b)
			for _, i := range in[:4] {
				b.Begin(i, now)
				b.RecordResponse(i.Incarnation(), now)
			}
			checkShares(t, spread(b, in, c.info, 600*time.Millisecond, 900*time.Millisecond))
		})
	}
}

// Guards against overload of the instances that were idle when all of many fell silent, and got their first request last.
func TestCommonSilenceOfManyInstances(t *testing.T) {
	const fleetSize, perSecond = 40, 50
	b := balance.New(1)
	in := instances(fleetSize)
	for _, i := range in {
		b.Begin(i, now)
		b.RecordResponse(i.Incarnation(), now)
		b.End(i.Incarnation(), balance.Result{Latency: 20 * time.Millisecond}, now)
	}
	counts := map[string]int{}
	sent := 0
	for at := now; at.Before(now.Add(1700 * time.Millisecond)); at = at.Add(time.Second / perSecond) {
		chosen, _ := b.Pick(in, balance.PickInfo{}, at)
		b.Begin(chosen, at)
		counts[chosen.ID]++
		sent++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Logf("%d requests to %d instances, at most %d to one", sent, len(counts), most)
	if most*fleetSize > 2*sent {
		t.Errorf("one of %d instances got %d of %d requests in a silence", fleetSize, most, sent)
	}
}

// Guards against an instance that hangs and gets all requests because the only other one is avoided for a while, too.
func TestSilenceOfOneIsNotCommon(t *testing.T) {
	b := balance.New(1)
	in := instances(2)
	b.Begin(in[1], now)
	b.End(in[1].Incarnation(), balance.Result{Failed: true, Unreachable: true}, now)
	at := now.Add(10 * time.Second)
	for range 5 {
		b.Begin(in[0], at)
	}
	at = at.Add(2 * time.Second)
	b.Begin(in[1], at)
	b.End(in[1].Incarnation(), balance.Result{Failed: true, Unreachable: true}, at)
	at = at.Add(100 * time.Millisecond)
	for range 20 {
		if chosen, _ := b.Pick(in, balance.PickInfo{}, at); chosen.ID == "i0" {
			t.Fatal("the instance that hangs was chosen, with 5 requests in flight, and not the one that could not be reached once")
		}
	}
}
