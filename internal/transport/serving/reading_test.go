package serving_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/keeping/keepingtest"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// timedEngines are engines that compute a number of tokens per millisecond before the first event of an answer.
type timedEngines struct {
	perMs int
	// refuses makes one of them refuse the next request.
	refuses bool
	last    *exchange.Attempt
}

func (e *timedEngines) Refuses(context.Context, registry.Instance) bool { return false }

func (e *timedEngines) Send(_ context.Context, a *exchange.Attempt) exchange.Reply {
	e.last = a
	if e.refuses {
		e.refuses = false
		return exchange.NotRun{Status: 503}
	}
	tokens := 0
	for i, part := range a.Prompt.Parts {
		if a.Fetch == nil || a.Fetch[i].Address == "" {
			tokens += part.Tokens
		}
	}
	time.Sleep(time.Duration(tokens/e.perMs) * time.Millisecond)
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &oneEvent{}}
}

// oneEvent is a stream of one event.
type oneEvent struct{ sent bool }

func (e *oneEvent) Next() (exchange.Event, bool, error) {
	if e.sent {
		return exchange.Event{}, false, io.EOF
	}
	e.sent = true
	return exchange.Event{Number: 1}, false, nil
}

func (e *oneEvent) Close() {}

// discardSink accepts all answers.
type discardSink struct{ serving.Sink }

func (discardSink) Begin(exchange.Head) error { return nil }
func (discardSink) Event([]byte, bool) error  { return nil }
func (discardSink) End()                      {}

// keepingView returns a view with two engines and one store that holds the parts "held", "f333" and "f334". A token takes 10 µs
// from the store to the engine.
func keepingView(t *testing.T, ranks int, load balance.EngineLoad) *fleet.View {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{
		"e": {Name: "e", Engine: &deployment.Engine{MemoryTokens: 1_000_000, TokenBytes: 25_000, Models: []string{"m"}}},
		"k": {Name: "k", Store: &deployment.Store{Address: "k:1", FailureDomain: "z", LinkRate: 20_000, FirstByte: 2 * time.Millisecond}},
	}}
	for rank := range ranks {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: "/" + string(rune('a'+rank)), Kind: deployment.Stream, Timeout: time.Minute, Objective: time.Second, Rank: rank, Attempts: 2,
			Resumable: true, Targets: []deployment.Target{{Service: "e", Weight: 1}},
		})
	}
	if err := config.Check(); err != nil {
		t.Fatal(err)
	}
	engines, loads := []registry.Instance{}, map[registry.Incarnation]balance.EngineLoad{}
	for _, id := range []string{"a", "b"} {
		engines = append(engines, registry.Instance{ID: id, Service: "e", FailureDomain: "z", Slots: 8, Weights: map[string]uint64{"m": 1}})
		loads[engines[len(engines)-1].Incarnation()] = load
	}
	salt := keeping.Salt{Model: "m", Version: 1}.String()
	return &fleet.View{
		Entries: 1, Config: config, Instances: map[string][]registry.Instance{"e": engines},
		Loads: loads, LoadsAt: clock.Now(),
		Stores: map[string]keeping.StoreContents{"k:1": {
			Until: time.Hour, FreeTokens: 1_000_000, ReceivedAt: clock.Now().Add(time.Hour),
			Parts: map[keeping.Part]int{{Salt: salt, ID: "held"}: 2000, {Salt: salt, ID: "f333"}: 333, {Salt: salt, ID: "f334"}: 334},
		}},
	}
}

// An engine computes 40 tokens in 1 ms, and a fetch takes 5 ms and 10 µs a token, so that parts are kept
// from 334 tokens on. Guards against a minimum that changes for services that are not tiered, that is
// learned from too few prompts, from fetched tokens, from repeated or resumed requests or from loaded
// engines, and against saves and fetches by different minimums.
func TestKeptMinimumFollowsTheReadingSpeed(t *testing.T) {
	unshared := []exchange.Part{{ID: "own", Tokens: 4000}}
	cases := []struct {
		name    string
		ranks   int
		load    balance.EngineLoad
		prompts int
		parts   []exchange.Part
		refuses bool
		resumes bool
		// want are the ids of shared parts of 333, 334 and 1,024 tokens that are fetched or saved afterwards.
		want []string
	}{
		{"tiered", 3, balance.EngineLoad{}, 32, unshared, false, false, []string{"f334", "334", "1024"}},
		{"two ranks", 2, balance.EngineLoad{}, 32, unshared, false, false, []string{"1024"}},
		{"too few prompts", 3, balance.EngineLoad{}, 31, unshared, false, false, []string{"1024"}},
		{"fetched part", 3, balance.EngineLoad{}, 32, []exchange.Part{{ID: "held", Tokens: 2000}, {ID: "own", Tokens: 4000}}, false, false, []string{"f334", "334", "1024"}},
		{"mostly fetched", 3, balance.EngineLoad{}, 32, []exchange.Part{{ID: "held", Tokens: 2000}, {ID: "own", Tokens: 1000}}, false, false, []string{"1024"}},
		{"second attempts", 3, balance.EngineLoad{}, 32, unshared, true, false, []string{"1024"}},
		{"resumed", 3, balance.EngineLoad{}, 32, unshared, false, true, []string{"1024"}},
		{"queue", 3, balance.EngineLoad{Waiting: 1}, 32, unshared, false, false, []string{"1024"}},
		{"half the memory used", 3, balance.EngineLoad{Used: 500_001}, 32, unshared, false, false, []string{"1024"}},
		{"some memory used", 3, balance.EngineLoad{Used: 400_000}, 32, unshared, false, false, []string{"f334", "334", "1024"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				view, engine := keepingView(t, c.ranks, c.load), &timedEngines{perMs: 40}
				metrics := serving.NewMetrics()
				server := &serving.Server{View: func() *fleet.View { return view }, Upstreams: engine, Saves: &keepingtest.Saves{}, Metrics: metrics, Log: &log.Logger{Level: log.PanicLevel}}
				server.Allowance.Slack, server.Allowance.Window = 100, time.Minute
				serve := func(parts []exchange.Part, resumes bool) {
					prompt := &exchange.Prompt{Model: "m", Parts: parts}
					server.Serve(t.Context(), &exchange.Request{Host: "h", Path: "/a", Arrived: clock.Now(), Wait: time.Minute, Prompt: prompt, Resumes: resumes}, discardSink{})
					time.Sleep(2 * time.Second) // the engine's reservations end
				}
				for range c.prompts {
					engine.refuses = c.refuses
					serve(c.parts, c.resumes)
				}
				shown := httptest.NewRecorder()
				metrics.Handler().ServeHTTP(shown, httptest.NewRequest("GET", "/metrics", nil))
				if known := strings.Contains(shown.Body.String(), `shedrock_reading_speed_tokens_per_second{service="e"} 40000`); known != (len(c.want) > 1) {
					t.Errorf("the metrics show the speed: %v", known)
				}
				var got []string
				for _, part := range []exchange.Part{{ID: "f333", Tokens: 333}, {ID: "f334", Tokens: 334}, {ID: "333", Tokens: 333}, {ID: "334", Tokens: 334}, {ID: "1024", Tokens: 1024}} {
					serve([]exchange.Part{part, {ID: "own", Tokens: 10}}, false)
					if engine.last.Save != nil || engine.last.Fetch != nil {
						got = append(got, part.ID)
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
