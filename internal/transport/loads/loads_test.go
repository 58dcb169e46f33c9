package loads_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/loads"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// engines is a fake client that returns the loads that it holds; an engine without one does not respond.
type engines struct {
	loads map[string]balance.EngineLoad
	polls atomic.Int64
	// unresponsive reports which engines do not respond until the call times out; responsivePolls
	// counts the polls of the others.
	unresponsive    func(id string) bool
	responsivePolls atomic.Int64

	mu sync.Mutex
	// perWindow counts the polls in each span of pollWindow. It is guarded by mu.
	perWindow map[int64]int
}

// pollWindow is the interval at which few engines are polled.
const pollWindow = 200 * time.Millisecond

// mostPerWindow returns the largest number of polls in a span of pollWindow.
func (e *engines) mostPerWindow() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, n := range e.perWindow {
		most = max(most, n)
	}
	return most
}

// countWindow counts a poll that is sent now.
func (e *engines) countWindow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.perWindow == nil {
		e.perWindow = map[int64]int{}
	}
	e.perWindow[time.Now().UnixNano()/int64(pollWindow)]++
}

// callTimeout is how long a poll of an unresponsive engine takes.
const callTimeout = time.Second

func (e *engines) Usage(ctx context.Context, in registry.Instance, _ time.Duration) (balance.EngineLoad, error) {
	e.polls.Add(1)
	e.countWindow()
	if e.unresponsive != nil && e.unresponsive(in.ID) {
		select {
		case <-time.After(callTimeout):
		case <-ctx.Done():
		}
		return balance.EngineLoad{}, errors.New("timed out")
	}
	e.responsivePolls.Add(1)
	load, ok := e.load(in.ID)
	if !ok {
		return balance.EngineLoad{}, errors.New("no answer")
	}
	return load, nil
}

// viewOf returns a view with some engines, and a plain service that must not be polled.
func viewOf(ids ...string) *fleet.View {
	view := &fleet.View{
		Config:    &deployment.Config{Services: map[string]deployment.Service{"llm": {Engine: &deployment.Engine{}}, "plain": {}}},
		Instances: map[string][]registry.Instance{"plain": {{ID: "p"}}},
	}
	for _, id := range ids {
		view.Instances["llm"] = append(view.Instances["llm"], registry.Instance{ID: id})
	}
	return view
}

// Entries receive the loads of the engines that respond while the replica leads, and none once it does
// not.
func TestLoadsArePublishedWhileLeading(t *testing.T) {
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, time.Second, quiet)
		e := &engines{loads: map[string]balance.EngineLoad{"a": {Waiting: 3, Used: 60_000}, "b": {}}}
		var leads atomic.Bool
		w := &loads.Poller{
			View: func() *fleet.View { return viewOf("a", "b", "silent") }, Leading: func() (uint64, bool) { return 1, leads.Load() },
			Engines: e, Source: source, Log: quiet,
		}
		go w.Run(ctx)
		published := func() map[string]balance.EngineLoad {
			time.Sleep(time.Second)
			out, err := source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]balance.EngineLoad{}
			for i, in := range out.NewEngines {
				got[in.Id] = balance.EngineLoad{Waiting: int(out.Waiting[i]), Used: int(out.UsedBlocks[i]) * 16}
			}
			return got
		}
		if diff := cmp.Diff(map[string]balance.EngineLoad{}, published()); diff != "" || e.polls.Load() != 0 {
			t.Error("while another leads: ", e.polls.Load(), diff)
		}
		leads.Store(true)
		if diff := cmp.Diff(e.loads, published()); diff != "" {
			t.Error(diff)
		}
		leads.Store(false)
		if diff := cmp.Diff(map[string]balance.EngineLoad{}, published()); diff != "" {
			t.Error("once another leads: ", diff)
		}
	})
}

// recorder records the last result of each engine's polls, and when the last load arrived.
type recorder struct {
	mu    sync.Mutex
	loads map[string]balance.EngineLoad
	lost  map[string]bool
	at    time.Time
}

func (r *recorder) RecordLoad(of registry.Incarnation, load balance.EngineLoad, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[of.ID] = load
	delete(r.lost, of.ID)
	r.at = at
}

func (r *recorder) RecordUnresponsive(of registry.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[of.ID] = true
}

