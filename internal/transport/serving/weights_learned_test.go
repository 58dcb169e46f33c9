package serving_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// pinnedEngines refuse attempts that name another weight version than theirs.
type pinnedEngines struct {
	version uint64
	asked   []uint64
}

func (e *pinnedEngines) Refuses(context.Context, registry.Instance) bool { return false }

func (e *pinnedEngines) Send(_ context.Context, a *exchange.Attempt) exchange.Reply {
	e.asked = append(e.asked, a.Weights)
	if a.Weights != 0 && a.Weights != e.version {
		return exchange.NotRun{Status: 421, Misdirected: true}
	}
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &oneEvent{}}
}

// anySink accepts all answers and refusals.
type anySink struct{ discardSink }

func (anySink) Refuse(outcome.Outcome) {}

// Guards against an entry that is cut off from control before it learns that its engines have loaded newer weights,
// and then serves nothing: it must infer the version from their refusals, and revert a wrong inference.
func TestEntryCutOffLearnsWeights(t *testing.T) {
	cases := []struct {
		name      string
		unheard   time.Duration
		has       uint64
		wantAsked []uint64
	}{
		{"loaded before the cut", time.Minute, 2, []uint64{1, 2, 2, 2}},
		{"another version", time.Minute, 7, []uint64{1, 2, 1, 2}},
		{"control is reachable", time.Second, 2, []uint64{0, 0, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				config := &deployment.Config{
					Version: 1, Services: map[string]deployment.Service{"e": {Name: "e", Engine: &deployment.Engine{}}},
					Routes: []deployment.Route{{Host: "h", Prefix: "/", Kind: deployment.Stream, Timeout: time.Minute, Objective: time.Second, Attempts: 1, Targets: []deployment.Target{{Service: "e", Weight: 1}}}},
				}
				if err := config.Check(); err != nil {
					t.Fatal(err)
				}
				now := clock.Now()
				view := &fleet.View{
					Entries: 1, Config: config,
					Instances:       map[string][]registry.Instance{"e": {{ID: "a", Service: "e", Slots: 1, Weights: map[string]uint64{"m": 1}}}},
					Weights:         map[string]uint64{"m": 2},
					WeightHistories: map[string]weights.History{"m": weights.History{}.Announce(weights.Announcement{Version: 2, At: now.Add(-c.unheard)})},
				}
				engines := &pinnedEngines{version: c.has}
				server := &serving.Server{View: func() *fleet.View {
					view.Contact.LastAnswer = clock.Now().Add(-c.unheard)
					return view
				}, Upstreams: engines, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}, OldWeightsGrace: time.Hour}
				for n := range 4 {
					prompt := &exchange.Prompt{Model: "m", Parts: []exchange.Part{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}}}
					server.Serve(context.Background(), &exchange.Request{ID: fmt.Sprint("r", n), Host: "h", Path: "/x", Prompt: prompt, Arrived: clock.Now()}, anySink{})
					// An instance that refused is avoided for a while.
					<-time.After(10 * time.Second)
				}
				if diff := cmp.Diff(c.wantAsked, engines.asked); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
