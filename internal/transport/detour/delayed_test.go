package detour_test

import (
	"context"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against a silence that counts as an instance's latency because the path was found before the answer came.
func TestSilenceBeforeThePathWasFoundDelays(t *testing.T) {
	s := newSilentEntry(t)
	s.open.Store(true)
	await.Until(t, patience, "the path is found", func() bool { return s.State("svc") == coordination.Open })
	close(s.answers)
	<-s.done
	if !s.first.Delayed {
		t.Error("the silence counts as the instance's latency")
	}
}

// Guards against the time of a failed attempt that counts as the latency of the instance that a peer then reached.
func TestFailedAttemptBeforeADetourDelays(t *testing.T) {
	cut := newEntry(t, answered, newEntry(t, answered))
	for _, in := range instances {
		cut.Observe(in, false)
	}
	cut.direct.setCut(true)
	a := newAttempt("1", instances[0])
	if reply, ok := cut.Send(t.Context(), a).(exchange.Whole); !ok || a.Via == "" {
		t.Fatalf("no detour: %#v", reply)
	}
	if !a.Delayed {
		t.Error("the failed attempt counts as the instance's latency")
	}
}

// Guards against an entry that measures no latency for as long as its new connections fail while open ones work.
func TestOpenConnectionsOfALostPathAreMeasured(t *testing.T) {
	const longAfterTheLoss = 1500 * time.Millisecond
	s := newSilentEntry(t)
	close(s.answers)
	<-s.done
	if !s.first.Delayed {
		t.Error("the silence counts as the instance's latency")
	}
	for began := time.Now(); time.Since(began) < longAfterTheLoss; time.Sleep(10 * time.Millisecond) {
		s.SendDirect(t.Context(), newAttempt("meanwhile", instances[1]))
	}
	await.Until(t, patience, "an answer in time", func() bool {
		s.SendDirect(t.Context(), newAttempt("before", instances[1]))
		later := newAttempt("later", instances[1])
		s.SendDirect(t.Context(), later)
		return !later.Delayed
	})
	if diff := s.State("svc"); diff != coordination.OpenConnectionsOnly {
		t.Errorf("the path is %s", diff)
	}
}

// Guards against a second silence, long after the loss of a path, that counts as the latency of an instance.
func TestSilenceOfOpenConnectionsDelays(t *testing.T) {
	const longAfterTheLoss, silence = 1500 * time.Millisecond, 700 * time.Millisecond
	e := newEntry(t, func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
		if a.Request.ID == "silent" {
			time.Sleep(silence)
		}
		return answered(ctx, a)
	})
	e.direct.probe = func(context.Context, registry.Instance) error { return errCut }
	e.losePath(t)
	e.direct.setCut(false)
	time.Sleep(longAfterTheLoss)
	e.SendDirect(t.Context(), newAttempt("before", instances[0]))
	a := newAttempt("silent", instances[0])
	e.SendDirect(t.Context(), a)
	if !a.Delayed {
		t.Error("the silence counts as the instance's latency")
	}
}
