package balance_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
)

// A failure domain is evacuated under requests of all kinds. None may be sent there, by key or by
// wait, as a first attempt or as a retry, even if all other domains look cut off; without another
// instance a request gets none.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	evacuated := map[string]time.Time{"d1": now}
	for name, info := range everyKindOfRequest(incarnation("i0"), incarnation("i3")) {
		t.Run(name, func(t *testing.T) {
			info.Evacuated = evacuated
			expectNothingIn(t, "d1", info)
		})
	}
	w := balance.PickInfo{Evacuated: map[string]time.Time{"d0": now, "d1": now, "d2": now}}
	if in, ok := balance.New(1).Pick(threeDomains(), w, now); ok {
		t.Errorf("with all domains evacuated %s is chosen", in.ID)
	}
}

// The instances of a domain whose evacuation has ended may have become cold without having reported
// it yet. They must get no more requests than cold instances for as long as instances are cold
// after a start, and their usual share then.
func TestReturnedDomainCountsAsCold(t *testing.T) {
	const entries, rate, cold = 20, 400, 3 * time.Second
	all := threeDomains()
	var balancers []*balance.Balancer
	for n := range uint64(entries) {
		balancers = append(balancers, balance.New(n))
	}
	got := map[string][]time.Time{}
	for n := range 8 * rate {
		at := now.Add(time.Duration(n) * time.Second / rate)
		w := balance.PickInfo{
			Entries: entries, Rank: n % entries, Cold: balance.Capacity{Rate: coldRate, Max: coldMax}, ColdFor: cold,
			Returned: map[string]time.Time{"d1": now},
		}
		in, _ := balancers[n%entries].Pick(all, w, at)
		balancers[n%entries].Begin(in, at)
		balancers[n%entries].End(in.Incarnation(), balance.Result{Latency: 60 * time.Millisecond}, at)
		got[in.ID] = append(got[in.ID], at)
	}
	for _, in := range all {
		if in.FailureDomain == "d1" {
			checkCold(t, in.ID, got[in.ID], now.Add(cold), coldMax)
		}
	}
}

// An answer may report that an instance is cold before its heartbeat does.
func TestAnswerReportsCold(t *testing.T) {
	b := balance.New(1)
	two := instances(2)
	w := balance.PickInfo{Key: keyOf(two, "i0"), Entries: 1, Cold: balance.Capacity{Rate: 2, Max: 4}}
	b.SetColdUntil(incarnation("i0"), now.Add(time.Minute))
	got := map[string]int{}
	for n := range 100 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		in, _ := b.Pick(two, w, at)
		b.Begin(in, at)
		b.End(in.Incarnation(), balance.Result{Latency: time.Millisecond}, at)
		got[in.ID]++
	}
	if diff := cmp.Diff(2, got["i0"]); diff != "" {
		t.Errorf("in a second: %s", diff)
	}
}

// A request whose data is restricted to a region is sent nowhere else, by key or by wait, as a first
// attempt or as a retry, even if the instances of its region do not answer. Without an instance in
// its regions it gets none.
func TestRestrictedRequestStaysInItsRegion(t *testing.T) {
	regions := residency.Regions{"d0": "north", "d1": "south", "d2": "south"}
	for name, info := range everyKindOfRequest(incarnation("i1")) {
		t.Run(name, func(t *testing.T) {
			info.Regions, info.Residency = regions, residency.NewPolicy([]string{"south"})
			expectNothingIn(t, "d0", info)
		})
	}
	info := balance.PickInfo{Regions: regions, Residency: residency.NewPolicy([]string{"east"})}
	if in, ok := balance.New(1).Pick(threeDomains(), info, now); ok {
		t.Errorf("a request for a region without instances goes to %s", in.ID)
	}
}

// everyKindOfRequest returns requests that are placed in different ways, one of them a retry after the
// given instances.
func everyKindOfRequest(tried ...registry.Incarnation) map[string]balance.PickInfo {
	return map[string]balance.PickInfo{
		"by wait":       {},
		"by key":        {Key: 1},
		"retry":         {Retryable: true, Tried: tried},
		"a long prompt": {Key: 1, Tokens: 10_000, Memory: 50_000},
	}
}

// expectNothingIn fails the test if any of many requests is sent to a failure domain, though no instance
// of the other domains ever responds.
func expectNothingIn(t *testing.T, domain string, info balance.PickInfo) {
	t.Helper()
	b := balance.New(1)
	for n := range 200 {
		at := now.Add(time.Duration(n) * time.Second)
		if info.Key != 0 {
			info.Key = uint64(n + 1)
		}
		in, ok := b.Pick(threeDomains(), info, at)
		if !ok || in.FailureDomain == domain {
			t.Fatalf("request %d goes to %q of %q", n, in.ID, in.FailureDomain)
		}
		b.Begin(in, at)
		b.End(in.Incarnation(), balance.Result{Failed: true, Unreachable: true, TimedOut: true}, at)
	}
}
