package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// spread returns instances of three failure domains, four in each.
func spread() []registry.Instance {
	var out []registry.Instance
	for i := range 12 {
		out = append(out, registry.Instance{ID: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 8})
	}
	return out
}

// cutOff sends requests with differing keys, of which those to one failure domain get no
// answer; it returns how many went to each, and what ends those that wait.
func cutOff(b *balance.Balancer, w balance.PickInfo, requests int, cut string, at time.Time) (got map[string]int, giveUp func(time.Time)) {
	got = map[string]int{}
	var waiting []registry.Incarnation
	for n := range requests {
		w.Key = uint64(n + 1)
		in, _ := b.Pick(spread(), w, at)
		got[in.FailureDomain]++
		b.Begin(in, at)
		if in.FailureDomain == cut {
			waiting = append(waiting, in.Incarnation())
			continue
		}
		b.RecordResponse(in.Incarnation(), at)
		b.End(in.Incarnation(), balance.Result{Latency: 10 * time.Millisecond}, at)
	}
	return got, func(at time.Time) {
		for _, in := range waiting {
			b.End(in, balance.Result{Failed: true}, at)
		}
	}
}

// Once two instances of a failure domain are silent and nothing of it is heard, the others
// there get nothing more either, but for a probe now and then; one word ends it.
func TestCutDomainIsAvoided(t *testing.T) {
	b := balance.New(1)
	repeats := balance.PickInfo{Retryable: true}
	at := now.Add(time.Hour)
	cutOff(b, repeats, 30, "", at)
	got, giveUp := cutOff(b, repeats, 6, "d1", at)
	if got["d1"] < 2 {
		t.Fatal("the cut was not met: ", got)
	}
	at = at.Add(600 * time.Millisecond)
	got, giveUpToo := cutOff(b, repeats, 100, "d1", at)
	if got["d1"] > 1 {
		t.Errorf("%d of 100 went into the cut", got["d1"])
	}
	at = at.Add(1100 * time.Millisecond)
	got, _ = cutOff(b, balance.PickInfo{}, 100, "d1", at)
	if got["d1"] != 0 {
		t.Errorf("%d probes by requests that run once", got["d1"])
	}
	got, _ = cutOff(b, repeats, 100, "d1", at)
	if got["d1"] != 1 {
		t.Errorf("%d probes after a second", got["d1"])
	}
	giveUp(at)
	giveUpToo(at)
	b.RecordResponse(life("i1"), at)
	got, _ = cutOff(b, repeats, 100, "", at)
	if got["d1"] < 10 {
		t.Errorf("%d of 100 after a word", got["d1"])
	}
}

// An entry that is cut off itself keeps to its own failure domain, after a few timeouts.
func TestUnreachedDomainsAreAvoided(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	lost := 0
	for range 200 {
		in, _ := b.Pick(spread(), balance.PickInfo{Retryable: true}, at)
		b.Begin(in, at)
		if in.FailureDomain == "d0" {
			b.RecordResponse(in.Incarnation(), at)
			b.End(in.Incarnation(), balance.Result{Latency: 10 * time.Millisecond}, at)
			at = at.Add(10 * time.Millisecond)
			continue
		}
		lost++
		at = at.Add(500 * time.Millisecond)
		b.End(in.Incarnation(), balance.Result{Failed: true, Unreachable: true, TimedOut: true}, at)
	}
	if lost > 16 {
		t.Errorf("%d of 200 ran into a timeout", lost)
	}
}

// One silent instance, or some that refuse, say nothing of their neighbours.
func TestIllInstancesAreNoCut(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	one := spread()[1]
	b.Begin(one, at)
	for _, in := range spread()[4:] {
		if in.FailureDomain == "d1" {
			b.Begin(in, at)
			b.End(in.Incarnation(), balance.Result{Failed: true, Unreachable: true}, at)
		}
	}
	at = at.Add(3 * time.Second)
	got, _ := cutOff(b, balance.PickInfo{}, 100, "", at)
	if diff := cmp.Diff(true, got["d1"] > 10); diff != "" {
		t.Error(got, diff)
	}
}

// Where every failure domain looks cut off, none is avoided.
func TestAllDarkIsNone(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	for _, in := range spread() {
		b.Begin(in, at)
	}
	_, ok := b.Pick(spread(), balance.PickInfo{}, at.Add(time.Minute))
	if diff := cmp.Diff(true, ok); diff != "" {
		t.Error(diff)
	}
}
