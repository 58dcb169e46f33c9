package serving_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/keeping/keepingtest"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

const (
	// stepSlots are the slots of each instance, and stepOccupied how long the first requests occupy them.
	stepSlots    = 1
	stepOccupied = 300 * time.Millisecond
	stepStore    = "store:1"
)

// step is the step of a request at which the view changes.
type step string

const (
	stepArbiter   step = "arbiter"
	stepRoom      step = "room"
	stepSent      step = "sent"
	stepStreaming step = "streaming"
	stepResend    step = "resend"
	stepResume    step = "resume"
	stepSuccessor step = "successor"
)

// stepView returns the view before the change: a tiered service, another one, a store and a team.
func stepView(t *testing.T) *fleet.View {
	t.Helper()
	config := &deployment.Config{
		Version: 1,
		Services: map[string]deployment.Service{
			"svc":   {Name: "svc", ColdRate: 1000, ColdFor: time.Second, Engine: &deployment.Engine{Slots: stepSlots, MemoryTokens: 100_000, TokenBytes: 1000, Models: []string{"m"}}},
			"other": {Name: "other"},
			"store": {Name: "store", Store: &deployment.Store{Address: stepStore, MemoryTokens: 1 << 20, LinkRate: 10_000, FailureDomain: "da"}},
		},
		Teams: []deployment.Team{{Name: "t", Keys: []string{"k"}}},
	}
	for rank, prefix := range []string{"/", "/b/", "/c/"} {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: prefix, Rank: rank, Kind: deployment.Stream, Resumable: true, Timeout: time.Hour, Objective: 2 * time.Second, Attempts: 3,
			Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		})
	}
	view := &fleet.View{
		Entries: 1, Leader: "leader:1", Instances: map[string][]registry.Instance{}, Weights: map[string]uint64{"m": 7},
		Loads: map[registry.Incarnation]balance.EngineLoad{}, LoadsAt: clock.Now(),
		Stores: map[string]keeping.StoreContents{stepStore: {ReceivedAt: clock.Now(), FreeTokens: 1 << 20}},
	}
	for _, id := range []string{"a", "b"} {
		in := registry.Instance{ID: id, Address: id, Service: "svc", FailureDomain: "d" + id, Slots: stepSlots, Weights: map[string]uint64{"m": 7}}
		view.Instances["svc"] = append(view.Instances["svc"], in)
		view.Loads[in.Incarnation()] = balance.EngineLoad{}
	}
	view.Instances["other"] = []registry.Instance{{ID: "c", Address: "c", Service: "other", FailureDomain: "dc", Slots: stepSlots}}
	setConfig(t, view, config)
	return view
}

func setConfig(t *testing.T, view *fleet.View, config *deployment.Config) {
	t.Helper()
	err := config.Check()
	if err != nil {
		t.Fatal(err)
	}
	view.Config, view.NewestConfigVersion = config, config.Version
}

// viewChange is a change of the view between two steps of a request. It is the next version of the configuration, changed
// by config, and then changed by fleet; either may be nil.
type viewChange struct {
	config func(*deployment.Config)
	fleet  func(*fleet.View)
	// ends is true if it leaves no instance to which the request may still be sent. Then reason is why.
	ends   bool
	reason outcome.Reason
}

func toOther(c *deployment.Config) {
	for i := range c.Routes {
		c.Routes[i].Targets = []deployment.Target{{Service: "other", Weight: 1}}
	}
}

func withoutService(c *deployment.Config) {
	toOther(c)
	delete(c.Services, "svc")
}

func withoutEngine(c *deployment.Config) { c.Services["svc"] = deployment.Service{Name: "svc"} }

func withoutInstances(v *fleet.View) { delete(v.Instances, "svc") }

