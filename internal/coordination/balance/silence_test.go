package balance_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// spreadInSilence has all instances fall silent, the last one asked late, and returns how many requests each gets of those
// that are sent, one every 10 ms, while only the others have been silent for over 1.1 s.
func spreadInSilence(b *balance.Balancer, in []registry.Instance, late time.Duration) map[string]int {
	for _, i := range in[:len(in)-1] {
		b.Begin(i, now)
	}
	b.Begin(in[len(in)-1], now.Add(late))
	return spread(b, in, balance.PickInfo{}, 1100*time.Millisecond, 1100*time.Millisecond+late)
}

// spread sends a request every 10 ms in a span, none of which ends, and returns how many each instance gets.
func spread(b *balance.Balancer, in []registry.Instance, info balance.PickInfo, from, to time.Duration) map[string]int {
	counts := map[string]int{}
	for at := now.Add(from); at.Before(now.Add(to)); at = at.Add(10 * time.Millisecond) {
		chosen, _ := b.Pick(in, info, at)
		b.Begin(chosen, at)
		counts[chosen.ID]++
	}
	return counts
}

// checkShares fails if an instance got more than two even shares of the 30 requests in a silence of 4 instances.
func checkShares(t *testing.T, counts map[string]int) {
	t.Helper()
	for id, n := range counts {
		if n > 2*30/4 {
			t.Errorf("%s got %d of 30 requests in a silence of 4 instances", id, n)
		}
	}
}

// Guards against overload of the instance that was sent its first request last, when all instances fall silent at once.
func TestCommonSilenceIsNoReasonToAvoidInstances(t *testing.T) {
	counts := spreadInSilence(balance.New(1), instances(4), 300*time.Millisecond)
	checkShares(t, counts)
	if len(counts) < 4 {
		t.Errorf("used: %v", counts)
	}
}

// Guards against overload of the only instance of a failure domain, when the instances of all domains fall silent at once.
func TestCommonSilenceIsNoReasonToAvoidDomains(t *testing.T) {
	b := balance.New(1)
	in := instances(4)
	for i := range in {
		in[i].FailureDomain = "several"
	}
	in[3].FailureDomain = "single"
	for _, i := range in {
		b.Begin(i, now)
		b.RecordResponse(i.Incarnation(), now)
	}
	checkShares(t, spread(b, in, balance.PickInfo{}, 600*time.Millisecond, 900*time.Millisecond))
}

// Guards against an instance that hangs and is used again as soon as the others take a while to respond.
func TestInstanceSilentBeforeTheOthersIsAvoided(t *testing.T) {
	b := balance.New(1)
	in := instances(3)
	b.Begin(in[0], now)
	later := now.Add(4 * time.Second)
	b.Begin(in[1], later)
	b.Begin(in[2], later)
	for range 20 {
		if chosen, _ := b.Pick(in, balance.PickInfo{}, later.Add(700*time.Millisecond)); chosen.ID == "i0" {
			t.Fatal("the instance that hangs was chosen")
		}
	}
}

// Guards against an instance that hangs and is used beside one that is idle.
func TestInstanceSilentBesideAnIdleOneIsAvoided(t *testing.T) {
	b := balance.New(1)
	in := instances(2)
	b.Begin(in[0], now)
	for range 20 {
		if chosen, _ := b.Pick(in, balance.PickInfo{}, now.Add(1500*time.Millisecond)); chosen.ID == "i0" {
			t.Fatal("the instance that hangs was chosen")
		}
	}
}
