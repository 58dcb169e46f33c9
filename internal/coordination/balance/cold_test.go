package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Instances with a capacity of 14 requests per second, which fail well above that, return cold
// under the traffic of 76 entries that send 1,400 requests per second, by key or by wait. In no
// second may such an instance get more than 26; it must get some requests, and its usual share once
// it is warm.
func TestColdInstancesStayWithinCapacity(t *testing.T) {
	const entries, rate, capacity, most = 76, 1400, 14, 26
	for _, keyed := range []bool{true, false} {
		for seed := range uint64(5) {
			var balancers []*balance.Balancer
			for n := range uint64(entries) {
				balancers = append(balancers, balance.New(seed*entries+n))
			}
			all := instances(40)
			warmAt := now.Add(4 * time.Second)
			for i := range 4 {
				all[i].ColdUntil = warmAt
			}
			got := map[string][]time.Time{}
			for n := range 8 * rate {
				at := now.Add(time.Duration(n) * time.Second / rate)
				b := balancers[n%entries]
				w := balance.PickInfo{Entries: entries, Rank: n % entries, Cold: balance.Capacity{Rate: capacity, Max: most}}
				if keyed {
					w.Key = uint64(n)*0x9e3779b97f4a7c15 | 1
				}
				in, _ := b.Pick(all, w, at)
				b.Begin(in, at)
				latency := 60 * time.Millisecond
				b.End(in.Incarnation(), balance.Result{Latency: latency}, at)
				got[in.ID] = append(got[in.ID], at)
			}
			for i := range 4 {
				checkCold(t, fmt.Sprint(keyed, " ", seed), got[all[i].ID], warmAt, most)
			}
		}
	}
}

// checkCold checks the requests that an instance got against its maximum while it is cold.
func checkCold(t *testing.T, name string, got []time.Time, warmAt time.Time, most int) {
	t.Helper()
	first, cold := 0, 0
	for i, at := range got {
		for at.Sub(got[first]) >= time.Second {
			first++
		}
		if at.Before(warmAt) {
			cold++
			if i-first+1 > most {
				t.Errorf("%s: %d requests in a second while it is cold", name, i-first+1)
				return
			}
		}
	}
	if cold == 0 || len(got)-cold < 40 {
		t.Errorf("%s: %d requests while it was cold, %d once it was warm", name, cold, len(got)-cold)
	}
}

// Instances that do not report that they are cold, and those of a service without a capacity for
// cold instances, are not restricted.
func TestColdNeedsACapacity(t *testing.T) {
	cold := registry.Instance{ID: "cold", Slots: 8, ColdUntil: now.Add(time.Hour)}
	b := balance.New(1)
	for range 20 {
		in, ok := b.Pick([]registry.Instance{cold}, balance.PickInfo{Entries: 5}, now)
		if !ok || in.ID != "cold" {
			t.Fatal("the instance was not chosen")
		}
	}
}
