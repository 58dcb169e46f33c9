package serving_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// pieceInterval is the time between two events of cutOffEngine, and cutOffAfter how long one of them
	// may stay unread.
	pieceInterval = 10 * time.Millisecond
	cutOffAfter   = 2 * time.Second
	// slowWrite is how long slowSink takes for each write.
	slowWrite = 3 * time.Second
)

// Guards against answers that engines cut off because their callers read slowly: the engine is read at once.
// The caller gets the whole answer although its deadline passes meanwhile.
func TestSlowCallerGetsItsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engine := &cutOffEngine{last: 16, size: 2000}
		sink := &slowSink{}
		began := time.Now()
		serve(context.Background(), tieredServer(t, engine, 1<<20), 10*time.Second, sink)
		if diff := cmp.Diff(upTo(16), sink.numbers(engine.size)); diff != "" || sink.end != "whole" || len(engine.after) != 1 {
			t.Errorf("%s: end %q, %d attempts", diff, sink.end, len(engine.after))
		}
		if read := time.Duration(engine.endedAt.Load() - began.UnixNano()); read > 17*pieceInterval {
			t.Errorf("the engine was read to its end after %s", read)
		}
	})
}

// Guards against events that are lost, repeated or reordered when an engine breaks off while events that it sent
// wait for their caller. The request is resumed at once, after the last event read.
func TestBrokenAnswerIsResumedBehindTheBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engine := &cutOffEngine{last: 16, size: 2000, breakAfter: 8}
		sink := &slowSink{}
		began := time.Now()
		serve(context.Background(), tieredServer(t, engine, 1<<20), time.Minute, sink)
		if diff := cmp.Diff([]uint64{0, 8}, engine.after); diff != "" {
			t.Error("attempts: ", diff)
		}
		if diff := cmp.Diff(upTo(16), sink.numbers(engine.size)); diff != "" || sink.end != "whole" {
			t.Errorf("%s: end %q", diff, sink.end)
		}
		if read := time.Duration(engine.endedAt.Load() - began.UnixNano()); read > 17*pieceInterval {
			t.Errorf("the engines were read to their end after %s", read)
		}
	})
}

// Guards against a Break that cuts off events which wait for their caller, and against an answer that is not
// whole being ended as whole: without another attempt, the caller gets all that was read, and then the Break.
func TestBrokenAnswerIsDeliveredAsFarAsItWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engine := &cutOffEngine{last: 16, size: 2000, breakAfter: 8}
		sink := &slowSink{}
		server := tieredServer(t, engine, 1<<20)
		server.Allowance.Slack = 0
		serve(context.Background(), server, 10*time.Second, sink)
		if diff := cmp.Diff(upTo(8), sink.numbers(engine.size)); diff != "" || sink.end != "broken" || len(engine.after) != 1 {
			t.Errorf("%s: end %q, %d attempts", diff, sink.end, len(engine.after))
		}
	})
}

// Guards against memory that stays in use, and engines that keep running, after a caller left in the middle of an
// answer while a write to it is blocked: while the engine is read, while it is not read for lack of room, and when
// it has ended.
func TestCallerThatLeavesReleasesItsBytes(t *testing.T) {
	cases := []struct {
		name   string
		limit  int
		last   uint64
		pauses string
	}{{"reading", 32 << 20, 1000, ""}, {"paused", 8 << 10, 1000, "1"}, {"ended", 32 << 20, 100, ""}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			engine := &cutOffEngine{last: c.last, size: 2000}
			server := tieredServer(t, engine, c.limit)
			ctx, leave := context.WithCancel(context.Background())
			sink := &slowSink{stallAfter: 1}
			served := make(chan struct{})
			go func() {
				defer close(served)
				serve(ctx, server, time.Minute, sink)
			}()
			// The first write succeeds, and the second is blocked when the caller leaves.
			<-time.After(slowWrite + time.Second/2)
			held := metric(server, "shedrock_buffered_bytes")
			if closed, ended := engine.closedAt.Load() != 0, engine.endedAt.Load() != 0; held == "0" || closed != (c.last == 100) || ended != closed {
				t.Errorf("%s: %s bytes are held before the caller leaves; closed: %t, ended: %t", c.name, held, closed, ended)
			}
			leave()
			<-time.After(time.Second / 2)
			if held = metric(server, "shedrock_buffered_bytes"); held != "0" || engine.closedAt.Load() == 0 {
				t.Errorf("%s: %s bytes are held, the engine's stream was closed at %d", c.name, held, engine.closedAt.Load())
			}
			<-served
			if diff := cmp.Diff([]string{"broken", c.pauses}, []string{sink.end, metric(server, `shedrock_answer_pauses_total{service="svc"}`)}); diff != "" {
				t.Errorf("%s: %s", c.name, diff)
			}
		})
	}
}