func viewChanges() map[string]viewChange {
	return map[string]viewChange{
		"a version without a change": {},
		"service gone":               {config: withoutService},
		"service and instances gone": {config: withoutService, fleet: withoutInstances, ends: true, reason: outcome.ReasonNoUpstream},
		"engine gone":                {config: withoutEngine},
		"no tiers":                   {config: func(c *deployment.Config) { c.Routes = c.Routes[:1] }},
		"targets moved":              {config: toOther},
		"routes gone":                {config: func(c *deployment.Config) { c.Routes = nil }},
		"team gone":                  {config: func(c *deployment.Config) { c.Teams = []deployment.Team{{Name: "u", Keys: []string{"l"}}} }},
		"all teams gone":             {config: func(c *deployment.Config) { c.Teams = nil }},
		"store gone": {
			config: func(c *deployment.Config) { delete(c.Services, "store") },
			fleet:  func(v *fleet.View) { v.Stores = nil },
		},
		"region narrowed": {config: func(c *deployment.Config) {
			for i := range c.Routes {
				c.Routes[i].AllowedRegions = []string{"south"}
			}
		}},
		"loads and weights gone": {fleet: func(v *fleet.View) { v.Loads, v.Weights, v.Leader = nil, nil, "" }},
		"evacuated": {fleet: func(v *fleet.View) {
			v.Evacuated = map[string]time.Time{"da": clock.Now(), "db": clock.Now()}
		}, ends: true, reason: outcome.ReasonEvacuated},
	}
}

// apply returns a view after the change.
func (c viewChange) apply(t *testing.T) *fleet.View {
	t.Helper()
	view := stepView(t)
	config := &deployment.Config{Version: 2, Services: view.Config.Services, Routes: view.Config.Routes, Teams: view.Config.Teams}
	if c.config != nil {
		c.config(config)
	}
	setConfig(t, view, config)
	if c.fleet != nil {
		c.fleet(view)
	}
	return view
}

// stepEngines are instances at which one request takes one of the steps. Before it, occupy requests are answered after
// stepOccupied, each with a refusal limit.
type stepEngines struct {
	at     step
	occupy int
	// change changes the view.
	change func()

	mu sync.Mutex
	// The fields below are guarded by mu. sent holds after which event each attempt of the request began, canceled is true
	// if the first was, and silentAt is when it fell silent.
	sent     []uint64
	canceled bool
	silentAt time.Time
}

func (e *stepEngines) Refuses(context.Context, registry.Instance) bool { return false }

func (e *stepEngines) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	e.mu.Lock()
	if e.occupy > 0 {
		e.occupy--
		e.mu.Unlock()
		select {
		case <-time.After(stepOccupied):
		case <-ctx.Done():
		}
		condition := exchange.Condition{RefusalLimit: exchange.RateLimit{PerSecond: 3}}
		return exchange.Whole{Head: exchange.Head{Status: 200, Condition: condition}}
	}
	e.sent = append(e.sent, a.After)
	first := len(e.sent) == 1
	e.mu.Unlock()
	if !first {
		return goesOn(ctx, a)
	}
	switch e.at {
	case stepSent:
		e.change()
		<-time.After(time.Second)
	case stepResend:
		e.change()
		return exchange.Unreached{Err: errors.New("connection refused")}
	}
	events := &numberedEvents{ctx: ctx, pause: e.pause, onCancel: e.cancel}
	if e.at == stepResume {
		return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &brokenEvents{numberedEvents: events, change: e.change}}
	}
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: events}
}

// pause returns how long the first instance takes for its next event.
func (e *stepEngines) pause(next uint64) time.Duration {
	if next != silentAfter+1 || e.at != stepStreaming && e.at != stepSuccessor {
		return pieceInterval
	}
	e.change()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentAt = clock.Now()
	return 2 * time.Second
}

func (e *stepEngines) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = true
}

// pathLost returns since when the path to the instances counts as lost.
func (e *stepEngines) pathLost(string) (since time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since = e.silentAt.Add(lostAfter)
	return since, e.at == stepSuccessor && !e.silentAt.IsZero() && clock.Now().After(since)
}

// brokenEvents break off after silentAfter events, when the view changes.
type brokenEvents struct {
	*numberedEvents
	change func()
}

func (b *brokenEvents) Next() (exchange.Event, bool, error) {
	if b.last == silentAfter {
		b.change()
		return exchange.Event{}, false, io.ErrUnexpectedEOF
	}
	return b.numberedEvents.Next()
}

// stepSink records how a request ended.
type stepSink struct {
	slowSink
	reason outcome.Reason
}

func (s *stepSink) Answer(exchange.Whole) error {
	s.end = "whole"
	return nil
}

