package serving_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// unreachableUpstreams records where attempts are sent, and reaches no instance.
type unreachableUpstreams struct{ sent []string }

func (u *unreachableUpstreams) Send(_ context.Context, a *exchange.Attempt) exchange.Reply {
	u.sent = append(u.sent, a.Instance.ID)
	return exchange.Unreached{Err: errors.New("connection refused")}
}

func (u *unreachableUpstreams) Refuses(context.Context, registry.Instance) bool { return true }

// A restricted request is sent only to instances in the regions that its route and its team allow,
// also when it is sent again. If there is no instance in any of them, it is refused at once.
func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	cases := []struct {
		name        string
		route, team []string
		sent        []string
		reason      string
	}{
		{"unrestricted", nil, nil, []string{"n", "s"}, "no_upstream"},
		{"by the route", []string{"south"}, nil, []string{"s"}, "no_upstream"},
		{"by the team", nil, []string{"north"}, []string{"n"}, "no_upstream"},
		{"by both", []string{"south", "north"}, []string{"south", "east"}, []string{"s"}, "no_upstream"},
		{"nothing in common", []string{"south"}, []string{"north"}, nil, "no_allowed_region"},
		{"no instance in the region", []string{"east"}, nil, nil, "no_allowed_region"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := &deployment.Config{
				Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc"}},
				Routes: []deployment.Route{{
					Host: "h", Prefix: "/", Kind: deployment.Repeatable, Timeout: time.Minute, Objective: time.Second, Attempts: 2,
					Targets: []deployment.Target{{Service: "svc", Weight: 1}}, AllowedRegions: c.route,
				}},
				Teams: []deployment.Team{{Name: "t", Keys: []string{"k"}, AllowedRegions: c.team}},
			}
			err := config.Check()
			if err != nil {
				t.Fatal(err)
			}
			view := &fleet.View{Entries: 1, Config: config, Instances: map[string][]registry.Instance{"svc": {
				{ID: "n", Service: "svc", FailureDomain: "n1", Slots: 1}, {ID: "s", Service: "svc", FailureDomain: "s1", Slots: 1},
			}}}
			upstreams := &unreachableUpstreams{}
			server := &serving.Server{
				View: func() *fleet.View { return view }, Upstreams: upstreams, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel},
				Regions: residency.Regions{"n1": "north", "s1": "south"},
			}
			server.Allowance.Slack, server.Allowance.Window = 100, time.Minute
			sink := &refusalSink{}
			server.Serve(context.Background(), &exchange.Request{Host: "h", Path: "/", Key: "k", Arrived: clock.Now(), Wait: time.Minute}, sink)
			if diff := cmp.Diff(c.reason, sink.reason); diff != "" {
				t.Error("reason: ", diff)
			}
			got := map[string]bool{}
			for _, id := range upstreams.sent {
				got[id] = true
			}
			want := map[string]bool{}
			for _, id := range c.sent {
				want[id] = true
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error("sent to: ", diff)
			}
		})
	}
}