// Guards against decisions by loads that are older than need be: each load arrives at the decider although
// another engine of the round does not respond, and that one is reported as well.
func TestDeciderGetsLoadsAsTheyArrive(t *testing.T) {
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		began := clock.Now()
		e := &engines{loads: map[string]balance.EngineLoad{"a": {Waiting: 3, Used: 60_000}}, unresponsive: func(id string) bool { return id == "lost" }}
		r := &recorder{loads: map[string]balance.EngineLoad{}, lost: map[string]bool{}}
		w := &loads.Poller{
			View: func() *fleet.View { return viewOf("a", "lost") }, Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Decider: r, Log: quiet,
		}
		go w.Run(ctx)
		synctest.Wait()
		r.mu.Lock()
		if diff := cmp.Diff(e.loads, r.loads); diff != "" || !r.at.Equal(began) {
			t.Errorf("at %s: %s", r.at.Sub(began), diff)
		}
		r.mu.Unlock()
		time.Sleep(time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		if diff := cmp.Diff(map[string]bool{"lost": true}, r.lost); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against slow polls of all engines when a quarter of them stop responding at the same time: apart
// from a short delay, the others must be polled as often as before and the unresponsive ones every one to
// three seconds, and entries must lose the loads of the latter within 0.8 s.
func TestUnresponsiveEnginesDoNotDelayOthers(t *testing.T) {
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		const engineCount, unresponsiveCount, seconds = 163, 41, 20
		e := &engines{loads: map[string]balance.EngineLoad{}}
		var ids []string
		unresponsive := map[string]bool{}
		for n := range engineCount {
			id := time.Duration(n).String()
			ids = append(ids, id)
			unresponsive[id] = n < unresponsiveCount
			e.loads[id] = balance.EngineLoad{}
		}
		var stopped atomic.Bool
		e.unresponsive = func(id string) bool { return stopped.Load() && unresponsive[id] }
		view := viewOf(ids...)
		w := &loads.Poller{
			View: func() *fleet.View { return view }, Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
		}
		go w.Run(ctx)
		known := func() int {
			out, err := w.Source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			return len(out.NewEngines)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(engineCount, known()); diff != "" {
			t.Error(diff)
		}
		stopped.Store(true)
		time.Sleep(800 * time.Millisecond)
		if diff := cmp.Diff(engineCount-unresponsiveCount, known()); diff != "" {
			t.Error("engines with known loads after a quarter stopped responding: " + diff)
		}
		e.polls.Store(0)
		e.responsivePolls.Store(0)
		time.Sleep(seconds * time.Second)
		pollsPerResponsive := float64(e.responsivePolls.Load()) / (engineCount - unresponsiveCount) / seconds
		pollsPerUnresponsive := float64(e.polls.Load()-e.responsivePolls.Load()) / unresponsiveCount / seconds
		if pollsPerResponsive < 2.5 || pollsPerUnresponsive > 1 || pollsPerUnresponsive < 0.3 {
			t.Errorf("each responsive engine is polled %.2f times/s, each unresponsive one %.2f times/s", pollsPerResponsive, pollsPerUnresponsive)
		}
	})
}

// The number of polls per second is bounded whatever the number of engines.
func TestPollRateIsBounded(t *testing.T) {
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var ids []string
		for n := range 3000 {
			ids = append(ids, time.Duration(n).String())
		}
		e := &engines{}
		view := viewOf(ids...)
		w := &loads.Poller{
			View: func() *fleet.View { return view }, Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
		}
		go w.Run(ctx)
		time.Sleep(time.Minute)
		if n := e.polls.Load(); n > 550*60 {
			t.Errorf("%d polls in a minute", n)
		}
	})
}

// However many engines there are, the polls of any short time are bounded, and so are the connections
// that they need.
func TestPollsAreSpreadOverTheInterval(t *testing.T) {
	for _, engineCount := range []int{600, 9_315, 18_630} {
		t.Run(fmt.Sprint(engineCount), func(t *testing.T) {
			clocktest.Bubble(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				e := &engines{loads: map[string]balance.EngineLoad{}}
				w := &loads.Poller{
					View: viewOfMany(e, engineCount), Leading: func() (uint64, bool) { return 1, true },
					Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
				}
				go w.Run(ctx)
				time.Sleep(time.Duration(engineCount) * time.Second / 500)
				synctest.Wait()
				polls := e.polls.Load()
				if polls < int64(engineCount) || polls > int64(engineCount)+100 {
					t.Errorf("%d polls of %d engines in an interval", polls, engineCount)
				}
				if most := e.mostPerWindow(); most > 200 {
					t.Errorf("%d polls within %v", most, pollWindow)
				}
			})
		})
	}
}

// Entries prefer engines whose load is known, so a new leader publishes no loads until it has polled all
// engines; from then on it publishes changes with each batch.
func TestLoadsAreNotPublishedInPart(t *testing.T) {
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		const engineCount = 2000
		const interval = engineCount * time.Second / 500
		e := &engines{loads: map[string]balance.EngineLoad{}}
		w := &loads.Poller{
			View: viewOfMany(e, engineCount), Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
		}
		go w.Run(ctx)
		known := func() int {
			out, err := w.Source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			return len(out.NewEngines)
		}
		time.Sleep(interval / 2)
		if n := known(); n != 0 {
			t.Errorf("%d loads are known when half of the engines were polled", n)
		}
		time.Sleep(interval/2 + pollWindow)
		if n := known(); n != engineCount {
			t.Errorf("%d loads are known once all engines were polled", n)
		}
		first := w.View().Instances["llm"][0].ID
		e.setLoad(first, balance.EngineLoad{Waiting: 5})
		time.Sleep(interval + pollWindow)
		out, err := w.Source.Watch(ctx, &wire.FleetRequest{Entry: true})
		if err != nil {
			t.Fatal(err)
		}
		waiting := uint32(0)
		for _, n := range out.Waiting {
			waiting += n
		}
		if waiting != 5 {
			t.Errorf("%d requests wait at all engines, not 5", waiting)
		}
	})
}

// viewOfMany returns a function that returns a view with some engines, each of which responds.
func viewOfMany(e *engines, n int) func() *fleet.View {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("engine-", i)
		e.loads[ids[i]] = balance.EngineLoad{}
	}
	view := viewOf(ids...)
	return func() *fleet.View { return view }
}

// setLoad sets the load of an engine.
func (e *engines) setLoad(id string, load balance.EngineLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads[id] = load
}

// load returns the load of an engine, if it responds.
func (e *engines) load(id string) (balance.EngineLoad, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load, ok := e.loads[id]
	return load, ok
}
