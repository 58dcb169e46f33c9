package serving_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// delayedUpstreams answers the first request after a second, for which a lost path delayed it, and all others in the time
// that is assumed of instances that have not been used.
type delayedUpstreams struct{ used map[string]int }

func (*delayedUpstreams) Refuses(context.Context, registry.Instance) bool { return false }

func (d *delayedUpstreams) Send(_ context.Context, a *exchange.Attempt) exchange.Reply {
	a.Delayed = len(d.used) == 0
	d.used[a.Instance.ID]++
	wait := 20 * time.Millisecond
	if a.Delayed {
		wait = time.Second
	}
	<-time.After(wait)
	return exchange.Whole{Head: exchange.Head{Status: 200, Condition: exchange.Condition{Limit: exchange.NoLimit{}}}}
}

// Guards against an instance that gets no requests for seconds after a silence of all instances, as if it were slow.
func TestLostPathDoesNotCountAsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc"}}, Routes: []deployment.Route{{
			Host: "h", Prefix: "/", Kind: deployment.Repeatable, Timeout: 5 * time.Second, Attempts: 1, Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		}}}
		err := config.Check()
		if err != nil {
			t.Fatal(err)
		}
		view := &fleet.View{Entries: 1, Config: config, Instances: map[string][]registry.Instance{"svc": {{ID: "a", Service: "svc", Slots: 8}, {ID: "b", Service: "svc", Slots: 8}}}}
		upstreams := &delayedUpstreams{used: map[string]int{}}
		s := &serving.Server{View: func() *fleet.View { return view }, Upstreams: upstreams, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
		for n := range 40 {
			s.Serve(t.Context(), &exchange.Request{Host: "h", Path: fmt.Sprint("/", n), Arrived: clock.Now(), Wait: 5 * time.Second}, &roomSink{})
		}
		for id, n := range upstreams.used {
			if n < 2 || len(upstreams.used) < 2 {
				t.Errorf("%s got %d of 40 requests", id, n)
			}
		}
	})
}
