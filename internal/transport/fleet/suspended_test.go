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

// A control instance that was suspended tells how old a version of weights is, not for how long it
// was awake since.
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

// Whoever asks first after a suspension is told of the entries that there were, whatever this process
// has come to since.
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

// A control instance that stood still may find orders that were given before; it says so for a while.
func TestWhoStoodStillIsNotAwake(t *testing.T) {
	machine := clocktest.New(t)
	c := newControl(t)
	if !c.source.Load().Awake() {
		t.Error("it has not stood still")
	}
	machine.Suspend(5 * time.Second)
	if c.source.Load().Awake() {
		t.Error("it stood still until now")
	}
	wait(t, "it is awake again", c.source.Load().Awake)
}

// A control instance that was suspended has heard of nobody meanwhile. That says nothing of
// instances and entries: they count for as long as it has been awake.
func TestSuspensionIsNoSilenceOfOthers(t *testing.T) {
	machine := clocktest.New(t)
	c := newControl(t)
	source := c.source.Load()
	source.RecordHeartbeat(instance("i-1", 1))
	_, err := source.Watch(context.Background(), &wire.FleetRequest{Name: "e", Entry: true})
	if err != nil {
		t.Fatal(err)
	}
	machine.Suspend(time.Hour)
	// Twice the interval at which silent instances are looked for.
	<-time.After(time.Second)
	out, err := source.Watch(context.Background(), &wire.FleetRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]bool{false}, []bool{out.Instances[0].Silent}); diff != "" || out.Entries != 1 {
		t.Errorf("%d entries, instances: %s", out.Entries, diff)
	}
	wait(t, "it is silent once it was not heard for long", func() bool {
		out, err := source.Watch(context.Background(), &wire.FleetRequest{})
		return err == nil && out.Instances[0].Silent
	})
}
