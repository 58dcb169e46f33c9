package serving_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

const (
	// silentAfter is the event after which the first instance is silent, lostAfter how long it is silent when the path
	// counts as lost.
	silentAfter = 4
	lostAfter   = 700 * time.Millisecond
	streamLast  = 12
)

// silentEngines are instances of which the first that is asked falls silent in the middle of its answer and goes on.
type silentEngines struct {
	silence time.Duration
	// others answers an attempt at any other instance.
	others func(ctx context.Context, a *exchange.Attempt) exchange.Reply

	mu sync.Mutex
	// The fields below are guarded by mu. asked holds after which event each attempt began, canceled is true once the
	// first was canceled, and silentAt is when it fell silent.
	asked    []uint64
	canceled bool
	silentAt time.Time
}

// pathLost returns since when the path to the instances counts as lost, which it does until the silence ends.
func (e *silentEngines) pathLost(string) (since time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	since = e.silentAt.Add(lostAfter)
	return since, !e.silentAt.IsZero() && now.After(since) && now.Before(e.silentAt.Add(e.silence))
}

// silentSince returns when the first instance fell silent.
func (e *silentEngines) silentSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silentAt
}

// pause returns how long the first instance takes for its next event.
func (e *silentEngines) pause(next uint64) time.Duration {
	if next != silentAfter+1 {
		return pieceInterval
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentAt = clock.Now()
	return e.silence
}

// cancel records that the first attempt was canceled.
func (e *silentEngines) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = true
}

func (e *silentEngines) Refuses(context.Context, registry.Instance) bool { return false }

func (e *silentEngines) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	e.mu.Lock()
	e.asked = append(e.asked, a.After)
	first := len(e.asked) == 1
	e.mu.Unlock()
	if !first {
		return e.others(ctx, a)
	}
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &numberedEvents{ctx: ctx, pause: e.pause, onCancel: e.cancel}}
}

// numberedEvents are events up to streamLast, each after a pause.
type numberedEvents struct {
	ctx      context.Context
	pause    func(next uint64) time.Duration
	onCancel func()
	last     uint64
}

func (n *numberedEvents) Next() (exchange.Event, bool, error) {
	if n.last == streamLast {
		return exchange.Event{}, false, io.EOF
	}
	select {
	case <-time.After(n.pause(n.last + 1)):
	case <-n.ctx.Done():
		if n.onCancel != nil {
			n.onCancel()
		}
		return exchange.Event{}, false, n.ctx.Err()
	}
	n.last++
	return exchange.Event{Number: n.last, Raw: []byte{byte(n.last)}}, false, nil
}

func (n *numberedEvents) Close() {}

// goesOn answers with the rest of the stream, at once.
func goesOn(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &numberedEvents{ctx: ctx, last: a.After, pause: func(uint64) time.Duration { return pieceInterval }}}
}

// silentToo never answers.
func silentToo(ctx context.Context, _ *exchange.Attempt) exchange.Reply {
	<-ctx.Done()
	return exchange.Broken{Err: ctx.Err()}
}

// panics stands for a fault of this process.
func panics(context.Context, *exchange.Attempt) exchange.Reply { panic("no reply") }

// noPath is the reply while neither this entry nor another one has a path.
func noPath(context.Context, *exchange.Attempt) exchange.Reply {
	return exchange.Unreached{Err: io.ErrClosedPipe, NoPath: true}
}

// Guards against streams that are broken off because their instance, and all others, are silent for a second: one ends
// only once another instance has gone on with it.
func TestSilenceEndsNoStream(t *testing.T) {
	cases := []struct {
		name   string
		others func(context.Context, *exchange.Attempt) exchange.Reply
		slack  float64
		// buffer is the size of the buffer for answers, and result what becomes of the successor.
		buffer   int
		asked    []uint64
		canceled bool
		result   string
	}{
		{"others are silent too", silentToo, 100, 0, []uint64{0, silentAfter}, false, "dropped"},
		{"there is no path", noPath, 100, 0, []uint64{0, silentAfter}, false, "failed"},
		{"no resend is allowed", goesOn, 0, 0, []uint64{0}, false, "not_sent"},
		{"another panics", panics, 100, 0, []uint64{0, silentAfter}, false, "failed"},
		{"another goes on", goesOn, 100, 0, []uint64{0, silentAfter}, true, "took_over"},
		{"buffered, others are silent too", silentToo, 100, 1 << 20, []uint64{0, silentAfter}, false, "dropped"},
		{"buffered, another goes on", goesOn, 100, 1 << 20, []uint64{0, silentAfter}, true, "took_over"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				engines := &silentEngines{silence: 2 * time.Second, others: c.others}
				server := tieredServer(t, engines, c.buffer)
				server.Allowance.Slack = c.slack
				server.PathLostSince = engines.pathLost
				sink := runSilent(t, server)
				if diff := cmp.Diff(upTo(streamLast), sink.numbers(1)); diff != "" || sink.end != "whole" {
					t.Errorf("%s: end %q", diff, sink.end)
				}
				if diff := cmp.Diff(c.asked, engines.asked); diff != "" || engines.canceled != c.canceled {
					t.Errorf("attempts: %s, the silent one was canceled: %t", diff, engines.canceled)
				}
				if got := metric(server, `shedrock_successors_total{cause="path_lost",result="`+c.result+`",service="svc"}`); got != "1" {
					t.Errorf("%q successors %s", got, c.result)
				}
			})
		})
	}
}

