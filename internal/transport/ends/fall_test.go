package ends_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// fall is a fleet whose instances all end under a deadly request, while entries send a popular one to each of them.
type fall struct {
	trackers  []*ends.Tracker
	instances []registry.Instance

	mu sync.Mutex
	// superseded holds the ids of the instances that have a successor; it is guarded by mu.
	superseded map[string]bool
}

const (
	popularRequest = 1
	deadlyRequest  = 2
)

func newFall(t *testing.T, entries, instances int) *fall {
	f := &fall{superseded: map[string]bool{}}
	for n := range instances {
		f.instances = append(f.instances, registry.Instance{ID: fmt.Sprint("u", n), Start: 1, Address: fmt.Sprint("at u", n)})
	}
	for range entries {
		tracker := newTracker()
		tracker.Entries = func() int { return entries }
		tracker.SupersededCheck = func() func(registry.Instance) bool { return f.isSuperseded }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { tracker.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
		f.trackers = append(f.trackers, tracker)
	}
	return f
}

func (f *fall) isSuperseded(in registry.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return in.Start == 1 && f.superseded[in.ID]
}

// restart has a successor of an instance report itself.
func (f *fall) restart(in registry.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.superseded[in.ID] = true
}

// breaks has one entry send a request to one instance after another, sentBefore each connection closes.
func (f *fall) breaks(entry, n int, sentBefore time.Duration) {
	for _, in := range f.instances {
		a := ends.Attempt{Request: "r", Digest: digest(n), To: in, Sent: time.Now().Add(-sentBefore)}
		f.trackers[entry].RecordBroken(context.Background(), a, nil)
	}
}

// exchange has each entry tell all others what it knows.
func (f *fall) exchange() {
	for i, from := range f.trackers {
		facts, _ := from.Snapshot()
		for j, to := range f.trackers {
			if i != j {
				to.Merge(fmt.Sprint("e", i), facts)
			}
		}
	}
}

// held returns at how many entries a request is held as ending instances.
func (f *fall) held(n int) (entries int) {
	for _, tracker := range f.trackers {
		verdict, _, done := tracker.Begin(digest(n))
		if hold, ok := verdict.(quarantine.Hold); ok && hold.EndsInstances {
			entries++
		}
		done()
	}
	return entries
}

// Guards against holding a popular request for over a minute: a deadly request ended all instances at once, each entry sent
// the popular one to all of them before the loss was known, and saw all ends itself, so that none heard of a new end from
// another entry and shared its success. A success at one of the entries is enough.
func TestPopularRequestIsSentAfterAllInstancesFell(t *testing.T) {
	const entries, instances = 5, 3
	for _, succeeded := range []int{entries, 1} {
		t.Run(fmt.Sprint("answered at ", succeeded, " entries"), func(t *testing.T) {
			t.Parallel()
			f := newFall(t, entries, instances)
			for _, tracker := range f.trackers[:succeeded] {
				tracker.RecordSuccess(attempt(popularRequest, "u0"))
			}
			f.breaks(0, deadlyRequest, 28*time.Millisecond)
			for e := range f.trackers {
				f.breaks(e, popularRequest, 0)
			}
			for n, in := range f.instances {
				f.restart(in)
				for _, tracker := range f.trackers {
					await.Until(t, 20*time.Second, "the ends are known", func() bool { return endsOf(tracker, popularRequest) == n+1 })
				}
				await.Until(t, 20*time.Second, "the deadly request's end is known", func() bool { return endsOf(f.trackers[0], deadlyRequest) == n+1 })
			}
			// Twice: what an entry shares once it hears of an end goes with the second one.
			f.exchange()
			f.exchange()
			if diff := cmp.Diff([]int{0, entries}, []int{f.held(popularRequest), f.held(deadlyRequest)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
