package queues_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/queues"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// engines answers with the queues that it holds; an engine without one does not answer.
type engines struct {
	queues map[string]int
	asked  atomic.Int64
}

func (e *engines) Waiting(_ context.Context, in registry.Instance) (int, error) {
	e.asked.Add(1)
	n, ok := e.queues[in.ID]
	if !ok {
		return 0, errors.New("no answer")
	}
	return n, nil
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

// Entries are told of the queues of the engines that answer, while the replica leads, and of
// none once it does not.
func TestQueuesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, time.Second, quiet)
		e := &engines{queues: map[string]int{"a": 3, "b": 0}}
		var leads atomic.Bool
		w := &queues.Watcher{
			View: func() *fleet.View { return viewOf("a", "b", "silent") }, Leading: func() (uint64, bool) { return 1, leads.Load() },
			Engines: e, Source: source, Log: quiet,
		}
		go w.Run(ctx)
		told := func() map[string]uint32 {
			time.Sleep(time.Second)
			out, err := source.Watch(ctx, &wire.FleetRequest{Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]uint32{}
			for _, q := range out.Queues {
				got[q.Id] = q.Waiting
			}
			return got
		}
		if diff := cmp.Diff(map[string]uint32{}, told()); diff != "" || e.asked.Load() != 0 {
			t.Error("while another leads: ", e.asked.Load(), diff)
		}
		leads.Store(true)
		if diff := cmp.Diff(map[string]uint32{"a": 3, "b": 0}, told()); diff != "" {
			t.Error(diff)
		}
		leads.Store(false)
		if diff := cmp.Diff(map[string]uint32{}, told()); diff != "" {
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
		w := &queues.Watcher{
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
