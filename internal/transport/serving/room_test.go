package serving_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

const (
	// roomSlots and roomWork are the slots of the one instance, and how long a request runs there.
	roomSlots = 2
	roomWork  = 50 * time.Millisecond
	// roomObjective is that of every route.
	roomObjective = 400 * time.Millisecond
)

// fragileInstance has a refusal limit and no queue.
type fragileInstance struct {
	mu               sync.Mutex
	running, refused int
	// delayed is whether answers count as delayed by a lost path, once set.
	delayed atomic.Bool
	// order holds the paths that ran.
	order []string
}

func (f *fragileInstance) Refuses(context.Context, registry.Instance) bool { return false }

func (f *fragileInstance) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	condition := exchange.Condition{Limit: exchange.NoLimit{}, RefusalLimit: exchange.RateLimit{PerSecond: 3}}
	a.Delayed = f.delayed.Load()
	f.mu.Lock()
	if f.running >= roomSlots {
		f.refused++
		f.mu.Unlock()
		return exchange.NotRun{Status: 503, Condition: condition}
	}
	f.running++
	f.order = append(f.order, a.Path)
	f.mu.Unlock()
	select {
	case <-time.After(roomWork):
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	return exchange.Whole{Head: exchange.Head{Status: 200, Condition: condition}}
}

// roomServer returns a server before one instance with a refusal limit, which has answered a request already.
func roomServer(t *testing.T, tracker *ends.Tracker) (*serving.Server, *fragileInstance) {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{"svc": {Name: "svc"}}}
	for rank, prefix := range []string{"/urgent/", "/"} {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: prefix, Rank: rank, Kind: deployment.Repeatable, Timeout: 5 * time.Second, Objective: roomObjective, Attempts: 2,
			Targets: []deployment.Target{{Service: "svc", Weight: 1}},
		})
	}
	err := config.Check()
	if err != nil {
		t.Fatal(err)
	}
	view := &fleet.View{Entries: 1, Config: config, Instances: map[string][]registry.Instance{"svc": {{ID: "a", Service: "svc", Slots: roomSlots}}}}
	instance := &fragileInstance{}
	s := &serving.Server{View: func() *fleet.View { return view }, Upstreams: instance, Ends: tracker, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel}}
	s.Allowance.Slack, s.Allowance.Window = 100, time.Minute
	first := &roomSink{}
	s.Serve(t.Context(), &exchange.Request{Host: "h", Path: "/first", Arrived: clock.Now(), Wait: 5 * time.Second}, first)
	if first.status != 200 {
		t.Fatalf("the first request was answered with %d, %s", first.status, first.reason)
	}
	return s, instance
}

// roomSink records how a request ended, and after which time.
type roomSink struct {
	serving.Sink
	status     int
	reason     outcome.Reason
	retryAfter time.Duration
}

func (r *roomSink) Answer(w exchange.Whole) error {
	r.status = w.Head.Status
	return nil
}

func (r *roomSink) Refuse(o outcome.Outcome) {
	if refused, ok := o.(outcome.NotRun); ok {
		r.reason, r.retryAfter = refused.Reason, refused.RetryAfter
	}
}

// Guards against requests that are sent to an instance without room, which its refusals end, and against refusals of what
// could be served in time.
func TestRequestsWaitForRoomWhileTheyCanBeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		s, instance := roomServer(t, nil)
		const requests = 30
		sinks := make([]roomSink, requests)
		took := make([]time.Duration, requests)
		var callers sync.WaitGroup
		for n := range requests {
			callers.Go(func() {
				began := time.Now()
				s.Serve(t.Context(), &exchange.Request{Host: "h", Path: fmt.Sprint("/", n), Body: []byte{byte(n)}, Arrived: clock.Now(), Wait: 3 * time.Second}, &sinks[n])
				took[n] = time.Since(began)
			})
			<-time.After(time.Millisecond)
		}
		callers.Wait()
		served := 0
		for n := range sinks {
			switch {
			case sinks[n].status == 200:
				served++
				if took[n] > roomObjective {
					t.Errorf("request %d was answered after %s", n, took[n])
				}
			case sinks[n].reason != outcome.ReasonFull || sinks[n].retryAfter <= 0 || took[n] > roomObjective:
				t.Errorf("request %d ended after %s: %+v", n, took[n], sinks[n])
			}
		}
		if instance.refused > 0 || served < 10 {
			t.Errorf("%d requests were refused by the instance, %d of %d served", instance.refused, served, requests)
		}
	})
}