// Guards against an engine that runs on, or is waited for, after its caller has taken nothing for the write timeout:
// its stream is closed and the answer is broken off.
func TestCallerThatTakesNothingIsBrokenOff(t *testing.T) {
	for _, engine := range []*cutOffEngine{{last: 1 << 20, size: 2000}, {last: 10, size: 2000, hangs: true}} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			server := tieredServer(t, engine, 32<<20)
			sink := &slowSink{stallAfter: 1}
			began := time.Now()
			serve(context.Background(), server, time.Minute, sink)
			if took := time.Since(began); sink.end != "broken" || took > slowWrite+10*time.Second+100*time.Millisecond || engine.closedAt.Load() == 0 {
				t.Errorf("end %q after %s", sink.end, took)
			}
			got := []string{metric(server, "shedrock_buffered_bytes"), metric(server, `shedrock_answers_broken_off_total{service="svc"}`)}
			if diff := cmp.Diff([]string{"0", "1"}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against stalled callers that keep the memory which others need: once they have taken nothing for 10 s,
// some answers are broken off, and the others go on to be read.
func TestStalledAnswersMakeRoom(t *testing.T) {
	const callers, limit = 40, 256 << 10
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		server := tieredServer(t, &cutOffEngine{last: 1 << 20, size: 2000}, limit)
		var served sync.WaitGroup
		for range callers {
			served.Go(func() {
				serve(context.Background(), server, time.Minute, &slowSink{stallAfter: 1, stall: 30 * time.Second})
			})
		}
		state := func(after time.Duration) (held, brokenOff int) {
			<-time.After(after)
			held, _ = strconv.Atoi(metric(server, "shedrock_buffered_bytes"))
			brokenOff, _ = strconv.Atoi(metric(server, `shedrock_answers_broken_off_total{service="svc"}`))
			return held, brokenOff
		}
		if held, brokenOff := state(slowWrite + 9*time.Second); held < limit*3/4 || brokenOff != 0 {
			t.Errorf("after 9 s: %d bytes are held, %d answers are broken off", held, brokenOff)
		}
		if held, brokenOff := state(3 * time.Second); held > limit || brokenOff == 0 || brokenOff == callers {
			t.Errorf("after 12 s: %d bytes are held, %d answers are broken off", held, brokenOff)
		}
		served.Wait()
		if held, _ := state(0); held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	})
}

// Guards against events that are lost, repeated or reordered with any budget, sizes, pace of the caller and break
// of the engine, and against bytes that stay counted.
func TestEventsArriveOnceAndInOrder(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			r := rand.New(rand.NewPCG(seed, 1))
			engine := &cutOffEngine{last: r.Uint64N(100), size: 1 + r.IntN(6000)}
			if engine.last > 0 && r.IntN(2) == 0 {
				engine.breakAfter = 1 + r.Uint64N(engine.last)
			}
			pace := 1 + r.IntN(int(cutOffAfter)/2)
			sink := &slowSink{pace: func() time.Duration { return time.Duration(r.IntN(pace)) }}
			server := tieredServer(t, engine, 1<<r.IntN(20))
			serve(context.Background(), server, 10*time.Minute, sink)
			if diff := cmp.Diff(upTo(engine.last), sink.numbers(engine.size)); diff != "" || sink.begun != 1 || sink.end != "whole" {
				t.Errorf("seed %d, %d attempts: %s: begun %d times, end %q", seed, len(engine.after), diff, sink.begun, sink.end)
			}
			if held := metric(server, "shedrock_buffered_bytes"); held != "0" {
				t.Errorf("seed %d: %s bytes are held after the end", seed, held)
			}
		})
	}
}

// Guards against an answer that is canceled because its engine's weights expire after its first event was read, but
// before its caller took anything.
func TestWeightsExpireWhileTheFirstEventIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		engine := &cutOffEngine{last: 200, size: 2000}
		server := tieredServer(t, engine, 32<<20)
		server.OldWeightsGrace = 2 * time.Second
		view, now := server.View(), clock.Now()
		view.WeightHistories = map[string]weights.History{"m": weights.History{}.Announce(weights.Announcement{Version: 7, At: now.Add(-time.Hour)}).Announce(weights.Announcement{Version: 8, At: now})}
		view.Contact = fleet.Contact{LastAnswer: now.Add(time.Hour)}
		sink := &slowSink{}
		server.Serve(context.Background(), &exchange.Request{Host: "h", Path: "/", Arrived: now, Prompt: &exchange.Prompt{Model: "m"}}, sink)
		if diff := cmp.Diff(upTo(200), sink.numbers(engine.size)); diff != "" || sink.end != "whole" || len(engine.after) != 1 {
			t.Errorf("%s: end %q, %d attempts", diff, sink.end, len(engine.after))
		}
	})
}

// failingFirst answers the first attempt with status 500 and passes the others on.
type failingFirst struct {
	exchange.Upstreams
	attempts int
}

func (f *failingFirst) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	f.attempts++
	if f.attempts == 1 {
		return exchange.Whole{Head: exchange.Head{Status: 500}}
	}
	return f.Upstreams.Send(ctx, a)
}

// Guards against a whole answer being broken off because an attempt before it had failed.
func TestWholeAnswerAfterAFailedAttempt(t *testing.T) {
	for _, bytes := range []int{0, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.New(t)
			sink := &slowSink{pace: func() time.Duration { return 0 }}
			serve(context.Background(), tieredServer(t, &failingFirst{Upstreams: &cutOffEngine{last: 3, size: 10}}, bytes), time.Minute, sink)
			if diff := cmp.Diff(upTo(3), sink.numbers(10)); diff != "" || sink.end != "whole" {
				t.Errorf("with %d bytes: %s: end %q", bytes, diff, sink.end)
			}
		})
	}
}
