package balance_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// fleetSizes are numbers of engines: of one site, and of fleets of 100, 985 and 1970 entries.
var fleetSizes = []int{110, 970, 9315, 18630}

// loaded returns engines with known loads, in the order of their ids as entries have them.
func loaded(engines int) ([]registry.Instance, map[registry.Incarnation]balance.EngineLoad) {
	all := instances(engines)
	slices.SortFunc(all, func(a, b registry.Instance) int { return strings.Compare(a.ID, b.ID) })
	loads := map[registry.Incarnation]balance.EngineLoad{}
	for i := range all {
		all[i].FailureDomain = fmt.Sprint("d", i%4)
		loads[all[i].Incarnation()] = balance.EngineLoad{Used: 20_000}
	}
	return all, loads
}

// serveOne admits, places and ends one request.
func serveOne(balancer *balance.Balancer, all []registry.Instance, w balance.PickInfo, at time.Time) {
	balancer.Admit(all, w, at)
	in, _ := balancer.Pick(all, w, at)
	balancer.Begin(in, at)
	balancer.Reserve(in.Incarnation(), w, at)
	balancer.RecordResponse(in.Incarnation(), at)
	balancer.End(in.Incarnation(), balance.Result{Latency: 50 * time.Millisecond}, at)
}

// liveBytes returns by how much f increases the memory in use.
func liveBytes(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// promptInfo describes the n-th prompt, with a number of tokens.
func promptInfo(n, tokens int, loads map[registry.Incarnation]balance.EngineLoad) balance.PickInfo {
	return balance.PickInfo{
		Key: uint64(n)*0x9e3779b97f4a7c15 | 1, Model: "m", Weights: 1, Tokens: tokens, Memory: 87_000, Loads: loads, Entries: 90, Cold: balance.Capacity{Rate: 14, Max: 26},
	}
}

// An entry with a small share of a CPU core gets about twenty prompts a second for thousands of
// engines. The memory that a choice allocates must not grow with the number of engines.
func TestChoiceAllocatesLittle(t *testing.T) {
	const choices, most = 200, 2048
	for _, engines := range fleetSizes {
		for name, tokens := range map[string]int{"short": 500, "long": 17_000} {
			all, loads := loaded(engines)
			balancer := balance.New(1)
			at := now
			serveOne(balancer, all, promptInfo(0, tokens, loads), at)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for n := range choices {
				at = at.Add(50 * time.Millisecond)
				serveOne(balancer, all, promptInfo(n, tokens, loads), at)
			}
			runtime.ReadMemStats(&after)
			if each := (after.TotalAlloc - before.TotalAlloc) / choices; each > most {
				t.Errorf("a %s prompt among %d engines: %d bytes allocated", name, engines, each)
			}
		}
	}
}

// BenchmarkChoose measures the choice of an instance as a fleet grows.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range fleetSizes {
		all, loads := loaded(engines)
		for name, tokens := range map[string]int{"short": 500, "long": 17_000} {
			b.Run(fmt.Sprint(name, " among ", engines), func(b *testing.B) {
				balancer := balance.New(1)
				b.ReportAllocs()
				at := now
				serveOne(balancer, all, promptInfo(0, tokens, loads), at)
				b.ResetTimer()
				for n := range b.N {
					at = at.Add(50 * time.Millisecond)
					serveOne(balancer, all, promptInfo(n, tokens, loads), at)
				}
			})
		}
	}
}
