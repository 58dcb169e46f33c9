package serving_test

import (
	stdcmp "cmp"
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	transport "github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// stubArbiter gives the same answer each time, and records requests and releases.
type stubArbiter struct {
	decision arbiter.Decision
	err      error
	// during is called in each Decide.
	during   func()
	asked    []arbiter.Request
	released int
}

func (s *stubArbiter) Decide(_ context.Context, _ string, r arbiter.Request) (transport.Answer, error) {
	s.asked = append(s.asked, r)
	if s.during != nil {
		s.during()
	}
	return transport.Answer{ID: "id", Decision: s.decision}, s.err
}

func (s *stubArbiter) Release(string, string) { s.released++ }

// engines answers at once, except for the engines that are down, and records where attempts were sent.
type engines struct {
	down string
	sent []string
	// during is called in each Send.
	during func()
}

func (e *engines) Send(_ context.Context, a *exchange.Attempt) exchange.Reply {
	e.sent = append(e.sent, a.Instance.ID)
	if e.during != nil {
		e.during()
	}
	if a.Instance.ID == e.down {
		return exchange.Unreached{Err: errors.New("connection refused")}
	}
	return exchange.Whole{Head: exchange.Head{Status: 200}}
}

func (e *engines) Refuses(context.Context, registry.Instance) bool { return true }

// outcomeSink records the outcome of a request that was refused.
type outcomeSink struct {
	serving.Sink
	refused outcome.Outcome
}

func (s *outcomeSink) Answer(exchange.Whole) error { return nil }

func (s *outcomeSink) Refuse(o outcome.Outcome) { s.refused = o }

const memory = 1600

// tieredView returns a view with three idle engines of a service with so many ranks.
func tieredView(t *testing.T, ranks int) *fleet.View {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc", Engine: &deployment.Engine{Slots: 8, MemoryTokens: memory}}}}
	for rank := range ranks {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: "/" + string(rune('a'+rank)) + "/", Kind: deployment.Stream, Rank: rank, Timeout: time.Minute, Objective: time.Second, Attempts: 2, Resumable: true,
			Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		})
	}
	if err := config.Check(); err != nil {
		t.Fatal(err)
	}
	view := &fleet.View{Entries: 1, Config: config, Leader: "leader:1", Instances: map[string][]registry.Instance{}, Loads: map[registry.Incarnation]balance.EngineLoad{}, LoadsAt: clock.Now()}
	for _, id := range []string{"a", "b", "c"} {
		in := registry.Instance{ID: id, Service: "svc", FailureDomain: "d" + id, Slots: 8}
		view.Instances["svc"] = append(view.Instances["svc"], in)
		view.Loads[in.Incarnation()] = balance.EngineLoad{}
	}
	return view
}

func newServer(view *fleet.View, asked serving.Arbiter, upstreams exchange.Upstreams) *serving.Server {
	server := &serving.Server{
		View: func() *fleet.View { return view }, Upstreams: upstreams, Arbiter: asked, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel},
	}
	server.Allowance.Slack, server.Allowance.Window = 100, time.Minute
	return server
}

// prompt returns a prompt of so many tokens, of which most are shared with others.
func prompt(tokens int) *exchange.Request {
	return &exchange.Request{
		ID: "r", Host: "h", Path: "/a/x", Arrived: clock.Now(), Wait: time.Minute,
		Prompt: &exchange.Prompt{Model: "m", Parts: []exchange.Part{{ID: "p", Tokens: tokens - 1}, {ID: "q", Tokens: 1}}, Tokens: tokens},
	}
}