// Guards against callers that are told to come back when there has long been room, because the answers of an entry that
// lost its path count as no room.
func TestDelayedAnswersMakeRoom(t *testing.T) {
	// longest returns the longest time after which any of some requests, half as many again as there is room for, is to
	// come back.
	longest := func(delayed bool) (after time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			s, instance := roomServer(t, nil)
			instance.delayed.Store(delayed)
			sinks := make([]roomSink, 200)
			var callers sync.WaitGroup
			for n := range sinks {
				callers.Go(func() {
					s.Serve(t.Context(), &exchange.Request{Host: "h", Path: fmt.Sprint("/", n), Body: []byte{byte(n)}, Arrived: clock.Now(), Wait: 12 * time.Second}, &sinks[n])
				})
				<-time.After(2 * roomWork / roomSlots / 3)
			}
			callers.Wait()
			for n := range sinks {
				after = max(after, sinks[n].retryAfter)
			}
		})
		return after
	}
	if usual, delayed := longest(false), longest(true); usual == 0 || delayed > usual {
		t.Errorf("callers are to come back after %s, and %s where a lost path delays answers", usual, delayed)
	}
}

// Guards against urgent requests that wait behind others.
func TestUrgentRequestsGetRoomFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		s, instance := roomServer(t, nil)
		var callers sync.WaitGroup
		for n, path := range []string{"/0", "/1", "/2", "/3", "/urgent/4"} {
			callers.Go(func() {
				s.Serve(t.Context(), &exchange.Request{Host: "h", Path: path, Body: []byte{byte(n)}, Arrived: clock.Now(), Wait: 3 * time.Second}, &roomSink{})
			})
			<-time.After(time.Millisecond)
		}
		callers.Wait()
		if diff := cmp.Diff("/urgent/4", instance.order[3]); diff != "" {
			t.Errorf("%v: %s", instance.order, diff)
		}
	})
}

// Guards against a request that waits for room while instances end under it elsewhere, and is sent all the same.
func TestRequestThatWaitsIsHeldOnceInstancesEndUnderIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		quiet := &log.Logger{Level: log.PanicLevel}
		tracker := &ends.Tracker{Entries: func() int { return 1 }, Metrics: ends.NewMetrics(), Log: quiet}
		s, instance := roomServer(t, tracker)
		var callers sync.WaitGroup
		serve := func(path string, sink serving.Sink) {
			callers.Go(func() {
				s.Serve(t.Context(), &exchange.Request{Method: "GET", Host: "h", Path: path, Target: path, Arrived: clock.Now(), Wait: 3 * time.Second}, sink)
			})
			<-time.After(time.Millisecond)
		}
		serve("/0", &roomSink{})
		serve("/1", &roomSink{})
		deadly := &roomSink{}
		serve("/deadly", deadly)
		a := ends.Attempt{Digest: quarantine.DigestOf("", []string{"GET", "h", "/deadly"}, nil), Sent: clock.Now()}
		for n := range 3 {
			a.To = registry.Instance{ID: fmt.Sprint("ended", n), Service: "svc"}
			tracker.RecordBroken(t.Context(), a, func(context.Context, registry.Instance) bool { return true })
			<-time.After(time.Millisecond)
		}
		callers.Wait()
		if diff := cmp.Diff([]any{outcome.ReasonEndsInstances, 0}, []any{deadly.reason, deadly.status}); diff != "" {
			t.Errorf("%v: %s", instance.order, diff)
		}
	})
}
