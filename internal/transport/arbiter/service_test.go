package arbiter_test

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	coordination "github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// leader is a service whose view and leadership a test sets.
type leader struct {
	*arbiter.Service
	view    fleet.View
	term    uint64
	leading bool
	lastID  int
}

// newLeader returns the leader of term 1 with some engines of a tiered service. Each has memory for 16 prompts
// of 100 tokens.
func newLeader(t *testing.T, engines ...string) *leader {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc", Engine: &deployment.Engine{MemoryTokens: 1600}}}}
	for rank := range 3 {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: "/" + strconv.Itoa(rank) + "/", Kind: deployment.Stream, Rank: rank, Timeout: time.Minute, Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		})
	}
	if err := config.Check(); err != nil {
		t.Fatal(err)
	}
	l := &leader{term: 1, leading: true, view: fleet.View{Config: config, Instances: map[string][]registry.Instance{}}}
	for _, id := range engines {
		l.view.Instances["svc"] = append(l.view.Instances["svc"], registry.Instance{ID: id, Service: "svc", FailureDomain: "d" + id})
	}
	current := &l.view
	l.Service = &arbiter.Service{View: func() *fleet.View { return current }, Leading: func() (uint64, bool) { return l.term, l.leading }, Log: discardLogger}
	return l
}

func of(id string) registry.Incarnation { return registry.Incarnation{ID: id} }

// report records the same load of some engines.
func (l *leader) report(load balance.EngineLoad, ids ...string) {
	for _, id := range ids {
		l.RecordLoad(of(id), load, clock.Now())
	}
}

// ask requests a decision about a prompt of 100 tokens with an id of its own.
func (l *leader) ask(t *testing.T) coordination.Decision {
	t.Helper()
	l.lastID++
	r := coordination.Request{ID: strconv.Itoa(l.lastID), Service: "svc", Tokens: 100, Objective: time.Second, Remaining: time.Minute}
	out, err := l.Decide(t.Context(), wire.FromArbiterRequest(r))
	if err != nil {
		t.Fatal(err)
	}
	return wire.ToDecision(out)
}

// engines returns the engines that get some of 40 prompts, each of which is released at once.
func (l *leader) engines(t *testing.T) []string {
	t.Helper()
	got := map[string]bool{}
	for range 40 {
		if g, ok := l.ask(t).(coordination.Grant); ok {
			got[g.Engine.ID] = true
		}
		_, _ = l.Release(t.Context(), &wire.ReleaseRequest{Ids: []string{strconv.Itoa(l.lastID)}})
	}
	return slices.Sorted(maps.Keys(got))
}

// Guards against decisions by a control instance that does not lead, and against a new leader that decides
// by what it knew in an earlier term.
func TestOnlyTheLeaderDecides(t *testing.T) {
	l := newLeader(t, "a")
	if d := l.ask(t); d != (coordination.Unknown{}) {
		t.Errorf("without loads: %v", d)
	}
	l.report(balance.EngineLoad{}, "a")
	if _, ok := l.ask(t).(coordination.Grant); !ok {
		t.Error("no grant at an idle engine")
	}
	l.leading = false
	_, err := l.Decide(t.Context(), wire.FromArbiterRequest(coordination.Request{ID: "x", Service: "svc"}))
	if code := err.(twirp.Error).Code(); code != twirp.Unavailable {
		t.Errorf("decide: %v", code)
	}
	_, err = l.Release(t.Context(), &wire.ReleaseRequest{Ids: []string{"1"}})
	if code := err.(twirp.Error).Code(); code != twirp.Unavailable {
		t.Errorf("release: %v", code)
	}
	l.report(balance.EngineLoad{}, "a")
	l.term, l.leading = 2, true
	if d := l.ask(t); d != (coordination.Unknown{}) {
		t.Errorf("at the beginning of another term: %v", d)
	}
	l.report(balance.EngineLoad{}, "a")
	if _, ok := l.ask(t).(coordination.Grant); !ok {
		t.Error("no grant after the first round of loads")
	}
	l.term = 3
	if d := l.ask(t); d != (coordination.Unknown{}) {
		t.Errorf("in a third term: %v", d)
	}
}

