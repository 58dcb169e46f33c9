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

// Entries must learn of each incarnation together with everything that is published about it: its
// report, whether it is busy, and its load. A control instance that restarted must publish the
// incarnation from its file until it hears of a later one.
func TestIncarnationsArePublished(t *testing.T) {
	withStart := func(start registry.Start) registry.Instance {
		in := instance("x", 7)
		in.Start = start
		return in
	}
	first := registry.Incarnation{ID: "x", Start: 1000}
	c := newControl(t)
	f := follow(t, c)
	c.source.Load().RecordHeartbeat(withStart(1000))
	c.source.Load().PublishBusy([]registry.Incarnation{first})
	c.source.Load().PublishLoads(map[registry.Incarnation]balance.EngineLoad{first: {Waiting: 3, Used: 160}}, 330*time.Millisecond)
	waitFor(t, "the first incarnation is known with its load and busy state", func() bool {
		v := f.View()
		return len(v.Instances["s"]) == 1 && v.Instances["s"][0].Incarnation() == first && v.Busy[first] &&
			v.Loads[first] == balance.EngineLoad{Waiting: 3, Used: 160} && v.LoadsInterval == 330*time.Millisecond
	})
	c.source.Load().RecordHeartbeat(withStart(2000))
	waitFor(t, "the second incarnation has replaced the first", func() bool { return f.View().Instances["s"][0].Start == 2000 })
	c.source.Load().RecordRestart(&registry.RestartedError{Expected: first, ActualStart: 2000})
	c.source.Load().RecordHeartbeat(withStart(1000))
	second := f.View().Instances["s"][0].Incarnation()
	if diff := cmp.Diff(registry.Incarnation{ID: "x", Start: 2000}, second); diff != "" {
		t.Error(diff)
	}
	c.source.Load().RecordRestart(&registry.RestartedError{Expected: second, ActualStart: 3000})
	waitFor(t, "the second incarnation has ended", func() bool { return len(f.View().Instances["s"]) == 0 })
}

func TestIncarnationsArePersisted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	in := instance("x", 7)
	in.Start = 2000
	first := fleet.NewSource(life, heartbeat, discardLogger)
	first.Persist(life, path)
	first.RecordHeartbeat(in)
	waitFor(t, "the file is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	c := newControl(t)
	c.source.Load().Persist(t.Context(), path)
	f := follow(t, c)
	waitFor(t, "the incarnation is restored", func() bool { return len(f.View().Instances["s"]) == 1 })
	late := in
	late.Start, late.Sequence, late.Address = 1000, 900, "elsewhere"
	c.source.Load().RecordHeartbeat(late)
	if diff := cmp.Diff([]registry.Start{2000}, []registry.Start{f.View().Instances["s"][0].Start}); diff != "" {
		t.Error(diff)
	}
	next := in
	next.Start, next.Sequence = 3000, 1
	c.source.Load().RecordHeartbeat(next)
	waitFor(t, "the next incarnation has replaced it", func() bool { return f.View().Instances["s"][0].Start == 3000 })
}
