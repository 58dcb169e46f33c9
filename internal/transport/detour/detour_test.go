package detour_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/detour"
)

// Whatever an instance replies to a peer arrives as if it had replied to this entry.
func TestRepliesPassUnchanged(t *testing.T) {
	condition := exchange.Condition{ColdFor: time.Second, RestFor: 1500 * time.Millisecond, Leaving: true, Limit: exchange.RateLimit{PerSecond: 2.5}}
	head := exchange.Head{Status: 207, Header: http.Header{"X-Many": {"a", "b"}}, Condition: condition}
	replies := map[string]exchange.Reply{
		"whole":           exchange.Whole{Head: head, Body: []byte("some\x00bytes")},
		"not run":         exchange.NotRun{Status: 503, Condition: condition, Header: http.Header{"Retry-After": {"1.5"}}},
		"misdirected":     exchange.NotRun{Status: 421, Misdirected: true, Header: http.Header{}},
		"no limit":        exchange.Whole{Head: exchange.Head{Status: 200, Header: http.Header{}, Condition: exchange.Condition{Limit: exchange.NoLimit{}}}},
		"unreadable":      exchange.Whole{Head: exchange.Head{Status: 200, Header: http.Header{"X": {"\xff"}}, Condition: exchange.Condition{Limit: exchange.UnreadableLimit{Text: "\xff"}}}},
		"unreached":       exchange.Unreached{Err: errors.Wrap(syscall.ECONNREFUSED, "connect")},
		"timed out":       exchange.Broken{Err: errCut, Condition: condition},
		"closed":          exchange.Broken{Err: errors.Wrap(io.ErrUnexpectedEOF, "read")},
		"not even closed": exchange.Broken{Err: errors.New("the answer belongs to another request")},
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			helper := newEntry(t, func(context.Context, *exchange.Attempt) exchange.Reply { return reply })
			e := newEntry(t, answered, helper)
			e.losePath(t)
			a := newAttempt("1", instances[0])
			got := e.Send(t.Context(), a)
			if diff := cmp.Diff(reply, got, cmpopts.EquateEmpty(), cmp.Comparer(sameError)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(helper.address, a.Via); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// sameError compares what decisions ask of an error.
func sameError(a, b error) bool {
	var x, y net.Error
	timedOut := errors.As(a, &x) && x.Timeout()
	return timedOut == (errors.As(b, &y) && y.Timeout()) && errors.Is(a, syscall.ECONNREFUSED) == errors.Is(b, syscall.ECONNREFUSED) &&
		exchange.ConnectionClosed(a) == exchange.ConnectionClosed(b)
}

// Everything that an attempt says to the instance is kept, also bytes that are no text. A field that is added to these types must be carried, or
// listed here with the reason why a peer does not need it.
func TestAttemptPassesUnchanged(t *testing.T) {
	unneeded := map[string]string{
		"Request.Path": "routes were chosen", "Request.Key": "the team is known", "Request.Arrived": "of the sender", "Request.Wait": "the deadline holds",
		"Request.Left": "of the sender", "Request.Prompt": "only whether there is one", "Instance.Slots": "of the choice", "Instance.ColdUntil": "of the choice",
		"Instance.Leaving": "of the choice", "Instance.Sequence": "of the choice", "Instance.Weights": "of the choice", "Instance.WeightsProvenance": "of the choice",
		"Attempt.AllowsDomain": "the peer was chosen by it", "Attempt.Via": "set by the sender",
	}
	helper := newEntry(t, answered)
	e := newEntry(t, answered, helper)
	e.losePath(t)
	sent := &exchange.Attempt{
		Request: &exchange.Request{
			ID: "id\xff", Method: "PUT", Target: "/t\xff?q", Host: "h\xfe", Header: http.Header{"X": {"1", "\xff\xfe"}}, Body: []byte{0, 1}, Prompt: &exchange.Prompt{}, Streamed: true, After: 7, Resumes: true,
		},
		Instance: instances[1], Deadline: clock.Now().Add(5 * time.Second), Team: "team", Urgency: 3, Salt: "salt",
		Fetch: []exchange.PartLocation{{}, {Address: "s:1", Tokens: 9}}, Save: []exchange.PartLocation{{Address: "s:2"}}, FetchUntil: 12345 * time.Microsecond,
		Weights: 4, WeightsName: "w", Run: "run", Number: 2, Single: true, After: 7, Resumes: true,
	}
	e.Send(t.Context(), sent)
	got := helper.direct.sent()
	if len(got) != 1 {
		t.Fatalf("the peer sent %d attempts", len(got))
	}
	for _, part := range []struct {
		name      string
		want, got any
	}{{"Request", *sent.Request, *got[0].Request}, {"Instance", sent.Instance, got[0].Instance}, {"Attempt", *sent, *got[0]}} {
		want, have := reflect.ValueOf(part.want), reflect.ValueOf(part.got)
		for i := range want.NumField() {
			name := part.name + "." + want.Type().Field(i).Name
			if name == "Attempt.Request" || name == "Attempt.Instance" || unneeded[name] != "" {
				continue
			}
			if want.Field(i).IsZero() {
				t.Errorf("%s has no value in this test", name)
			}
			if diff := cmp.Diff(want.Field(i).Interface(), have.Field(i).Interface(), cmpopts.EquateApproxTime(time.Second)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
	if got[0].Prompt == nil {
		t.Error("the peer does not know that there is a prompt")
	}
	if left := got[0].Deadline.Sub(sent.Deadline); left > 100*time.Millisecond {
		t.Errorf("the peer's deadline is %s later", left)
	}
}

// Events arrive in order and one by one, and a stream that breaks at the instance breaks here.
func TestStreamsPassEventByEvent(t *testing.T) {
	for name, end := range map[string]error{"complete": nil, "broken": io.ErrUnexpectedEOF} {
		t.Run(name, func(t *testing.T) {
			l := &listEvents{end: end, closed: make(chan struct{}), wait: make(chan struct{})}
			for i := range 50 {
				l.events = append(l.events, exchange.Event{Number: uint64(i + 1), Raw: fmt.Appendf(nil, "id: %d\n\n", i+1), Data: fmt.Append(nil, i)})
			}
			helper := newEntry(t, func(ctx context.Context, _ *exchange.Attempt) exchange.Reply {
				l.ctx = ctx
				return exchange.Stream{Head: exchange.Head{Status: 200, Header: http.Header{}}, Events: l}
			})
			e := newEntry(t, answered, helper)
			e.losePath(t)
			stream, ok := e.Send(t.Context(), newAttempt("1", instances[0])).(exchange.Stream)
			if !ok {
				t.Fatal("no stream")
			}
			for i, want := range l.events {
				// The instance makes the next event only after this one has arrived.
				got, _, err := stream.Events.Next()
				if diff := cmp.Diff(want, got); diff != "" || err != nil {
					t.Fatal(i, err, diff)
				}
				l.wait <- struct{}{}
			}
			_, _, err := stream.Events.Next()
			if end == nil && err != io.EOF || end != nil && !exchange.ConnectionClosed(err) {
				t.Errorf("the stream ended with %v", err)
			}
			stream.Events.Close()
			<-l.closed
		})
	}
}

// An attempt ends at the instance within half a second after its caller has left, before an answer and amid one.
func TestCallersLeavingPassesOn(t *testing.T) {
	const bound = 500 * time.Millisecond
	for name, streams := range map[string]bool{"before the answer": false, "amid a stream": true} {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan time.Time, 1)
			helper := newEntry(t, func(ctx context.Context, _ *exchange.Attempt) exchange.Reply {
				context.AfterFunc(ctx, func() { ended <- time.Now() })
				if streams {
					return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &listEvents{events: make([]exchange.Event, 9), closed: make(chan struct{}), wait: make(chan struct{}), ctx: ctx}}
				}
				close(began)
				<-ctx.Done()
				return exchange.Broken{Err: ctx.Err()}
			})
			e := newEntry(t, answered, helper)
			e.losePath(t)
			ctx, leave := context.WithCancel(t.Context())
			replied := make(chan exchange.Reply, 1)
			go func() { replied <- e.Send(ctx, newAttempt("1", instances[0])) }()
			if streams {
				events := (<-replied).(exchange.Stream).Events
				if _, _, err := events.Next(); err != nil {
					t.Fatal(err)
				}
			} else {
				<-began
			}
			left := time.Now()
			leave()
			if took := (<-ended).Sub(left); took > bound {
				t.Errorf("the attempt ended %s after its caller had left", took)
			}
		})
	}
}

// If the connection to the peer breaks after the attempt was sent, it may have run: it is not sent again.
func TestBrokenLinkIsNoPromise(t *testing.T) {
	helpers := make([]*entry, 2)
	for i := range helpers {
		helpers[i] = newEntry(t, func(context.Context, *exchange.Attempt) exchange.Reply { panic(http.ErrAbortHandler) })
	}
	e := newEntry(t, answered, helpers...)
	e.losePath(t)
	reply := e.Send(t.Context(), newAttempt("1", instances[0]))
	broken, ok := reply.(exchange.Broken)
	if !ok || exchange.ConnectionClosed(broken.Err) {
		t.Errorf("the reply is %T %v, want a Broken that says nothing about the instance", reply, reply)
	}
	if diff := cmp.Diff(1, len(helpers[0].direct.sent())+len(helpers[1].direct.sent())); diff != "" {
		t.Error("attempts at the instance: ", diff)
	}
}

// A peer that has no path, or that no process serves any more, is passed over. A peer never asks a third entry.
func TestNextPeerIsAskedAndNoPeerPassesOnTwice(t *testing.T) {
	last := newEntry(t, answered)
	cut := newEntry(t, answered, last)
	cut.losePath(t)
	gone := &entry{address: "127.0.0.1:1"}
	for range 20 {
		e := newEntry(t, answered, cut, gone, last)
		e.losePath(t)
		a := newAttempt("1", instances[0])
		if _, ok := e.Send(t.Context(), a).(exchange.Whole); !ok {
			t.Fatal("the entry with a path was not asked")
		}
		if diff := cmp.Diff(last.address, a.Via); diff != "" {
			t.Error(diff)
		}
	}
	if diff := cmp.Diff(0, len(cut.direct.sent())); diff != "" {
		t.Error(diff)
	}
}

// Without any path, an attempt fails at once, and says that others would as well.
func TestNoPathIsSaidAtOnce(t *testing.T) {
	cut := newEntry(t, answered)
	cut.losePath(t)
	e := newEntry(t, answered, cut)
	e.losePath(t)
	began := time.Now()
	reply := e.Send(t.Context(), newAttempt("1", instances[0]))
	if unreached, ok := reply.(exchange.Unreached); !ok || !unreached.NoPath {
		t.Errorf("the reply is %#v", reply)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("it took %s", took)
	}
}

// Guards against entries that refuse requests while they wait for further probes, after a service was down for all: the
// first probe that succeeds is enough where no peer has a path.
func TestServiceThatWasDownForAllIsUsedAtOnce(t *testing.T) {
	cut := newEntry(t, answered)
	cut.losePath(t)
	e := newEntry(t, answered, cut)
	// The path that is lost again and again needs ever more rounds of probes.
	for range 3 {
		e.losePath(t)
		e.direct.setCut(false)
		await(t, "the path is found", func() bool { return e.State("svc") == coordination.Open })
	}
	e.losePath(t)
	e.direct.setCut(false)
	began := time.Now()
	await(t, "the entry serves", func() bool {
		_, ok := e.Send(t.Context(), newAttempt("1", instances[0])).(exchange.Whole)
		return ok
	})
	if took := time.Since(began); took > time.Second {
		t.Errorf("the entry served %s after the service was back", took)
	}
}

// Guards against entries that tell for good that they lack a path, after a service was removed to which they had lost it.
func TestServiceWithoutInstancesIsNoLostPath(t *testing.T) {
	e := newEntry(t, answered)
	e.losePath(t)
	if !e.AnyLost() {
		t.Fatal("the entry does not tell that it lacks a path")
	}
	e.gone.Store(true)
	await(t, "no path counts as lost", func() bool { return !e.AnyLost() })
}

// A request passes through no failure domain in which its data may not be.
func TestDetourKeepsToAllowedDomains(t *testing.T) {
	inside, outside := newEntry(t, answered), newEntry(t, answered)
	e := newEntry(t, answered, inside, outside)
	e.losePath(t)
	for range 20 {
		a := newAttempt("1", instances[0])
		a.AllowsDomain = func(domain string) bool { return domain == "d1" }
		e.Send(t.Context(), a)
		if diff := cmp.Diff(inside.address, a.Via); diff != "" {
			t.Fatal(diff)
		}
	}
	a := newAttempt("1", instances[0])
	a.AllowsDomain = func(string) bool { return false }
	if unreached, ok := e.Send(t.Context(), a).(exchange.Unreached); !ok || !unreached.NoPath {
		t.Error("an attempt was sent that no peer may pass on")
	}
}

// While the path is open, nothing takes a detour, also for instances that are gone.
func TestOpenPathIsUsed(t *testing.T) {
	helper := newEntry(t, answered)
	e := newEntry(t, func(_ context.Context, a *exchange.Attempt) exchange.Reply {
		if a.Instance.ID == "a" {
			return exchange.Unreached{Err: syscall.ECONNREFUSED}
		}
		return answered(context.Background(), a)
	}, helper)
	for range 100 {
		for _, in := range instances {
			e.Send(t.Context(), newAttempt("1", in))
		}
	}
	if diff := cmp.Diff(0, len(helper.direct.sent())); diff != "" {
		t.Error(diff)
	}
}

// An attempt at an instance that was not reached is sent through a peer in the same moment if others were not
// reached either: nothing was sent, so it is still the same attempt.
func TestFirstRequestsOfACutTakeADetour(t *testing.T) {
	helper := newEntry(t, answered)
	e := newEntry(t, answered, helper)
	e.direct.setCut(true)
	failed := 0
	for _, in := range instances {
		if _, ok := e.Send(t.Context(), newAttempt("1", in)).(exchange.Whole); !ok {
			failed++
		}
	}
	if diff := cmp.Diff(1, failed); diff != "" {
		t.Error("attempts that failed: ", diff)
	}
}

// After the path is back, requests are sent directly, without a request that looked for it.
func TestPathIsRestoredByProbes(t *testing.T) {
	helper := newEntry(t, answered)
	e := newEntry(t, answered, helper)
	e.losePath(t)
	e.direct.setCut(false)
	await(t, "the path is found", func() bool { return e.State("svc") == coordination.Open })
	if diff := cmp.Diff(0, len(e.direct.sent())); diff != "" {
		t.Error(diff)
	}
	a := newAttempt("1", instances[0])
	e.Send(t.Context(), a)
	if diff := cmp.Diff("", a.Via); diff != "" {
		t.Error(diff)
	}
}

// Guards against an entry that has lost its direct path and reports that instances ended, because its connections to
// them are refused: a peer that reaches them knows better.
func TestOwnLostPathIsNoSignOfAnEnd(t *testing.T) {
	reaches, refused := newEntry(t, answered), newEntry(t, answered)
	refused.direct.refuses = true
	for _, c := range []struct {
		helper *entry
		want   bool
	}{{reaches, false}, {refused, true}} {
		e := newEntry(t, answered, c.helper)
		e.losePath(t)
		if diff := cmp.Diff(c.want, e.Refuses(t.Context(), instances[0])); diff != "" {
			t.Error(diff)
		}
	}
}

// A peer bounds the attempts that it has in flight, and declines those that it cannot know or read.
func TestPeerDeclines(t *testing.T) {
	release := make(chan struct{})
	helper := newEntry(t, func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
		<-release
		return answered(ctx, a)
	})
	e := newEntry(t, answered, helper)
	e.losePath(t)
	replies := make(chan exchange.Reply, detour.MaxForwarded)
	for range detour.MaxForwarded {
		go func() { replies <- e.Send(t.Context(), newAttempt("1", instances[0])) }()
	}
	await(t, "the peer is full", func() bool { return len(helper.direct.sent()) == detour.MaxForwarded })
	if unreached, ok := e.Send(t.Context(), newAttempt("1", instances[0])).(exchange.Unreached); !ok || !unreached.NoPath {
		t.Error("a full peer took an attempt")
	}
	close(release)
	for range detour.MaxForwarded {
		if _, ok := (<-replies).(exchange.Whole); !ok {
			t.Fatal("an attempt that was accepted failed")
		}
	}
	unknown := registry.Instance{ID: "unknown", Service: "svc"}
	await(t, "the peer is asked again", func() bool {
		reply, ok := e.Send(t.Context(), newAttempt("1", unknown)).(exchange.Unreached)
		return ok && !reply.NoPath
	})
	res, err := http.Post("http://"+helper.address+detour.Path, "", strings.NewReader("\xff"))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if diff := cmp.Diff(http.StatusBadRequest, res.StatusCode); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkSend shows what the watch of an open path adds to an attempt.
func BenchmarkSend(b *testing.B) {
	direct := &fakeDirect{reply: answered}
	u := &detour.Upstreams{Name: "e", Direct: direct, Metrics: detour.NewMetrics(), Instances: func(string) []registry.Instance { return instances }}
	a := newAttempt("1", instances[0])
	for name, send := range map[string]func(context.Context, *exchange.Attempt) exchange.Reply{"direct": direct.Send, "watched": u.Send} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				direct.attempts = nil
				send(b.Context(), a)
			}
		})
	}
}
