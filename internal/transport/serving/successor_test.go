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
