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
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// ending notes how a request ended.
type ending struct {
	serving.Sink
	how string
}

func (e *ending) Refuse(o outcome.Outcome) { e.how = fmt.Sprint(o.(outcome.NotRun).Reason) }

func (e *ending) Deny(d serving.Denial) { e.how = d.String() }

// The pattern: everything lost power and starts again at once. A caller who comes a little before the
// configuration is known is held for as long as it is surely better than to come again: up to 0.4 s, and
// a tenth of its time. Later, and at a process that has long been running, it is told at once.
func TestCallersAreHeldWhileEverythingStarts(t *testing.T) {
	const known = 300 * time.Millisecond
	cases := []struct {
		name string
		// arrives is when the request comes after the start, and patience what its caller has.
		arrives, patience time.Duration
		took              time.Duration
		how               string
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
				e := &ending{}
				began := time.Now()
				server.Serve(context.Background(), &exchange.Request{ID: "r", Wait: c.patience, Arrived: clock.Now()}, e)
				took := time.Since(began).Round(20 * time.Millisecond)
				if diff := cmp.Diff([]any{c.how, c.took.Round(20 * time.Millisecond)}, []any{e.how, took}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A process that has had no configuration for long tells callers at once.
func TestCallersAreNotHeldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		server := &serving.Server{View: func() *fleet.View { return &fleet.View{} }, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
		server.FailuresPending()
		<-time.After(time.Minute)
		e := &ending{}
		began := time.Now()
		server.Serve(context.Background(), &exchange.Request{ID: "r", Wait: 8 * time.Second, Arrived: clock.Now()}, e)
		if diff := cmp.Diff([]any{"entry_not_ready", time.Duration(0)}, []any{e.how, time.Since(began)}); diff != "" {
			t.Error(diff)
		}
	})
}
