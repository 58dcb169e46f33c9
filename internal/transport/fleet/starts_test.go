package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// A start is told to entries with all that is told of an instance: its report, whether it is busy
// and its load; and a control instance that began anew tells the start that it wrote down, until it
// hears of a later one.
func TestStartsAreTold(t *testing.T) {
	of := func(start registry.Start) registry.Instance {
		in := instance("x", 7)
		in.Start = start
		return in
	}
	first := registry.Incarnation{ID: "x", Start: 1000}
	c := newControl(t)
	f := follow(t, c)
	c.source.Load().RecordHeartbeat(of(1000))
	c.source.Load().PublishBusy([]registry.Incarnation{first})
	c.source.Load().PublishLoads(map[registry.Incarnation]balance.EngineLoad{first: {Waiting: 3, Used: 160}}, 330*time.Millisecond)
	wait(t, "the first start is known with all that is told of it", func() bool {
		v := f.View()
		return len(v.Instances["s"]) == 1 && v.Instances["s"][0].Incarnation() == first && v.Busy[first] &&
			v.Loads[first] == balance.EngineLoad{Waiting: 3, Used: 160} && v.LoadsInterval == 330*time.Millisecond
	})
	c.source.Load().RecordHeartbeat(of(2000))
	wait(t, "the second start has its place", func() bool { return f.View().Instances["s"][0].Start == 2000 })
	c.source.Load().RecordRestart(&registry.RestartedError{Expected: first, ActualStart: 2000})
	c.source.Load().RecordHeartbeat(of(1000))
	second := f.View().Instances["s"][0].Incarnation()
	if diff := cmp.Diff(registry.Incarnation{ID: "x", Start: 2000}, second); diff != "" {
		t.Error(diff)
	}
	c.source.Load().RecordRestart(&registry.RestartedError{Expected: second, ActualStart: 3000})
	wait(t, "it has ended once another start answered", func() bool { return len(f.View().Instances["s"]) == 0 })
}

func TestStartsAreRemembered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	in := instance("x", 7)
	in.Start = 2000
	first := fleet.NewSource(life, heartbeat, quiet)
	first.Persist(life, path)
	first.RecordHeartbeat(in)
	wait(t, "it is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	c := newControl(t)
	c.source.Load().Persist(t.Context(), path)
	f := follow(t, c)
	wait(t, "it is known again", func() bool { return len(f.View().Instances["s"]) == 1 })
	late := in
	late.Start, late.Sequence, late.Address = 1000, 900, "elsewhere"
	c.source.Load().RecordHeartbeat(late)
	if diff := cmp.Diff([]registry.Start{2000}, []registry.Start{f.View().Instances["s"][0].Start}); diff != "" {
		t.Error(diff)
	}
	next := in
	next.Start, next.Sequence = 3000, 1
	c.source.Load().RecordHeartbeat(next)
	wait(t, "the next start has its place", func() bool { return f.View().Instances["s"][0].Start == 3000 })
}
