package loads_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

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
}

// callTimeout is how long a poll of an unresponsive engine takes.
const callTimeout = time.Second

func (e *engines) Usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error) {
	e.polls.Add(1)
	if e.unresponsive != nil && e.unresponsive(in.ID) {
		select {
		case <-time.After(callTimeout):
		case <-ctx.Done():
		}
		return balance.EngineLoad{}, errors.New("timed out")
	}
	e.responsivePolls.Add(1)
	load, ok := e.loads[in.ID]
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
	synctest.Test(t, func(t *testing.T) {
		// Makes package clock follow the fake time of the synctest bubble.
		clocktest.New(t)
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

// Guards against slow polls of all engines when a quarter of them stop responding at the same time: apart
// from a short delay, the others must be polled as often as before and the unresponsive ones every one to
// three seconds, and entries must lose the loads of the latter within 0.8 s.
func TestUnresponsiveEnginesDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Makes package clock follow the fake time of the synctest bubble.
		clocktest.New(t)
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
	synctest.Test(t, func(t *testing.T) {
		// Makes package clock follow the fake time of the synctest bubble.
		clocktest.New(t)
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
