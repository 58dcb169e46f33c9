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

// A configuration is in force at once, whichever source has it first, and an older one
// never follows.
func TestConfigurationOnlyRises(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.install(5)
	wait(t, "5 holds", func() bool { c := f.View().Config; return c != nil && c.Version == 5 })
	polls := b.polls.Load()
	b.install(3)
	b.source.Load().RecordHeartbeat(instance("x", 1))
	wait(t, "b was heard", func() bool { return b.polls.Load() > polls && len(live(f)) == 1 })
	if diff := cmp.Diff(uint64(5), f.View().Config.Version); diff != "" {
		t.Error(diff)
	}
}

// A configuration's text comes from one source, however many have it; one that does not
// give it is passed over.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	var controls []*control
	for range 5 {
		controls = append(controls, newControl(t))
	}
	f := follow(t, controls...)
	texts := func() (n int64) {
		for _, c := range controls {
			n += c.texts.Load()
		}
		return n
	}
	install := func(version uint64) {
		for _, c := range controls {
			c.install(version)
		}
		wait(t, "it holds", func() bool { c := f.View().Config; return c != nil && c.Version == version })
	}
	install(1)
	before := texts()
	for version := uint64(2); version < 12; version++ {
		install(version)
	}
	// One that told of a version before the last may be asked for nothing.
	if n := texts() - before; n > 15 {
		t.Errorf("10 configurations were asked for %d times", n)
	}
	controls[0].mute.Store(true)
	controls[1].mute.Store(true)
	began := time.Now()
	install(12)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %s", took)
	}
}

// One that lags, or knows less, is not asked over and over.
func TestLaggingSourceIsNotPolledInALoop(t *testing.T) {
	a, b := newControl(t), newControl(t)
	a.source.Load().Publish(ledger.Installed{Version: 2, Text: []byte("2")}, map[string]uint64{"m": 2})
	b.source.Load().Publish(ledger.Installed{Version: 1, Text: []byte("1")}, map[string]uint64{"m": 1})
	f := follow(t, a, b)
	wait(t, "the newest is known", func() bool { return f.View().Weights["m"] == 2 })
	before := b.polls.Load()
	a.install(3)
	wait(t, "a poll's time has passed", func() bool { return b.polls.Load() > before })
	if n := b.polls.Load(); n > before+5 {
		t.Errorf("%d polls", n-before)
	}
}

// All entries ask for the configuration as all start: a control instance counts them in its log, and
// does not list them on its share of a core while they wait.
func TestQuestionsForTheConfigurationAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		given := &lines{}
		source := fleet.NewSource(ctx, heartbeat, &log.Logger{Writer: log.IOWriter{Writer: given}})
		source.Publish(ledger.Installed{Version: 1, Text: []byte("1")}, nil)
		for range 300 {
			if _, err := source.ConfigurationPieces(ctx, &wire.ConfigurationRequest{Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
		<-time.After(2 * time.Second)
		if diff := cmp.Diff(1, given.of("configuration_given")); diff != "" {
			t.Error(diff)
		}
	})
}
