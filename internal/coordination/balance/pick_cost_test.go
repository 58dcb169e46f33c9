package balance_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// fleetSizes are numbers of engines: of one site, and of fleets of 100 and 300 entries.
var fleetSizes = []int{110, 970, 2900}

// loaded returns engines that tell their loads.
func loaded(engines int) ([]registry.Instance, map[registry.Incarnation]balance.EngineLoad) {
	all := instances(engines)
	loads := map[registry.Incarnation]balance.EngineLoad{}
	for i := range all {
		all[i].FailureDomain = fmt.Sprint("d", i%4)
		loads[all[i].Incarnation()] = balance.EngineLoad{Used: 20_000}
	}
	return all, loads
}

// choose admits, places and ends one request.
func choose(board *balance.Balancer, all []registry.Instance, w balance.PickInfo, at time.Time) {
	board.Admit(all, w, at)
	in, _ := board.Pick(all, w, at)
	board.Begin(in, at)
	board.Reserve(in.Incarnation(), w, at)
	board.RecordResponse(in.Incarnation(), at)
	board.End(in.Incarnation(), balance.Result{Latency: 50 * time.Millisecond}, at)
}

// wishOf is the n-th prompt of some tokens.
func wishOf(n, tokens int, loads map[registry.Incarnation]balance.EngineLoad) balance.PickInfo {
	return balance.PickInfo{
		Key: uint64(n)*0x9e3779b97f4a7c15 | 1, Model: "m", Weights: 1, Tokens: tokens, Memory: 87_000, Loads: loads, Entries: 90, Cold: balance.Capacity{Rate: 14, Max: 26},
	}
}

// The pattern: an entry with a small part of a core gets some twenty prompts a second, before
// thousands of engines. What a choice leaves to the collector of garbage does not grow with them.
func TestChoiceLeavesNoGarbage(t *testing.T) {
	const choices, most = 200, 2048
	for _, engines := range fleetSizes {
		for name, tokens := range map[string]int{"short": 500, "long": 17_000} {
			all, loads := loaded(engines)
			board := balance.New(1)
			at := now
			choose(board, all, wishOf(0, tokens, loads), at)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for n := range choices {
				at = at.Add(50 * time.Millisecond)
				choose(board, all, wishOf(n, tokens, loads), at)
			}
			runtime.ReadMemStats(&after)
			if each := (after.TotalAlloc - before.TotalAlloc) / choices; each > most {
				t.Errorf("a %s prompt among %d engines: %d bytes", name, engines, each)
			}
		}
	}
}

// BenchmarkChoose measures what the choice of an instance takes as a fleet grows.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range fleetSizes {
		all, loads := loaded(engines)
		for name, tokens := range map[string]int{"short": 500, "long": 17_000} {
			b.Run(fmt.Sprint(name, " among ", engines), func(b *testing.B) {
				board := balance.New(1)
				b.ReportAllocs()
				at := now
				for n := range b.N {
					at = at.Add(50 * time.Millisecond)
					choose(board, all, wishOf(n, tokens, loads), at)
				}
			})
		}
	}
}
