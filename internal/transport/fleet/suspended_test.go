package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// A control instance that was suspended must send the full age of a weight version, including the
// time of the suspension.
func TestSuspensionCountsIntoAges(t *testing.T) {
	const asleep = time.Minute
	machine := clocktest.New(t)
	c := newControl(t)
	c.source.Load().Publish(ledger.Installed{}, map[string]uint64{"m": 1})
	machine.Suspend(asleep)
	out, err := c.source.Load().Watch(context.Background(), &wire.FleetRequest{})
	if err != nil || len(out.Named) != 1 {
		t.Fatal(out, err)
	}
	if age := time.Duration(out.Named[0].AgeMilliseconds) * time.Millisecond; age < asleep {
		t.Errorf("the age is %s", age)
	}
}

// The first poller after a suspension must receive the number of entries before it, whether or not
// a sweep has run since.
func TestEntriesCountRightAfterASuspension(t *testing.T) {
	machine := clocktest.New(t)
	c := newControl(t)
	_, err := c.source.Load().Watch(t.Context(), &wire.FleetRequest{Name: "e", Entry: true})
	if err != nil {
		t.Fatal(err)
	}
	machine.Suspend(time.Hour)
	out, err := c.source.Load().Watch(t.Context(), &wire.FleetRequest{})
	if err != nil || out.Entries != 1 {
		t.Errorf("%d entries: %v", out.GetEntries(), err)
	}
}

// A control instance that was suspended may receive orders that were sent before that; Awake must
// report this for a while.
func TestAwakeAfterASuspension(t *testing.T) {
	machine := clocktest.New(t)
	c := newControl(t)
	if !c.source.Load().Awake() {
		t.Error("not awake before the suspension")
	}
	machine.Suspend(5 * time.Second)
	if c.source.Load().Awake() {
		t.Error("awake right after the suspension")
	}
	waitFor(t, "it is awake again", c.source.Load().Awake)
}

// A control instance that was suspended has received no heartbeats and polls in the meantime. This
// must not make instances silent or entries disappear: only the time while it was running counts.
func TestSuspensionMarksNoInstanceSilent(t *testing.T) {
	machine := clocktest.New(t)
	c := newControl(t)
	source := c.source.Load()
	source.RecordHeartbeat(instance("i-1", 1))
	_, err := source.Watch(context.Background(), &wire.FleetRequest{Name: "e", Entry: true})
	if err != nil {
		t.Fatal(err)
	}
	machine.Suspend(time.Hour)
	// Twice the sweep interval.
	<-time.After(time.Second)
	out, err := source.Watch(context.Background(), &wire.FleetRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]bool{false}, []bool{out.Instances[0].Silent}); diff != "" || out.Entries != 1 {
		t.Errorf("%d entries, instances: %s", out.Entries, diff)
	}
	waitFor(t, "the instance is silent after too long without a heartbeat", func() bool {
		out, err := source.Watch(context.Background(), &wire.FleetRequest{})
		return err == nil && out.Instances[0].Silent
	})
}
