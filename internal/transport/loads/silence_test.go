package loads_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/loads"
)

// Guards against overload of the first engines that respond to the leader after a silence of all: entries prefer engines
// whose load is known.
func TestLoadsAreNotPublishedInPartAfterASilence(t *testing.T) {
	for _, engineCount := range []int{9, 50, 110, 300, 970} {
		t.Run(fmt.Sprint(engineCount), func(t *testing.T) {
			clocktest.Bubble(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				e := &engines{loads: map[string]balance.EngineLoad{}}
				var silent atomic.Bool
				e.unresponsive = func(string) bool { return silent.Load() }
				w := &loads.Poller{
					View: viewOfMany(e, engineCount), Leading: func() (uint64, bool) { return 1, true },
					Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
				}
				go w.Run(ctx)
				time.Sleep(5 * time.Second)
				silent.Store(true)
				time.Sleep(1500 * time.Millisecond)
				silent.Store(false)
				partly := time.Duration(0)
				for range 600 {
					time.Sleep(50 * time.Millisecond)
					out, err := w.Source.Watch(ctx, &wire.FleetRequest{Entry: true})
					if err != nil {
						t.Fatal(err)
					}
					if n := len(out.NewEngines); n > 0 && 2*n < engineCount {
						partly += 50 * time.Millisecond
					}
				}
				if partly > 0 {
					t.Errorf("after a silence of all %d engines, the loads of under half of them are published for %s", engineCount, partly)
				}
			})
		})
	}
}

// Guards against withholding the loads of one service, or publishing those of another in part, while its engines recover.
func TestRecoveryOfOneServiceConcernsNoOther(t *testing.T) {
	const sound, recovering = 60, 40
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		e := &engines{loads: map[string]balance.EngineLoad{}}
		view := &fleet.View{
			Config: &deployment.Config{Services: map[string]deployment.Service{"a": {Engine: &deployment.Engine{}}, "b": {Engine: &deployment.Engine{}}}}, Instances: map[string][]registry.Instance{},
		}
		for service, count := range map[string]int{"a": sound, "b": recovering} {
			for n := range count {
				id := fmt.Sprint(service, n)
				e.loads[id] = balance.EngineLoad{}
				view.Instances[service] = append(view.Instances[service], registry.Instance{ID: id, Service: service})
			}
		}
		var silent atomic.Bool
		e.unresponsive = func(id string) bool { return id[0] == 'b' && silent.Load() }
		w := &loads.Poller{
			View: func() *fleet.View { return view }, Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
		}
		go w.Run(ctx)
		time.Sleep(5 * time.Second)
		silent.Store(true)
		for n := range 200 {
			if n == 30 {
				silent.Store(false)
			}
			time.Sleep(50 * time.Millisecond)
			out, err := w.Source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			known := len(out.NewEngines)
			if known < sound || n >= 30 && known > sound && 2*(known-sound) < recovering {
				t.Errorf("after %d ms the loads of %d engines are published", 50*n, known)
			}
		}
	})
}

// Guards against data races in the code of the tests in bubbles, which run on one thread under the race detector.
func TestLoadsArePolledOnAllProcessors(t *testing.T) {
	const engineCount = 300
	e := &engines{loads: map[string]balance.EngineLoad{}}
	var silent atomic.Bool
	e.unresponsive = func(id string) bool { return silent.Load() && id[len(id)-1]%2 == 0 }
	w := &loads.Poller{
		View: viewOfMany(e, engineCount), Leading: func() (uint64, bool) { return 1, true },
		Engines: e, Source: fleet.NewSource(t.Context(), time.Second, quiet), Log: quiet,
	}
	done := make(chan struct{})
	go func() { defer close(done); w.Run(t.Context()) }()
	t.Cleanup(func() { <-done })
	published := func() int {
		out, err := w.Source.Watch(t.Context(), &wire.FleetRequest{Entry: true})
		if err != nil {
			t.Fatal(err)
		}
		return len(out.NewEngines)
	}
	await.Until(t, time.Minute, "all loads are published", func() bool { return published() == engineCount })
	silent.Store(true)
	await.Until(t, time.Minute, "only the loads of those that respond are", func() bool { n := published(); return n > 0 && n < engineCount })
	silent.Store(false)
	await.Until(t, time.Minute, "all loads are published again", func() bool { return published() == engineCount })
}