func (s *stepSink) Deny(d serving.Denial) { s.end = d.String() }

func (s *stepSink) Refuse(o outcome.Outcome) {
	s.end = "failed"
	if refused, ok := o.(outcome.NotRun); ok {
		s.end, s.reason = "refused", refused.Reason
	}
}

// stepRun is one request with a change of the view at one of its steps.
type stepRun struct {
	t       *testing.T
	server  *serving.Server
	engines *stepEngines
	view    atomic.Pointer[fleet.View]
}

func newStepRun(t *testing.T, at step, c viewChange, buffer int) *stepRun {
	t.Helper()
	r := &stepRun{t: t, engines: &stepEngines{at: at}}
	r.view.Store(stepView(t))
	after := c.apply(t)
	r.engines.change = func() { r.view.Store(after) }
	decides := &stubArbiter{decision: arbiter.Unknown{}}
	if at == stepArbiter {
		decides = &stubArbiter{decision: arbiter.Grant{Engine: registry.Incarnation{ID: "a"}}, during: r.engines.change}
	}
	r.server = &serving.Server{
		Saves: &keepingtest.Saves{},
		View:  r.view.Load, Upstreams: r.engines, Arbiter: decides, BufferBytes: buffer, OldWeightsGrace: time.Minute, PathLostSince: r.engines.pathLost,
		Regions: residency.Regions{"da": "north", "db": "north", "dc": "south"}, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel},
	}
	r.server.Allowance.Slack, r.server.Allowance.Window = 100, time.Minute
	return r
}

func (r *stepRun) serve(ctx context.Context) *stepSink {
	request := prompt(20_000)
	request.Path, request.Key = "/", "k"
	sink := &stepSink{slowSink: slowSink{pace: func() time.Duration { return 0 }}}
	r.server.Serve(ctx, request, sink)
	return sink
}

// occupy has both instances occupied, after each has reported its refusal limit.
func (r *stepRun) occupy(ctx context.Context) {
	r.engines.occupy = 4
	for round := range 2 {
		<-time.After(time.Duration(round) * 2 * stepOccupied)
		for range 2 {
			go r.serve(ctx)
			synctest.Wait()
		}
	}
}

// Guards against panics, cut answers and refusals of requests that are admitted under one configuration and meet another
// one at a later step. What a request was admitted with holds until it ends; only where it may be sent follows the fleet.
func TestChangesBetweenStepsEndNoRequest(t *testing.T) {
	for _, at := range []step{stepArbiter, stepRoom, stepSent, stepStreaming, stepResend, stepResume, stepSuccessor} {
		for name, c := range viewChanges() {
			for _, buffer := range []int{0, 1 << 20} {
				t.Run(string(at)+"/"+name, func(t *testing.T) { playStep(t, at, c, buffer) })
			}
		}
	}
}

func playStep(t *testing.T, at step, c viewChange, buffer int) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		r := newStepRun(t, at, c, buffer)
		go r.server.Run(ctx)
		if at == stepRoom {
			r.occupy(ctx)
			time.AfterFunc(stepOccupied/20, r.engines.change)
		}
		sink := r.serve(ctx)
		end, reason, numbers, sent := "whole", outcome.Reason(""), upTo(streamLast), []uint64{0}
		switch at {
		case stepResend:
			sent = []uint64{0, 0}
		case stepResume, stepSuccessor:
			sent = []uint64{0, silentAfter}
		}
		if c.ends {
			switch at {
			case stepArbiter, stepRoom:
				end, reason, numbers, sent = "refused", c.reason, nil, nil
			case stepResend:
				end, reason, numbers, sent = "refused", c.reason, nil, []uint64{0}
			case stepResume:
				end, numbers, sent = "broken", upTo(silentAfter), []uint64{0}
			case stepSuccessor:
				sent = []uint64{0}
			}
		}
		waited := metric(r.server, `shedrock_room_wait_seconds_count{service="svc"}`)
		if at == stepRoom && waited != "1" {
			t.Errorf("%q requests waited for room", waited)
		}
		want := []any{end, reason, numbers, sent, at == stepSuccessor && !c.ends}
		got := []any{sink.end, sink.reason, sink.numbers(1), r.engines.sent, r.engines.canceled}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