// runSilent serves one stream to a caller who takes every event at once.
func runSilent(t *testing.T, server *serving.Server) *slowSink {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	go server.Run(ctx)
	sink := &slowSink{pace: func() time.Duration { return 0 }}
	serve(ctx, server, time.Minute, sink)
	return sink
}

// taggedEvents are events that say which run made them.
type taggedEvents struct {
	numberedEvents
	run byte
}

func (e *taggedEvents) Next() (exchange.Event, bool, error) {
	event, more, err := e.numberedEvents.Next()
	event.Raw = []byte{e.run, byte(event.Number)}
	return event, more, err
}

// Guards against an answer that joins pieces of two runs because the silent instance goes on at the moment at which
// another one takes over.
func TestSuccessorGoesOnWhereTheSilentRunStopped(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			var asked atomic.Uint64
			engines := &silentEngines{silence: 1250 * time.Millisecond}
			// The first event of the other instance comes at the moment at which the silence ends.
			engines.others = func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
				asked.Store(a.After)
				goesOn := engines.silentSince().Add(engines.silence)
				return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &taggedEvents{run: 'b', numberedEvents: numberedEvents{
					ctx: ctx, last: a.After, pause: func(uint64) time.Duration { return max(pieceInterval, clock.Until(goesOn)) },
				}}}
			}
			server := tieredServer(t, engines, 0)
			server.PathLostSince = engines.pathLost
			sink := runSilent(t, server)
			text, joined := sink.text, -1
			for i := 0; i < len(text); {
				if text[i] == 'b' {
					if joined < 0 {
						joined = i
					}
					i += 2
					continue
				}
				if joined >= 0 {
					t.Fatalf("an event of the silent run follows one of its successor: %v", text)
				}
				i++
			}
			if joined >= 0 && uint64(joined) != asked.Load() {
				t.Fatalf("the successor was asked to go on after event %d, and follows event %d", asked.Load(), joined)
			}
			if sink.end != "whole" {
				t.Fatalf("end %q: %v", sink.end, text)
			}
		})
	}
}

// silentFrom has the path to the instances of a server count as lost from 0.7 s after now until 1.5 s after it.
func silentFrom(now time.Time) func(string) (time.Time, bool) {
	return func(string) (since time.Time, ok bool) {
		since = now.Add(lostAfter)
		return since, clock.Now().After(since) && clock.Now().Before(now.Add(1500*time.Millisecond))
	}
}

// addInstances adds instances to the service of a server.
func addInstances(s *serving.Server, ids ...string) {
	v := s.View()
	for _, id := range ids {
		v.Instances["svc"] = append(v.Instances["svc"], registry.Instance{ID: id, Address: id, Service: "svc", Slots: 9, Weights: map[string]uint64{"m": 7}})
	}
}

// Guards against a stream that is broken off because its caller is slow while the path counts as lost: its instance is
// not silent, and a successor would repeat the event that is being written.
func TestSlowCallerGetsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engines := &silentEngines{others: goesOn}
		server := tieredServer(t, engines, 0)
		addInstances(server, "c", "d", "e")
		server.PathLostSince = silentFrom(clock.Now())
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go server.Run(ctx)
		writes := 0
		sink := &slowSink{pace: func() time.Duration {
			writes++
			if writes == silentAfter {
				return 2 * time.Second
			}
			return 0
		}}
		serve(ctx, server, time.Minute, sink)
		if diff := cmp.Diff([]uint64{0}, engines.asked); diff != "" || sink.end != "whole" {
			t.Errorf("end %q, attempts: %s", sink.end, diff)
		}
	})
}

