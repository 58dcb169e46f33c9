package balance_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// The choice for a key evaluates a few candidates, and is the same as if all were evaluated.
func TestShortlistMakesTheSameChoice(t *testing.T) {
	const steps = 400
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 0x5407))
		engines, loads := loaded(3 + random.IntN(60))
		few, all := balance.New(seed), balance.New(seed)
		at := now
		var running []registry.Incarnation
		each := func(f func(*balance.Balancer)) { f(few); f(all) }
		for step := range steps {
			at = at.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			some := engines[random.IntN(len(engines))].Incarnation()
			disturb(random, each, some, loads, at)
			info := promptInfo(random.IntN(20), 500+random.IntN(40_000), loads)
			info.Weights = 0
			if random.IntN(4) == 0 {
				info.Tried = []registry.Incarnation{engines[random.IntN(len(engines))].Incarnation()}
			}
			got, gotOK := few.Pick(engines, info, at)
			// An instance that is not among these fails, which rules out the shortlist.
			info.Failing = map[registry.Incarnation]bool{{ID: "another"}: true}
			want, wantOK := all.Pick(engines, info, at)
			if got.ID != want.ID || gotOK != wantOK {
				t.Fatalf("seed %d, step %d: chose %q (%v), not %q (%v)", seed, step, got.ID, gotOK, want.ID, wantOK)
			}
			if !gotOK {
				continue
			}
			each(func(b *balance.Balancer) { b.Begin(got, at); b.Reserve(got.Incarnation(), info, at) })
			running = append(running, got.Incarnation())
			if len(running) > 5 {
				each(func(b *balance.Balancer) { b.End(running[0], balance.Result{Latency: 30 * time.Millisecond}, at) })
				running = running[1:]
			}
		}
	}
}

// disturb changes what is known of an instance in some way.
func disturb(random *rand.Rand, each func(func(*balance.Balancer)), target registry.Incarnation, loads map[registry.Incarnation]balance.EngineLoad, at time.Time) {
	switch random.IntN(8) {
	case 0:
		until := at.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		each(func(b *balance.Balancer) { b.SetRestUntil(target, until, at) })
	case 1:
		until := at.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		each(func(b *balance.Balancer) { b.SetColdUntil(target, until) })
	case 2:
		loads[target] = balance.EngineLoad{Used: random.IntN(87_000), Waiting: random.IntN(3)}
	case 3:
		delete(loads, target)
	case 4:
		each(func(b *balance.Balancer) { b.RecordResponse(target, at) })
	case 5:
		before := at.Add(-time.Duration(random.IntN(5000)) * time.Millisecond)
		each(func(b *balance.Balancer) { b.Prune(before) })
	}
}

// What an entry keeps of instances grows with those that it uses, not with those that there are.
func TestUnusedInstancesTakeLittleMemory(t *testing.T) {
	const most = 128
	engines, loads := loaded(9315)
	balancer := balance.New(1)
	bytes := liveBytes(func() { serveOne(balancer, engines, promptInfo(1, 500, loads), now) })
	defer runtime.KeepAlive(balancer)
	if each := bytes / int64(len(engines)); each > most {
		t.Error(fmt.Sprint(each, " bytes for each instance, at most ", most))
	}
}
