package detour_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against a path that counts as lost because of probes that got no response, although the request that waited
// has been answered meanwhile.
func TestAnswerDuringProbesKeepsThePath(t *testing.T) {
	probed, answer, timedOut := make(chan struct{}, len(instances)), make(chan struct{}), make(chan struct{})
	e := newEntry(t, func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
		<-answer
		return answered(ctx, a)
	})
	e.direct.probe = func(context.Context, registry.Instance) error {
		probed <- struct{}{}
		<-timedOut
		return errCut
	}
	replied := make(chan exchange.Reply, 1)
	go func() { replied <- e.SendDirect(t.Context(), newAttempt("1", instances[0])) }()
	for range instances {
		<-probed
	}
	if diff := cmp.Diff(coordination.Suspected, e.State("svc")); diff != "" {
		t.Error(diff)
	}
	close(answer)
	<-replied
	close(timedOut)
	await.Until(t, patience, "the round of probes is over", func() bool { return e.State("svc") != coordination.Suspected })
	if diff := cmp.Diff(coordination.Open, e.State("svc")); diff != "" {
		t.Error(diff)
	}
}

// silentEntry is an entry whose instances have fallen silent, as those of its only peer have.
type silentEntry struct {
	*entry
	// answers is closed to have the request answered that waited first.
	answers chan struct{}
	// done is closed when it has been answered.
	done chan struct{}
	// first is the request that waited first.
	first *exchange.Attempt
	// open is set to have probes succeed.
	open *atomic.Bool
}

// newSilentEntry returns an entry that has lost its path in silence.
func newSilentEntry(t *testing.T) silentEntry {
	t.Helper()
	cut := newEntry(t, answered)
	cut.losePath(t)
	s := silentEntry{answers: make(chan struct{}), done: make(chan struct{}), first: newAttempt("first", instances[0]), open: &atomic.Bool{}}
	s.entry = newEntry(t, func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
		if a.Request.ID == "first" {
			<-s.answers
		}
		return answered(ctx, a)
	}, cut)
	s.direct.probe = func(context.Context, registry.Instance) error {
		if s.open.Load() {
			return nil
		}
		return errCut
	}
	go func() {
		defer close(s.done)
		s.SendDirect(t.Context(), s.first)
	}()
	t.Cleanup(func() { <-s.done })
	await.Until(t, patience, "the path is lost", func() bool { return s.State("svc") == coordination.Lost })
	return s
}

// Guards against requests that are refused because all instances are silent for a second, although they would be answered
// soon after.
func TestRequestsWaitForSilentInstances(t *testing.T) {
	s := newSilentEntry(t)
	replied := make(chan exchange.Reply, 1)
	second := newAttempt("second", instances[1])
	go func() { replied <- s.Send(t.Context(), second) }()
	time.Sleep(300 * time.Millisecond)
	if len(replied) > 0 {
		t.Error("there is a reply while all instances are silent")
	}
	close(s.answers)
	if reply, ok := (<-replied).(exchange.Whole); !ok {
		t.Errorf("the reply is %#v after one has answered", reply)
	}
	if !second.Delayed {
		t.Error("the wait counts as the instance's")
	}
}

// Guards against requests that wait without end for instances that are gone, or past their deadline.
func TestRequestsAreRefusedAfterLongSilence(t *testing.T) {
	const longest = 2 * time.Second
	s := newSilentEntry(t)
	defer close(s.answers)
	urgent := newAttempt("urgent", instances[1])
	urgent.Deadline = time.Now().Add(400 * time.Millisecond)
	for _, a := range []*exchange.Attempt{urgent, newAttempt("patient", instances[1])} {
		began := time.Now()
		if unreached, ok := s.Send(t.Context(), a).(exchange.Unreached); !ok || !unreached.NoPath {
			t.Errorf("%s: not refused", a.Request.ID)
		}
		if took := time.Since(began); took > longest || time.Now().After(a.Deadline) {
			t.Errorf("%s: refused after %s", a.Request.ID, took)
		}
	}
	began := time.Now()
	s.Send(t.Context(), newAttempt("late", instances[1]))
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("refused after %s, long after the loss", took)
	}
}

// Guards against a burst of second attempts when silent instances respond again: those made beside silent ones are not held.
func TestAttemptsBesideSilentOnesAreNotHeld(t *testing.T) {
	s := newSilentEntry(t)
	defer close(s.answers)
	a := newAttempt("beside", instances[1])
	a.Beside = true
	began := time.Now()
	if unreached, ok := s.Send(t.Context(), a).(exchange.Unreached); !ok || !unreached.NoPath || time.Since(began) > 300*time.Millisecond {
		t.Errorf("there is no refusal after %s", time.Since(began))
	}
}

// Guards against requests that are refused in a second silence, because the path has not been found again since the first.
func TestRequestsWaitInASecondSilence(t *testing.T) {
	const longAfterTheLoss = 1500 * time.Millisecond
	s := newSilentEntry(t)
	close(s.answers)
	<-s.done
	for began := time.Now(); time.Since(began) < longAfterTheLoss; time.Sleep(10 * time.Millisecond) {
		s.SendDirect(t.Context(), newAttempt("between", instances[1]))
	}
	await.Until(t, patience, "all are silent again", func() bool { return s.State("svc") == coordination.Lost })
	replied := make(chan exchange.Reply, 1)
	go func() { replied <- s.Send(t.Context(), newAttempt("second", instances[1])) }()
	time.Sleep(300 * time.Millisecond)
	if len(replied) > 0 {
		t.Errorf("the reply is %#v while all instances are silent", <-replied)
		return
	}
	s.SendDirect(t.Context(), newAttempt("answered", instances[0]))
	if reply, ok := (<-replied).(exchange.Whole); !ok {
		t.Errorf("the reply is %#v after one has answered", reply)
	}
}
