package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLeavingReachesTheFollowerFromAnySource(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.source.Load().RecordHeartbeat(instance("x", 1))
	wait(t, "x lives", func() bool { return len(live(f)) == 1 })
	leaving := instance("x", 2)
	leaving.Leaving = true
	b.source.Load().RecordHeartbeat(leaving)
	wait(t, "x is gone", func() bool { return len(live(f)) == 0 })
}

// A source that comes back empty takes nothing away from those that go on reporting, and
// those that do not are gone after a few heartbeats.
func TestRestartedSource(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	a.source.Load().RecordHeartbeat(instance("x", 1))
	a.source.Load().RecordHeartbeat(instance("y", 1))
	wait(t, "both live", func() bool { return len(live(f)) == 2 })
	a.restart()
	a.source.Load().RecordHeartbeat(instance("x", 2))
	stop := make(chan struct{})
	go func() {
		for n := uint64(3); ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				a.source.Load().RecordHeartbeat(instance("x", n))
			}
		}
	}()
	defer close(stop)
	wait(t, "only x is left", func() bool {
		got := live(f)
		if len(got) == 0 || got[0] != "x" {
			t.Fatalf("x was forgotten: %v", got)
		}
		return len(got) == 1
	})
}

func TestEntriesAreCounted(t *testing.T) {
	a := newControl(t)
	first := follow(t, a)
	followAs(t, "other", a)
	wait(t, "two entries", func() bool { return first.View().Entries == 2 })
}

// What was seen: for a second after a start of all entries, all of them sent to 40 of 112 instances,
// and a third of their callers were answered late. Instances report to one control instance at a
// time, and entries asked only the three that their settings name until they looked at the list of all
// again, a second later.
//
// An entry asks the control instances that it is told of at once.
func TestNamedSourcesAreAskedAtOnce(t *testing.T) {
	const within = slowdown * 300 * time.Millisecond
	seed, other := newControl(t), newControl(t)
	seed.source.Load().PublishControl([]string{seed.address(), other.address()})
	seed.source.Load().RecordHeartbeat(instance("x", 1))
	other.source.Load().RecordHeartbeat(instance("y", 1))
	began := time.Now()
	f := follow(t, seed)
	wait(t, "all instances are known", func() bool { return cmp.Equal([]string{"x", "y"}, live(f)) })
	if took := time.Since(began); took > within {
		t.Errorf("after %s, must be within %s", took, within)
	}
}
