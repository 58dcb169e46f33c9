package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
)

// Guards against decisions of the leader that an entry cannot follow, which waste a round trip and room:
// whatever Pick avoids must be in the list, for each cause, and Take must refuse it. Without a choice, or
// with a probe due, the entry has to decide by itself.
func TestExcludedIsWhatPickAvoids(t *testing.T) {
	in := func(id, domain string) registry.Instance {
		return registry.Instance{ID: id, FailureDomain: domain, Slots: 4}
	}
	bad, good := in("bad", "d1"), in("good", "d2")
	of := bad.Incarnation()
	only := map[registry.Incarnation]bool{of: true}
	nothing := func(*balance.Balancer) {}
	cases := map[string]struct {
		setUp    func(b *balance.Balancer)
		info     balance.PickInfo
		unusable bool
		// alone says that the entry has to decide by itself.
		alone bool
	}{
		"tried":           {nothing, balance.PickInfo{Tried: []registry.Incarnation{of}}, false, false},
		"busy":            {nothing, balance.PickInfo{Busy: only}, false, false},
		"failing":         {nothing, balance.PickInfo{Failing: only}, false, false},
		"failing, probe":  {nothing, balance.PickInfo{Failing: only, Retryable: true}, false, true},
		"evacuated":       {nothing, balance.PickInfo{Evacuated: map[string]time.Time{"d1": now}}, false, false},
		"unreachable":     {nothing, balance.PickInfo{Unreachable: map[string]time.Time{"d1": now}}, false, false},
		"another region":  {nothing, balance.PickInfo{Residency: residency.NewPolicy([]string{"south"}, nil), Regions: residency.Regions{"d1": "north", "d2": "south"}}, false, false},
		"no region":       {nothing, balance.PickInfo{Residency: residency.NewPolicy([]string{"east"}, nil), Regions: residency.Regions{"d1": "north", "d2": "south"}}, false, true},
		"too old weights": {nothing, balance.PickInfo{}, true, false},
		"leaving":         {func(b *balance.Balancer) { b.SetLeaving(of) }, balance.PickInfo{}, false, false},
		"resting":         {func(b *balance.Balancer) { b.SetRestUntil(of, now.Add(time.Second), now) }, balance.PickInfo{}, false, false},
		"at its limit":    {func(b *balance.Balancer) { b.SetLimit(of, 1, now) }, balance.PickInfo{}, false, false},
		"cold, no quota":  {func(b *balance.Balancer) { b.SetColdUntil(of, now.Add(time.Second)) }, balance.PickInfo{Entries: 1000, Rank: 3, Cold: balance.Capacity{Rate: 1, Max: 1}}, false, false},
		"cannot be dialed": {func(b *balance.Balancer) {
			b.Begin(bad, now)
			b.End(of, balance.Result{Failed: true, Unreachable: true}, now)
		}, balance.PickInfo{}, false, false},
		"unresponsive": {func(b *balance.Balancer) { b.Begin(bad, now.Add(-time.Minute)) }, balance.PickInfo{}, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := balance.New(1)
			c.setUp(b)
			all := []registry.Instance{bad, good}
			usable := all
			if c.unusable {
				usable = all[1:]
			}
			got, ok := b.Excluded(all, func(in registry.Instance) bool { return c.unusable && in.ID == bad.ID }, c.info, now)
			if ok == c.alone {
				t.Errorf("ok is %v", ok)
			}
			if diff := cmp.Diff(map[string]bool{"bad": true}, got); diff != "" && !c.alone {
				t.Error(diff)
			}
			if _, ok := b.Take(usable, of, c.info, now); ok {
				t.Error("the excluded instance is taken")
			}
			if chosen, ok := b.Take(usable, good.Incarnation(), c.info, now); (!ok || chosen.ID != good.ID) && name != "no region" {
				t.Error("the other instance is not taken")
			}
			if _, ok := b.Take(usable, registry.Incarnation{ID: good.ID, Start: 7}, c.info, now); ok {
				t.Error("an incarnation that is gone is taken")
			}
		})
	}
}

// Guards against requests that grow with the fleet: beyond the limit, the entry decides by itself instead of
// sending a part of the list.
func TestExcludedIsBounded(t *testing.T) {
	for n, want := range map[int]bool{128: true, 129: false} {
		info := balance.PickInfo{Busy: map[registry.Incarnation]bool{}}
		var all []registry.Instance
		for i := range n + 10 {
			all = append(all, registry.Instance{ID: fmt.Sprintf("i%03d", i), Slots: 1})
		}
		for _, in := range slices.Clone(all[:n]) {
			info.Busy[in.Incarnation()] = true
		}
		if _, ok := balance.New(1).Excluded(all, nil, info, now); ok != want {
			t.Errorf("with %d ids ok is %v", n, ok)
		}
	}
}

// Guards against decisions of the leader that pass over the quotas of cold and limited instances: a taken
// instance counts as a picked one does.
func TestTakeKeepsToQuotas(t *testing.T) {
	in := registry.Instance{ID: "a", Slots: 4}
	for name, setUp := range map[string]func(b *balance.Balancer) balance.PickInfo{
		"limit": func(b *balance.Balancer) balance.PickInfo {
			b.SetLimit(in.Incarnation(), 1, now.Add(-time.Minute))
			b.Pick([]registry.Instance{in}, balance.PickInfo{}, now.Add(-time.Minute))
			return balance.PickInfo{}
		},
		"cold": func(b *balance.Balancer) balance.PickInfo {
			b.SetColdUntil(in.Incarnation(), now.Add(time.Minute))
			return balance.PickInfo{Cold: balance.Capacity{Rate: 2, Max: 4}}
		},
	} {
		b := balance.New(1)
		info := setUp(b)
		var got []bool
		for range 2 {
			_, ok := b.Take([]registry.Instance{in}, in.Incarnation(), info, now)
			got = append(got, ok)
		}
		if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
