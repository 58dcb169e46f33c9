package detour_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/detour"
)

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

// Without any path, an attempt fails at once, and its reply marks that others would as well.
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
		await.Until(t, patience, "the path is found", func() bool { return e.State("svc") == coordination.Open })
	}
	e.losePath(t)
	e.direct.setCut(false)
	began := time.Now()
	await.Until(t, patience, "the entry serves", func() bool {
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
	await.Until(t, patience, "no path counts as lost", func() bool { return !e.AnyLost() })
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
	await.Until(t, patience, "the path is found", func() bool { return e.State("svc") == coordination.Open })
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
	await.Until(t, patience, "the peer is full", func() bool { return len(helper.direct.sent()) == detour.MaxForwarded })
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
	await.Until(t, patience, "the peer is asked again", func() bool {
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