// Guards against a leader that was frozen, or that cannot reach most engines, and decides nevertheless.
func TestOldLoadsDecideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		l := newLeader(t, "a", "b", "c")
		l.report(balance.EngineLoad{}, "a", "b", "c")
		machine.Suspend(2 * time.Second)
		if d := l.ask(t); d != (coordination.Unknown{}) {
			t.Errorf("after a pause: %v", d)
		}
		l.report(balance.EngineLoad{}, "a")
		l.RecordUnresponsive(of("b"))
		l.RecordUnresponsive(of("c"))
		if d := l.ask(t); d != (coordination.Unknown{}) {
			t.Errorf("with one of three engines: %v", d)
		}
	})
}

// Guards against grants of engines that no entry may use, or that do not respond.
func TestUnusableEnginesGetNothing(t *testing.T) {
	only := map[registry.Incarnation]bool{of("a"): true}
	domain := map[string]time.Time{"da": clock.Now()}
	for name, change := range map[string]func(*leader){
		"busy":        func(l *leader) { l.view.Busy = only },
		"failing":     func(l *leader) { l.view.Failing = only },
		"evacuated":   func(l *leader) { l.view.Evacuated = domain },
		"unreachable": func(l *leader) { l.view.Unreachable = domain },
		"leaving":     func(l *leader) { l.view.Instances["svc"][0].Leaving = true },
		"gone":        func(l *leader) { l.view.Instances["svc"] = l.view.Instances["svc"][1:] },
	} {
		l := newLeader(t, "a", "b", "c")
		change(l)
		l.report(balance.EngineLoad{}, "a", "b", "c")
		if diff := cmp.Diff([]string{"b", "c"}, l.engines(t)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	l := newLeader(t, "a", "b", "c")
	l.report(balance.EngineLoad{}, "a", "b", "c")
	l.RecordUnresponsive(of("a"))
	if diff := cmp.Diff([]string{"b", "c"}, l.engines(t)); diff != "" {
		t.Errorf("unresponsive: %s", diff)
	}
	l.report(balance.EngineLoad{}, "a")
	if diff := cmp.Diff([]string{"a", "b", "c"}, l.engines(t)); diff != "" {
		t.Errorf("responsive again: %s", diff)
	}
}

// Guards against grants that are held for an entry that has canceled its call, and counts that are not shown.
func TestGivenUpRequestsHoldNothing(t *testing.T) {
	l := newLeader(t, "a")
	l.report(balance.EngineLoad{}, "a")
	ctx, giveUp := context.WithCancel(t.Context())
	giveUp()
	if _, err := l.Decide(ctx, wire.FromArbiterRequest(coordination.Request{ID: "x", Service: "svc", Tokens: 100})); err == nil {
		t.Error("there is an answer")
	}
	l.ask(t)
	if diff := cmp.Diff(map[string]float64{"shedrock_arbiter_grants_total": 1, "shedrock_arbiter_open_grants": 1, "shedrock_arbiter_known_engines": 1}, l.metrics(t)); diff != "" {
		t.Error(diff)
	}
	l.leading = false
	if diff := cmp.Diff(map[string]float64{}, l.metrics(t)); diff != "" {
		t.Error(diff)
	}
}

// metrics returns some of the metrics of the service.
func (l *leader) metrics(t *testing.T) map[string]float64 {
	t.Helper()
	r := prometheus.NewRegistry()
	r.MustRegister(l.Service)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, f := range families {
		m := f.Metric[0]
		switch f.GetName() {
		case "shedrock_arbiter_grants_total":
			out[f.GetName()] = m.GetCounter().GetValue()
		case "shedrock_arbiter_open_grants", "shedrock_arbiter_known_engines":
			out[f.GetName()] = m.GetGauge().GetValue()
		}
	}
	return out
}

// Guards against a burst that fills the log: of many refusals in a second, a few have a line.
func TestRefusalLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var out bytes.Buffer
		l := newLeader(t, "a")
		l.Log = &log.Logger{Writer: &log.IOWriter{Writer: &out}}
		l.report(balance.EngineLoad{Used: 1600}, "a")
		for range 100 {
			if _, ok := l.ask(t).(coordination.Refusal); !ok {
				t.Fatal("not refused")
			}
		}
		time.Sleep(time.Second)
		l.ask(t)
		if n := bytes.Count(out.Bytes(), []byte("arbiter_refused")); n != 21 {
			t.Errorf("%d lines", n)
		}
		if !bytes.Contains(out.Bytes(), []byte(`"skipped":80`)) {
			t.Errorf("the last line does not tell how many were skipped: %s", out.Bytes())
		}
	})
}
