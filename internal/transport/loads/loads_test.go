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

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/loads"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// engines answers with the loads that it holds; an engine without one does not answer.
type engines struct {
	loads map[string]balance.EngineLoad
	asked atomic.Int64
}

func (e *engines) Usage(_ context.Context, in registry.Instance) (balance.EngineLoad, error) {
	e.asked.Add(1)
	load, ok := e.loads[in.ID]
	if !ok {
		return balance.EngineLoad{}, errors.New("no answer")
	}
	return load, nil
}

// viewOf has some engines, and a plain service that is never asked.
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

// Entries are told of the loads of the engines that answer, while the replica leads, and of
// none once it does not.
func TestLoadsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, time.Second, quiet)
		e := &engines{loads: map[string]balance.EngineLoad{"a": {Waiting: 3, Used: 60_000}, "b": {}}}
		var leads atomic.Bool
		w := &loads.Watcher{
			View: func() *fleet.View { return viewOf("a", "b", "silent") }, Leading: func() (uint64, bool) { return 1, leads.Load() },
			Engines: e, Source: source, Log: quiet,
		}
		go w.Run(ctx)
		told := func() map[string]balance.EngineLoad {
			time.Sleep(time.Second)
			out, err := source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]balance.EngineLoad{}
			for _, l := range out.Loads {
				got[l.Id] = balance.EngineLoad{Waiting: int(l.Waiting), Used: int(l.UsedTokens)}
			}
			return got
		}
		if diff := cmp.Diff(map[string]balance.EngineLoad{}, told()); diff != "" || e.asked.Load() != 0 {
			t.Error("while another leads: ", e.asked.Load(), diff)
		}
		leads.Store(true)
		if diff := cmp.Diff(e.loads, told()); diff != "" {
			t.Error(diff)
		}
		leads.Store(false)
		if diff := cmp.Diff(map[string]balance.EngineLoad{}, told()); diff != "" {
			t.Error("once another leads: ", diff)
		}
	})
}

// However many engines there are, no more than some are asked in a second.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var ids []string
		for n := range 3000 {
			ids = append(ids, time.Duration(n).String())
		}
		e := &engines{}
		view := viewOf(ids...)
		w := &loads.Watcher{
			View: func() *fleet.View { return view }, Leading: func() (uint64, bool) { return 1, true },
			Engines: e, Source: fleet.NewSource(ctx, time.Second, quiet), Log: quiet,
		}
		go w.Run(ctx)
		time.Sleep(time.Minute)
		if n := e.asked.Load(); n > 200*60 {
			t.Errorf("%d questions in a minute", n)
		}
	})
}
