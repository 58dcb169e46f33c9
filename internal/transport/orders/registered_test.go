package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/orders"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// engines is a stand-in of a fleet: each engine takes a moment to load, checks how many
// orders came before, and may be cut off or leave orders unanswered.
type engines struct {
	mu       sync.Mutex
	versions map[string]uint64
	taken    map[string]uint64
	busyTill map[string]time.Time
	cutOff   map[string]bool
	// endless holds engines whose loads never end.
	endless map[string]bool
	// late holds orders that are carried out after newer ones, as they were sent.
	late []func()
	// loseEvery has each so many-th order go unanswered and come late.
	loseEvery, orders, most int
	asked                   int
}

const loadTime = 1200 * time.Millisecond

func newEngines(n int) *engines {
	e := &engines{versions: map[string]uint64{}, taken: map[string]uint64{}, busyTill: map[string]time.Time{}, cutOff: map[string]bool{}, endless: map[string]bool{}}
	for i := range n {
		e.versions[fmt.Sprintf("e%02d", i)] = 1
	}
	return e
}

func (e *engines) Report(_ context.Context, in registry.Instance) (orders.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if e.cutOff[in.ID] {
		return orders.EngineReport{}, errors.New("cut off")
	}
	busy := time.Now().Before(e.busyTill[in.ID])
	version := e.versions[in.ID]
	if busy {
		version--
	}
	return orders.EngineReport{Weights: map[string]uint64{"m": version}, Busy: busy, Orders: e.taken[in.ID]}, nil
}

func (e *engines) Load(_ context.Context, in registry.Instance, o orders.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.loseEvery > 0 && e.orders%e.loseEvery == 0 {
		e.late = append(e.late, func() { _ = e.take(in, o) })
		return errors.New("no answer")
	}
	return e.take(in, o)
}

// take carries an order out; mu must be held.
func (e *engines) take(in registry.Instance, o orders.LoadOrder) error {
	if e.cutOff[in.ID] || time.Now().Before(e.busyTill[in.ID]) || o.AfterOrders != e.taken[in.ID] {
		return errors.New("refused")
	}
	e.taken[in.ID]++
	e.versions[in.ID] = o.Version
	e.busyTill[in.ID] = time.Now().Add(loadTime)
	if e.endless[in.ID] {
		e.busyTill[in.ID] = time.Now().Add(time.Hour)
	}
	busy := 0
	for _, till := range e.busyTill {
		if time.Now().Before(till) {
			busy++
		}
	}
	e.most = max(e.most, busy)
	return nil
}

func (e *engines) runLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.late {
		f()
	}
	e.late = nil
}

func (e *engines) at(version uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.versions {
		if v == version {
			n++
		}
	}
	return n
}

// newOrderer orders a fleet of engines that all report version 1 in their heartbeats.
func newOrderer(t *testing.T, e *engines, version uint64) (*orders.Controller, *fleet.Source) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	source := fleet.NewSource(ctx, time.Hour, quiet)
	view := &fleet.View{
		Config:    &deployment.Config{Services: map[string]deployment.Service{"s": {Name: "s", Engine: &deployment.Engine{}}}},
		Instances: map[string][]registry.Instance{}, Weights: map[string]uint64{"m": version},
	}
	for id := range e.versions {
		in := registry.Instance{ID: id, Service: "s", Address: id, Weights: map[string]uint64{"m": 1}}
		view.Instances["s"] = append(view.Instances["s"], in)
		source.Hear(in)
	}
	return &orders.Controller{
		Leading: func() (uint64, bool) { return 1, true }, CommitToken: func(context.Context) (uint64, error) { return 1, nil },
		ConfirmLeadership: func(context.Context) error { return nil }, PredecessorTimeout: time.Millisecond, Interval: 20 * time.Millisecond, Log: quiet,
		Fleet: &orders.RegisteredEngines{View: func() *fleet.View { return view }, Engines: e, Holder: "h", Source: source, Log: quiet},
	}, source
}

func run(t *testing.T, o *orders.Controller) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { o.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	await.Until(t, 40*time.Second, what, done)
}

// Each engine loads once, a fifth at a time, and is asked a few times at most.
func TestFleetLoadsInTurn(t *testing.T) {
	e := newEngines(10)
	o, _ := newOrderer(t, e, 2)
	run(t, o)
	wait(t, "all serve version 2", func() bool { return e.at(2) == 10 })
	if e.most > 2 || e.orders != 10 {
		t.Errorf("%d at once, %d orders", e.most, e.orders)
	}
	if e.asked > 10*15 {
		t.Errorf("%d questions for 10 engines", e.asked)
	}
}

