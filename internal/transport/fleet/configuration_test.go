package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// A configuration must come in force at once, whichever source has it first, and must never be
// replaced by an older one.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.publishConfig(5)
	waitFor(t, "version 5 is in force", func() bool { c := f.View().Config; return c != nil && c.Version == 5 })
	polls := b.polls.Load()
	b.publishConfig(3)
	b.source.Load().RecordHeartbeat(instance("x", 1))
	waitFor(t, "an answer from b was applied", func() bool { return b.polls.Load() > polls && len(liveIDs(f)) == 1 })
	if diff := cmp.Diff(uint64(5), f.View().Config.Version); diff != "" {
		t.Error(diff)
	}
}

// A configuration's text must be fetched from one source only, however many have it, and a source
// that does not send it must be skipped.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	var controls []*controlServer
	for range 5 {
		controls = append(controls, newControl(t))
	}
	f := follow(t, controls...)
	texts := func() (n int64) {
		for _, c := range controls {
			n += c.textRequests.Load()
		}
		return n
	}
	install := func(version uint64) {
		for _, c := range controls {
			c.publishConfig(version)
		}
		waitFor(t, "the version is in force", func() bool { c := f.View().Config; return c != nil && c.Version == version })
	}
	install(1)
	before := texts()
	for version := uint64(2); version < 12; version++ {
		install(version)
	}
	// A source that announced a version before the last one may be asked in vain.
	if n := texts() - before; n > 15 {
		t.Errorf("10 configurations took %d requests", n)
	}
	controls[0].unresponsive.Store(true)
	controls[1].unresponsive.Store(true)
	began := time.Now()
	install(12)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %s", took)
	}
}

// A source that lags, or knows less, must not be polled in a tight loop.
func TestLaggingSourceIsNotPolledInALoop(t *testing.T) {
	a, b := newControl(t), newControl(t)
	a.source.Load().Publish(ledger.Installed{Version: 2, Text: []byte("2")}, map[string]uint64{"m": 2})
	b.source.Load().Publish(ledger.Installed{Version: 1, Text: []byte("1")}, map[string]uint64{"m": 1})
	f := follow(t, a, b)
	waitFor(t, "the newest version is known", func() bool { return f.View().Weights["m"] == 2 })
	before := b.polls.Load()
	a.publishConfig(3)
	waitFor(t, "b was polled again", func() bool { return b.polls.Load() > before })
	if n := b.polls.Load(); n > before+5 {
		t.Errorf("%d polls", n-before)
	}
}

// All entries request the configuration when the whole fleet starts. A control instance must log
// only the number of requests: a line for each would take CPU time, of which it has a part of a
// core, while the entries wait.
func TestConfigurationRequestsAreLoggedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		logged := &eventCounts{}
		source := fleet.NewSource(ctx, heartbeat, &log.Logger{Writer: log.IOWriter{Writer: logged}})
		source.Publish(ledger.Installed{Version: 1, Text: []byte("1")}, nil)
		for range 300 {
			if _, err := source.ConfigurationPieces(ctx, &wire.ConfigurationRequest{Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
		<-time.After(2 * time.Second)
		if diff := cmp.Diff(1, logged.count("configuration_given")); diff != "" {
			t.Error(diff)
		}
	})
}