// Guards against entries that depend on the leader. Without a leader, without an answer, or with an answer
// that cannot be followed, a request is served as by an entry without an arbiter, and requests that the
// arbiter does not arbitrate never ask. What is granted is released once: at the end if it is used, else at once.
func TestEntriesFollowTheArbiterOrDecideThemselves(t *testing.T) {
	const long, short = memory / 4, memory / 32
	grant := func(id string) arbiter.Decision { return arbiter.Grant{Engine: registry.Incarnation{ID: id}} }
	alone := &engines{}
	newServer(tieredView(t, 3), nil, alone).Serve(t.Context(), prompt(long), &outcomeSink{})
	self := alone.sent
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[self[0]]
	noRoom := arbiter.Refusal{RetryAfter: 700 * time.Millisecond, Reason: arbiter.NoRoom}
	cases := map[string]struct {
		decision arbiter.Decision
		err      error
		change   func(*fleet.View, *exchange.Request)
		// ranks and tokens are those of a long prompt at a tiered service where they are 0.
		ranks, tokens   int
		asked, released int
		sent            []string
		refused         outcome.Outcome
	}{
		"granted":                          {decision: grant(other), asked: 1, released: 1, sent: []string{other}},
		"two ranks":                        {decision: grant(other), ranks: 2, sent: self},
		"a short prompt":                   {decision: grant(other), tokens: short, sent: self},
		"no leader is known":               {decision: grant(other), change: func(v *fleet.View, _ *exchange.Request) { v.Leader = "" }, sent: self},
		"too few loads":                    {decision: arbiter.Unknown{}, asked: 1, sent: self},
		"no answer":                        {err: context.DeadlineExceeded, asked: 1, sent: self},
		"paused after a failure":           {err: transport.ErrPaused, asked: 1, sent: self},
		"an engine that is gone":           {decision: grant("z"), asked: 1, released: 1, sent: self},
		"an engine that has started again": {decision: arbiter.Grant{Engine: registry.Incarnation{ID: other, Start: 7}}, asked: 1, released: 1, sent: self},
		"an evacuated engine": {decision: grant(other), asked: 1, released: 1, sent: self, change: func(v *fleet.View, _ *exchange.Request) {
			v.Evacuated = map[string]time.Time{"d" + other: clock.Now()}
		}},
		"nothing to choose from": {decision: grant(other), sent: self, change: func(v *fleet.View, _ *exchange.Request) {
			v.Busy = map[registry.Incarnation]bool{{ID: "a"}: true, {ID: "b"}: true, {ID: "c"}: true}
		}},
		"no room":          {decision: noRoom, asked: 1, refused: outcome.NotRun{RetryAfter: 700 * time.Millisecond, Reason: outcome.ReasonNoRoom}},
		"over its share":   {decision: arbiter.Refusal{Reason: arbiter.OverShare}, asked: 1, refused: outcome.NotRun{Reason: outcome.ReasonTeamShare}},
		"no time":          {decision: arbiter.Refusal{Reason: arbiter.NoTime}, asked: 1, refused: outcome.NotRun{Reason: outcome.ReasonDeadline}},
		"a resumed stream": {decision: noRoom, asked: 1, sent: self, change: func(_ *fleet.View, r *exchange.Request) { r.Resumes = true }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			view, request := tieredView(t, stdcmp.Or(c.ranks, 3)), prompt(stdcmp.Or(c.tokens, long))
			if c.change != nil {
				c.change(view, request)
			}
			asked, upstreams, sink := &stubArbiter{decision: c.decision, err: c.err}, &engines{}, &outcomeSink{}
			server := newServer(view, asked, upstreams)
			// The server's mutex must not be held during the call.
			asked.during = func() { server.TakeFailures() }
			held := 0
			upstreams.during = func() { held = c.released - asked.released }
			server.Serve(t.Context(), request, sink)
			followed := name == "granted"
			if held > 0 != followed {
				t.Errorf("%d grants are held during the attempt", held)
			}
			if diff := cmp.Diff([]any{c.asked, c.released, c.sent, c.refused}, []any{len(asked.asked), asked.released, upstreams.sent, sink.refused}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a resend that is refused, or placed where the first attempt failed, and against grants
// that are held for attempts that have ended.
func TestResendsAskAgain(t *testing.T) {
	asked, upstreams, sink := &stubArbiter{decision: arbiter.Grant{Engine: registry.Incarnation{ID: "b"}}}, &engines{down: "b"}, &outcomeSink{}
	newServer(tieredView(t, 3), asked, upstreams).Serve(t.Context(), prompt(memory/4), sink)
	if len(asked.asked) != 2 || len(upstreams.sent) != 2 {
		t.Fatalf("asked %d times, sent to %v", len(asked.asked), upstreams.sent)
	}
	first, second := asked.asked[0], asked.asked[1]
	got := []any{first.Resumes, second.Resumes, slices.Collect(maps.Keys(second.Excluded)), first.Digest == second.Digest, upstreams.sent[1] != "b", asked.released}
	if diff := cmp.Diff([]any{false, true, []string{"b"}, true, true, 2}, got); diff != "" {
		t.Error(diff)
	}
}
