package serving_test

import (
	"context"
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
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// silentDomain is a failure domain in which no attempt gets a response; all others answer at once.
type silentDomain string

func (s silentDomain) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	if a.Instance.FailureDomain != string(s) {
		return exchange.Whole{Head: exchange.Head{Status: 200}}
	}
	<-ctx.Done()
	return exchange.Broken{Err: ctx.Err()}
}

func (s silentDomain) Refuses(context.Context, registry.Instance) bool { return false }

// answerSink records how a request ended.
type answerSink struct {
	refusalSink
	status int
}

func (a *answerSink) Answer(w exchange.Whole) error {
	a.status = w.Head.Status
	return nil
}

func (a *answerSink) Refuse(outcome.Outcome) {}

// A request that waits for an instance in a failure domain that was cut off is sent elsewhere as soon as
// that is known, if it may run twice. Any other request waits on.
func TestRequestsLeaveUnreachableDomains(t *testing.T) {
	const timeout, knownAfter = 10 * time.Second, time.Second
	for kind, wantEarly := range map[deployment.Kind]bool{deployment.Repeatable: true, deployment.Once: false} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			config := &deployment.Config{
				Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc"}},
				Routes: []deployment.Route{{
					Host: "h", Prefix: "/", Kind: kind, Timeout: timeout, Objective: time.Second, Attempts: 2, Targets: []deployment.Target{{Service: "svc", Weight: 1}},
				}},
			}
			err := config.Check()
			if err != nil {
				t.Fatal(err)
			}
			cut := registry.Instance{ID: "a", Service: "svc", FailureDomain: "cut", Slots: 1}
			other := registry.Instance{ID: "b", Service: "svc", FailureDomain: "other", Slots: 1}
			var view atomic.Pointer[fleet.View]
			view.Store(&fleet.View{Entries: 1, Config: config, Instances: map[string][]registry.Instance{"svc": {cut}}})
			quiet := &log.Logger{Level: log.PanicLevel}
			server := &serving.Server{
				View: view.Load, Upstreams: silentDomain("cut"), Metrics: serving.NewMetrics(), Log: quiet,
				Ends: &ends.Tracker{Entries: func() int { return 1 }, SupersededCheck: func() func(registry.Instance) bool { return view.Load().Superseded }, Metrics: ends.NewMetrics(), Log: quiet},
			}
			server.Allowance.Slack, server.Allowance.Window = 100, time.Minute
			go server.Run(ctx)
			began := time.Now()
			time.AfterFunc(knownAfter, func() {
				view.Store(&fleet.View{
					Entries: 1, Config: config, Instances: map[string][]registry.Instance{"svc": {cut, other}}, Unreachable: map[string]time.Time{"cut": clock.Now()},
				})
			})
			sink := &answerSink{}
			server.Serve(ctx, &exchange.Request{Host: "h", Path: "/", Arrived: clock.Now(), Wait: timeout}, sink)
			took := time.Since(began)
			if early := took < 2*knownAfter; early != wantEarly || !early && took < timeout {
				t.Errorf("a request of kind %v took %s", kind, took)
			}
			wantStatus := map[deployment.Kind]int{deployment.Repeatable: 200}[kind]
			if diff := cmp.Diff(wantStatus, sink.status); diff != "" {
				t.Errorf("a request of kind %v: %s", kind, diff)
			}
		})
	}
}
