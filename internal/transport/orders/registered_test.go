package orders_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/rollout"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/orders"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// engines is a fake fleet: each engine takes loadTime to load, checks the number of orders that it
// has accepted, and may be unreachable or leave orders unanswered.
type engines struct {
	mu          sync.Mutex
	versions    map[string]uint64
	accepted    map[string]uint64
	busyTill    map[string]time.Time
	unreachable map[string]bool
	// endless holds the engines whose loads never end.
	endless map[string]bool
	// late holds unanswered orders, which are executed later than newer ones.
	late []func()
	// Every loseEvery-th order goes unanswered and is executed late, or none if it is 0. most is the
	// largest number of concurrent loads.
	loseEvery, orders, most int
	reads                   int
}

const loadTime = 1200 * time.Millisecond

func newEngines(n int) *engines {
	e := &engines{versions: map[string]uint64{}, accepted: map[string]uint64{}, busyTill: map[string]time.Time{}, unreachable: map[string]bool{}, endless: map[string]bool{}}
	for i := range n {
		e.versions[fmt.Sprintf("e%02d", i)] = 1
	}
	return e
}

func (e *engines) Report(_ context.Context, in registry.Instance) (orders.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	if e.unreachable[in.ID] {
		return orders.EngineReport{}, errors.New("cut off")
	}
	busy := time.Now().Before(e.busyTill[in.ID])
	version := e.versions[in.ID]
	if busy {
		version--
	}
	return orders.EngineReport{Weights: map[string]uint64{"m": version}, Busy: busy, Orders: e.accepted[in.ID]}, nil
}

func (e *engines) Load(_ context.Context, in registry.Instance, o orders.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.loseEvery > 0 && e.orders%e.loseEvery == 0 {
		e.late = append(e.late, func() { _ = e.execute(in, o) })
		return errors.New("no answer")
	}
	return e.execute(in, o)
}

// execute executes an order. mu must be held.
func (e *engines) execute(in registry.Instance, o orders.LoadOrder) error {
	if e.unreachable[in.ID] || time.Now().Before(e.busyTill[in.ID]) || o.AfterOrders != e.accepted[in.ID] {
		return errors.New("refused")
	}
	e.accepted[in.ID]++
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

func (e *engines) executeLate() {
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

// newController returns a Controller for a fleet of engines that all report version 1 in their heartbeats.
func newController(t *testing.T, e *engines, version uint64) (*orders.Controller, *fleet.Source) {
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
		source.RecordHeartbeat(in)
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

// Each engine loads once, a fifth of them at a time, and is read a few times at most.
func TestFleetLoadsInTurn(t *testing.T) {
	e := newEngines(10)
	o, _ := newController(t, e, 2)
	run(t, o)
	wait(t, "all serve version 2", func() bool { return e.at(2) == 10 })
	if e.most > 2 || e.orders != 10 {
		t.Errorf("%d at once, %d orders", e.most, e.orders)
	}
	if e.reads > 10*15 {
		t.Errorf("%d reads of 10 engines", e.reads)
	}
}

// An engine whose delay after an order ends while its state is evaluated still counts as loading. Without
// that, its order was issued again.
func TestDelayThatEndsMeanwhileCausesNoSecondOrder(t *testing.T) {
	var now, step atomic.Int64
	t.Cleanup(clock.Replace(func() time.Duration { return time.Duration(now.Add(step.Load())) }))
	e := newEngines(1)
	o, _ := newController(t, e, 2)
	o.Fleet.Read(t.Context())
	err := o.Fleet.Issue(t.Context(), rollout.Order{Name: "e00", Model: "m", Version: "2"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	// The engine is not read within a second after an order. That second now ends between two readings of
	// the clock.
	now.Add(int64(time.Second - 2*time.Millisecond))
	step.Store(int64(time.Millisecond + time.Microsecond))
	for _, read := range o.Fleet.Read(t.Context()) {
		if read.Loading != "2" {
			t.Errorf("not loading: %+v", read)
		}
	}
}

// Guards against a second load when an order goes unanswered, is issued again, and the first one arrives
// after it: the engine refuses the late order because its count of accepted orders has changed.
func TestUnansweredOrdersAreIssuedAgain(t *testing.T) {
	e := newEngines(6)
	e.loseEvery = 3
	o, _ := newController(t, e, 2)
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
	e.executeLate()
	got := map[string]uint64{}
	for id, n := range e.accepted {
		if n != 1 {
			got[id] = n
		}
	}
	if diff := cmp.Diff(map[string]uint64{}, got); diff != "" {
		t.Error(diff)
	}
}

// Unreachable engines do not block the rollout to the others.
func TestUnreachableEnginesDoNotBlockOthers(t *testing.T) {
	e := newEngines(6)
	for _, id := range []string{"e00", "e01", "e02"} {
		e.unreachable[id] = true
	}
	o, _ := newController(t, e, 2)
	run(t, o)
	wait(t, "the others serve version 2", func() bool { return e.at(2) == 3 })
}

// Loads that never end block the others only until they are overdue, and cost one read per second.
func TestEndlessLoadsBlockOthersOnlyBriefly(t *testing.T) {
	e := newEngines(10)
	for _, id := range []string{"e00", "e01", "e02"} {
		e.endless[id] = true
	}
	o, _ := newController(t, e, 2)
	run(t, o)
	wait(t, "all have loaded or are loading", func() bool { return e.at(2) == 10 })
	if e.reads > 10*15+3*45 {
		t.Errorf("%d reads", e.reads)
	}
}

// An engine that reports older weights again gets a new order.
func TestEngineWithOlderWeightsIsOrderedAgain(t *testing.T) {
	e := newEngines(3)
	o, _ := newController(t, e, 2)
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

// The leader, and only it, commits each version that becomes required once, and again only if a commit
// failed.
func TestRequiredWeightsAreCommittedOnce(t *testing.T) {
	var mu sync.Mutex
	var history weights.History
	var committed []uint64
	leads := false
	r := &orders.Requirer{
		View: func() *fleet.View {
			mu.Lock()
			defer mu.Unlock()
			return &fleet.View{WeightHistories: map[string]weights.History{"m": history}}
		},
		Leading: func() (uint64, bool) { mu.Lock(); defer mu.Unlock(); return 1, leads },
		CommitRequired: func(_ context.Context, _ string, version uint64) error {
			mu.Lock()
			defer mu.Unlock()
			committed = append(committed, version)
			if len(committed) == 1 {
				return errors.New("no majority")
			}
			history = history.Enforce(version)
			return nil
		},
		OldWeightsGrace: 6 * time.Second, Log: quiet,
	}
	synctest.Test(t, func(t *testing.T) {
		// Makes package clock follow the fake time of the synctest bubble.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		mu.Lock()
		history = weights.History{}.Announce(weights.Announcement{Version: 2, At: clock.Now().Add(-time.Hour)}).Announce(weights.Announcement{Version: 3, At: clock.Now()})
		mu.Unlock()
		go r.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		if diff := cmp.Diff(0, len(committed)); diff != "" {
			t.Error("while another leads: ", diff)
		}
		leads = true
		mu.Unlock()
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if diff := cmp.Diff([]uint64{2, 2, 3}, committed); diff != "" {
			t.Error(diff)
		}
	})
}

// A replica that cannot confirm its leadership issues no orders.
func TestDeposedLeaderIssuesNoOrders(t *testing.T) {
	e := newEngines(3)
	o, _ := newController(t, e, 2)
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
