package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/transport/fleet"
)

func TestLeavingReachesTheFollowerFromAnySource(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.source.Load().RecordHeartbeat(instance("x", 1))
	waitFor(t, "x is live", func() bool { return len(liveIDs(f)) == 1 })
	leaving := instance("x", 2)
	leaving.Leaving = true
	b.source.Load().RecordHeartbeat(leaving)
	waitFor(t, "x is gone", func() bool { return len(liveIDs(f)) == 0 })
}

// A source that restarts without state must not remove instances that go on reporting; those that
// do not report must disappear after a few heartbeats.
func TestRestartedSource(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	a.source.Load().RecordHeartbeat(instance("x", 1))
	a.source.Load().RecordHeartbeat(instance("y", 1))
	waitFor(t, "both are live", func() bool { return len(liveIDs(f)) == 2 })
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
	waitFor(t, "only x is left", func() bool {
		got := liveIDs(f)
		if len(got) == 0 || got[0] != "x" {
			t.Fatalf("x was dropped: %v", got)
		}
		return len(got) == 1
	})
}

func TestEntriesAreCounted(t *testing.T) {
	a := newControl(t)
	first := follow(t, a)
	followAs(t, "other", a)
	waitFor(t, "two entries are counted", func() bool { return first.View().Entries == 2 })
}

// An entry must poll the control instances that a source lists at once. It used to read the list a
// second later. Instances report to one control instance at a time, and until then the entry polled
// only the three seeds in its settings. After a start of all entries, all of them sent to 40 of 112
// instances for a second, and a third of the requests were answered late.
func TestAnnouncedSourcesArePolledImmediately(t *testing.T) {
	const within = slowdown * 300 * time.Millisecond
	seed, other := newControl(t), newControl(t)
	seed.source.Load().PublishControl([]fleet.ControlInstance{{Address: seed.address()}, {Address: other.address()}})
	seed.source.Load().RecordHeartbeat(instance("x", 1))
	other.source.Load().RecordHeartbeat(instance("y", 1))
	began := time.Now()
	f := follow(t, seed)
	waitFor(t, "all instances are known", func() bool { return cmp.Equal([]string{"x", "y"}, liveIDs(f)) })
	if took := time.Since(began); took > within {
		t.Errorf("all instances known after %s, must be within %s", took, within)
	}
}