// breakingEvents break off after an event.
type breakingEvents struct {
	numberedEvents
	at uint64
}

func (e *breakingEvents) Next() (exchange.Event, bool, error) {
	if e.last == e.at {
		return exchange.Event{}, false, io.ErrUnexpectedEOF
	}
	return e.numberedEvents.Next()
}

// breakingEngines are silent once, then break off after event 9, as all others do after one event. A successor gets its
// first event when the silent instance has gone on.
type breakingEngines struct{ silentEngines }

func (e *breakingEngines) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	e.mu.Lock()
	e.asked = append(e.asked, a.After)
	n := len(e.asked)
	e.mu.Unlock()
	events := numberedEvents{ctx: ctx, last: a.After, pause: func(uint64) time.Duration { return pieceInterval }}
	switch n {
	case 1:
		events.pause, events.onCancel = e.pause, e.cancel
		return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &breakingEvents{at: 9, numberedEvents: events}}
	case 2:
		events.pause = func(uint64) time.Duration { return clock.Until(e.silentSince().Add(e.silence + pieceInterval)) }
		return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &events}
	}
	return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &breakingEvents{at: a.After + 1, numberedEvents: events}}
}

// Guards against requests that run on more instances than their route allows: an attempt that was dropped has run.
func TestDroppedSuccessorCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engines := &breakingEngines{silentEngines{silence: 2 * time.Second}}
		server := tieredServer(t, engines, 0)
		addInstances(server, "c", "d", "e")
		server.PathLostSince = engines.pathLost
		runSilent(t, server)
		if attempts := server.View().Config.Routes[0].Attempts; len(engines.asked) > attempts {
			t.Errorf("%d attempts, %d are allowed", len(engines.asked), attempts)
		}
	})
}

// Guards against an answer that is given up for one that cannot replace it: the other instance begins too far behind.
func TestSuccessorOutOfOrderDoesNotTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engines := &silentEngines{silence: 2 * time.Second}
		engines.others = func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
			return exchange.Stream{Head: exchange.Head{Status: 200}, Events: &numberedEvents{ctx: ctx, last: a.After + 2, pause: func(uint64) time.Duration { return pieceInterval }}}
		}
		server := tieredServer(t, engines, 0)
		server.PathLostSince = engines.pathLost
		sink := runSilent(t, server)
		if diff := cmp.Diff(upTo(streamLast), sink.numbers(1)); diff != "" || sink.end != "whole" {
			t.Errorf("%s: end %q", diff, sink.end)
		}
	})
}

// unnumberedEngines are silentEngines whose events have no numbers.
type unnumberedEngines struct{ silentEngines }

func (e *unnumberedEngines) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	reply := e.silentEngines.Send(ctx, a).(exchange.Stream)
	reply.Events = unnumberedEvents{reply.Events}
	return reply
}

type unnumberedEvents struct{ exchange.Events }

func (u unnumberedEvents) Next() (exchange.Event, bool, error) {
	event, more, err := u.Events.Next()
	event.Number = 0
	return event, more, err
}

// Guards against an answer that joins two runs because its events have no numbers by which another instance could go on.
func TestUnnumberedStreamGetsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engines := &unnumberedEngines{silentEngines{silence: 2 * time.Second, others: goesOn}}
		server := tieredServer(t, engines, 0)
		server.PathLostSince = engines.pathLost
		sink := runSilent(t, server)
		if diff := cmp.Diff(upTo(streamLast), sink.numbers(1)); diff != "" || sink.end != "whole" {
			t.Errorf("%s: end %q", diff, sink.end)
		}
	})
}

// Guards against instances that compute unused answers: a successor ends once the silent instance goes on.
func TestSuccessorEndsWhenTheSilentInstanceGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var ended atomic.Int64
		engines := &silentEngines{silence: 1500 * time.Millisecond}
		engines.others = func(ctx context.Context, _ *exchange.Attempt) exchange.Reply {
			<-ctx.Done()
			ended.Store(int64(clock.Since(engines.silentSince())))
			return exchange.Broken{Err: ctx.Err()}
		}
		server := tieredServer(t, engines, 0)
		server.PathLostSince = engines.pathLost
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go server.Run(ctx)
		// Each event takes a second, so that the silent instance goes on for long.
		serve(ctx, server, time.Minute, &slowSink{pace: func() time.Duration { return time.Second }})
		if after := time.Duration(ended.Load()); after == 0 || after > engines.silence+100*time.Millisecond {
			t.Errorf("the successor ended %s after the silence began", after)
		}
	})
}
