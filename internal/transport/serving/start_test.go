package serving_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// refusalSink records the reason for which a request was refused or denied.
type refusalSink struct {
	serving.Sink
	reason string
}

func (e *refusalSink) Refuse(o outcome.Outcome) { e.reason = fmt.Sprint(o.(outcome.NotRun).Reason) }

func (e *refusalSink) Deny(d serving.Denial) { e.reason = d.String() }

// Guards against refusals after a power loss, when all processes start at the same time and a request
// arrives shortly before the configuration is known. The request is held for at most 0.4 s and at most a
// tenth of the caller's timeout, and refused only then. Later, and at a process that has been running for
// long, it is refused at once.
func TestCallersAreHeldWhileEverythingStarts(t *testing.T) {
	const known = 300 * time.Millisecond
	cases := []struct {
		name string
		// arrives is the time from the process start to the request, and patience the caller's timeout.
		arrives, patience time.Duration
		took              time.Duration
		reason            string
	}{
		{"soon enough", 50 * time.Millisecond, 8 * time.Second, known - 50*time.Millisecond, "no_route"},
		{"little patience", 50 * time.Millisecond, time.Second, 100 * time.Millisecond, "entry_not_ready"},
		{"little patience, nearly there", 250 * time.Millisecond, time.Second, 50 * time.Millisecond, "no_route"},
		{"known", known + 10*time.Millisecond, time.Second, 0, "no_route"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				var view atomic.Pointer[fleet.View]
				view.Store(&fleet.View{Entries: 1})
				server := &serving.Server{View: view.Load, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
				server.FailuresPending()
				time.AfterFunc(known, func() { view.Store(&fleet.View{Entries: 1, Config: &deployment.Config{Version: 1}}) })
				<-time.After(c.arrives)
				e := &refusalSink{}
				began := time.Now()
				server.Serve(context.Background(), &exchange.Request{ID: "r", Wait: c.patience, Arrived: clock.Now()}, e)
				took := time.Since(began).Round(20 * time.Millisecond)
				if diff := cmp.Diff([]any{c.reason, c.took.Round(20 * time.Millisecond)}, []any{e.reason, took}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Guards against prompts that are sent right after a power loss, before it is known which of their parts stores
// hold: all callers retry at once, and the engines would compute everything anew. Only long prompts of
// tiered services are held, for at most a quarter of the objective.
func TestPromptsAreHeldUntilStoresAreKnown(t *testing.T) {
	const known = 200 * time.Millisecond
	cases := []struct {
		name                     string
		ranks, tokens            int
		arrives, objective, took time.Duration
	}{
		{"stores in time", 3, 2000, 50 * time.Millisecond, 4 * time.Second, known - 50*time.Millisecond},
		{"a short objective", 3, 2000, 50 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond},
		{"a short prompt", 3, 500, 50 * time.Millisecond, 4 * time.Second, 0},
		{"not tiered", 2, 2000, 50 * time.Millisecond, 4 * time.Second, 0},
		{"stores known", 3, 2000, known + 10*time.Millisecond, 4 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{
					"e": {Name: "e", Engine: &deployment.Engine{}}, "k": {Name: "k", Store: &deployment.Store{Address: "k:1"}},
				}}
				for rank := range c.ranks {
					config.Routes = append(config.Routes, deployment.Route{
						Host: "h", Prefix: fmt.Sprint("/", rank), Kind: deployment.Stream, Timeout: time.Minute, Objective: c.objective, Rank: rank, Targets: []deployment.Target{{Service: "e", Weight: 1}},
					})
				}
				if err := config.Check(); err != nil {
					t.Fatal(err)
				}
				var view atomic.Pointer[fleet.View]
				view.Store(&fleet.View{Entries: 1, Config: config})
				server := &serving.Server{View: view.Load, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
				server.FailuresPending()
				time.AfterFunc(known, func() {
					view.Store(&fleet.View{Entries: 1, Config: config, Stores: map[string]keeping.StoreContents{"k:1": {}}})
				})
				<-time.After(c.arrives)
				e := &refusalSink{}
				began := time.Now()
				prompt := &exchange.Prompt{Model: "m", Parts: []exchange.Part{{ID: "a", Tokens: c.tokens}, {ID: "b", Tokens: 10}}}
				server.Serve(context.Background(), &exchange.Request{ID: "r", Host: "h", Path: "/0/x", Prompt: prompt, Arrived: clock.Now()}, e)
				took := time.Since(began).Round(20 * time.Millisecond)
				if diff := cmp.Diff([]any{"no_upstream", c.took.Round(20 * time.Millisecond)}, []any{e.reason, took}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A process that has long been without a configuration refuses requests at once.
func TestCallersAreNotHeldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		server := &serving.Server{View: func() *fleet.View { return &fleet.View{} }, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
		server.FailuresPending()
		<-time.After(time.Minute)
		e := &refusalSink{}
		began := time.Now()
		server.Serve(context.Background(), &exchange.Request{ID: "r", Wait: 8 * time.Second, Arrived: clock.Now()}, e)
		if diff := cmp.Diff([]any{"entry_not_ready", time.Duration(0)}, []any{e.reason, time.Since(began)}); diff != "" {
			t.Error(diff)
		}
	})
}
