package fleet_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// A source that lost power must know the instances again at once, including one that is leaving.
// Those that do not report soon must become silent sooner than after a heartbeat.
func TestInstancesArePersisted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	live := func(id string, leaving bool) registry.Instance {
		in := instance(id, 5)
		in.Leaving = leaving
		return in
	}
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, discardLogger)
	first.Persist(life, path)
	first.RecordHeartbeat(live("x", false))
	first.RecordHeartbeat(live("y", true))
	waitFor(t, "the file is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	next := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	next.Persist(t.Context(), path)
	ask := func(since *wire.FleetResponse) (*wire.FleetResponse, map[string]string) {
		out, err := next.Watch(t.Context(), &wire.FleetRequest{Epoch: since.GetEpoch(), Change: since.GetChange(), WaitMilliseconds: 5000})
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]string{}
		for _, r := range out.Instances {
			got[r.Id] = fmt.Sprint(r.Leaving, r.Silent)
		}
		return out, got
	}
	began := time.Now()
	out, got := ask(nil)
	if diff := cmp.Diff(map[string]string{"x": "false false", "y": "true false"}, got); diff != "" {
		t.Error(diff)
	}
	_, got = ask(out)
	if diff := cmp.Diff(map[string]string{"x": "false true", "y": "true true"}, got); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(began); took > 4*heartbeat {
		t.Errorf("silent only after %s", took)
	}
	next.Persist(t.Context(), filepath.Join(t.TempDir(), "none"))
	_ = os.WriteFile(path, []byte("no reports"), 0o600)
	fleet.NewSource(t.Context(), heartbeat, discardLogger).Persist(t.Context(), path)
}