// Orders that go unanswered, and are carried out after newer ones, load nothing twice: the
// number of orders taken does not fit any more.
func TestUnansweredOrdersAreGivenAgain(t *testing.T) {
	e := newEngines(6)
	e.loseEvery = 3
	o, _ := newOrderer(t, e, 2)
	run(t, o)
	wait(t, "all serve version 2", func() bool { return e.at(2) == 6 })
	wait(t, "none is loading", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, till := range e.busyTill {
			if time.Now().Before(till) {
				return false
			}
		}
		return true
	})
	e.runLate()
	got := map[string]uint64{}
	for id, n := range e.taken {
		if n != 1 {
			got[id] = n
		}
	}
	if diff := cmp.Diff(map[string]uint64{}, got); diff != "" {
		t.Error(diff)
	}
}

// Engines that are cut off hold up nobody else.
func TestCutOffEnginesHoldUpNobody(t *testing.T) {
	e := newEngines(6)
	for _, id := range []string{"e00", "e01", "e02"} {
		e.cutOff[id] = true
	}
	o, _ := newOrderer(t, e, 2)
	run(t, o)
	wait(t, "the others serve version 2", func() bool { return e.at(2) == 3 })
}

// Loads that never end hold up the others for a while only, and cost a question a second.
func TestEndlessLoadsHoldUpNobodyForLong(t *testing.T) {
	e := newEngines(10)
	for _, id := range []string{"e00", "e01", "e02"} {
		e.endless[id] = true
	}
	o, _ := newOrderer(t, e, 2)
	run(t, o)
	wait(t, "all have loaded, or do", func() bool { return e.at(2) == 10 })
	if e.asked > 10*15+3*45 {
		t.Errorf("%d questions", e.asked)
	}
}

// An engine that is found to have older weights again is ordered again.
func TestEngineThatFellBackIsOrderedAgain(t *testing.T) {
	e := newEngines(3)
	o, _ := newOrderer(t, e, 2)
	run(t, o)
	wait(t, "all serve version 2", func() bool { return e.at(2) == 3 })
	wait(t, "none is loading", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return time.Now().After(e.busyTill["e00"].Add(time.Second))
	})
	e.mu.Lock()
	e.versions["e00"] = 1
	e.mu.Unlock()
	wait(t, "it serves version 2 again", func() bool { return e.at(2) == 3 })
}

// The mark that old weights are due is committed by the leader, once for each version.
func TestDueWeightsAreMarkedOnce(t *testing.T) {
	var mu sync.Mutex
	var history weights.History
	var marks []uint64
	leads := false
	r := &orders.Requirer{
		View: func() *fleet.View {
			mu.Lock()
			defer mu.Unlock()
			return &fleet.View{Named: map[string]weights.History{"m": history}}
		},
		Leading: func() (uint64, bool) { mu.Lock(); defer mu.Unlock(); return 1, leads },
		CommitRequired: func(_ context.Context, _ string, version uint64) error {
			mu.Lock()
			defer mu.Unlock()
			marks = append(marks, version)
			if len(marks) == 1 {
				return errors.New("no majority")
			}
			history = history.Require(version)
			return nil
		},
		OldWeightsGrace: 6 * time.Second, Log: quiet,
	}
	synctest.Test(t, func(t *testing.T) {
		// The time of a bubble is Go's.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		mu.Lock()
		history = weights.History{}.Name(weights.Naming{Version: 2, At: clock.Now().Add(-time.Hour)}).Name(weights.Naming{Version: 3, At: clock.Now()})
		mu.Unlock()
		go r.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		if diff := cmp.Diff(0, len(marks)); diff != "" {
			t.Error("while another leads: ", diff)
		}
		leads = true
		mu.Unlock()
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if diff := cmp.Diff([]uint64{2, 2, 3}, marks); diff != "" {
			t.Error(diff)
		}
	})
}

// One that cannot show that it still leads gives no order.
func TestDeposedLeaderOrdersNothing(t *testing.T) {
	e := newEngines(3)
	o, _ := newOrderer(t, e, 2)
	var asked sync.WaitGroup
	asked.Add(3)
	n := 0
	o.ConfirmLeadership = func(context.Context) error {
		if n++; n <= 3 {
			asked.Done()
		}
		return errors.New("no majority")
	}
	run(t, o)
	asked.Wait()
	if diff := cmp.Diff(0, e.orders); diff != "" {
		t.Error(diff)
	}
}
