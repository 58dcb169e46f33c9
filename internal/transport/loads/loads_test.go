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

// engines answers with the loads that it holds; an engine without one does not answer.
type engines struct {
	loads map[string]balance.EngineLoad
	asked atomic.Int64
	// dark says which engines answer nothing until the call times out; sound counts the
	// questions to the others.
	dark  func(id string) bool
	sound atomic.Int64
}

// callTimeout is how long a question to a dark engine takes.
const callTimeout = time.Second

func (e *engines) Usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error) {
	e.asked.Add(1)
	if e.dark != nil && e.dark(in.ID) {
		select {
		case <-time.After(callTimeout):
		case <-ctx.Done():
		}
		return balance.EngineLoad{}, errors.New("timed out")
	}
	e.sound.Add(1)
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
		// The time of a bubble is Go's.
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
		told := func() map[string]balance.EngineLoad {
			time.Sleep(time.Second)
			out, err := source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]balance.EngineLoad{}
			for i, in := range out.Engines {
				got[in.Id] = balance.EngineLoad{Waiting: int(out.Waiting[i]), Used: int(out.UsedBlocks[i]) * 16}
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

// A quarter of the engines goes dark at once: the others are asked as often as before but for a
// moment, the dark ones once in one to three seconds, and entries know of them within 0.8 s.
func TestDarkEnginesHoldUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The time of a bubble is Go's.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		const engineCount, darkCount, seconds = 163, 41, 20
		e := &engines{loads: map[string]balance.EngineLoad{}}
		var ids []string
		dark := map[string]bool{}
		for n := range engineCount {
			id := time.Duration(n).String()
			ids = append(ids, id)
			dark[id] = n < darkCount
			e.loads[id] = balance.EngineLoad{}
		}
		var fell atomic.Bool
		e.dark = func(id string) bool { return fell.Load() && dark[id] }
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
			return len(out.Engines)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(engineCount, known()); diff != "" {
			t.Error(diff)
		}
		fell.Store(true)
		time.Sleep(800 * time.Millisecond)
		if diff := cmp.Diff(engineCount-darkCount, known()); diff != "" {
			t.Error("engines that are known after a quarter fell dark: " + diff)
		}
		e.asked.Store(0)
		e.sound.Store(0)
		time.Sleep(seconds * time.Second)
		each := float64(e.sound.Load()) / (engineCount - darkCount) / seconds
		ofDark := float64(e.asked.Load()-e.sound.Load()) / darkCount / seconds
		if each < 2.5 || ofDark > 1 || ofDark < 0.3 {
			t.Errorf("each sound engine is asked %.2f times a second, each dark one %.2f times", each, ofDark)
		}
	})
}

// However many engines there are, no more than some are asked in a second.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The time of a bubble is Go's.
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
		if n := e.asked.Load(); n > 550*60 {
			t.Errorf("%d questions in a minute", n)
		}
	})
}
