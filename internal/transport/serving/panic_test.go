package serving_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// panickingSink is a caller to whom writing an event panics.
type panickingSink struct {
	serving.Sink
	broken bool
}

func (s *panickingSink) Begin(exchange.Head) error { return nil }

func (s *panickingSink) Event([]byte, bool) error { panic("the first event") }

func (s *panickingSink) Break() { s.broken = true }

// Guards against a panic while an answer that is read ahead is delivered, which ended the process and with it all
// answers: only this one is broken off.
func TestPanicWhileAnAnswerIsDeliveredBreaksOnlyThisAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var logged logtest.Buffer
		s := tieredServer(t, &cutOffEngine{last: 3, size: 10}, 1<<20)
		s.Log = logged.Logger()
		sink := &panickingSink{}
		serve(context.Background(), s, time.Minute, sink)
		if !sink.broken {
			t.Error("the answer was not broken off")
		}
		if line := logged.First("panic"); !strings.Contains(line, "the first event") || !strings.Contains(line, "goroutine") {
			t.Error(line)
		}
		if line := logged.First("request"); !strings.Contains(line, `"caller":"write_failed"`) {
			t.Error(line)
		}
		if diff := cmp.Diff("1", metric(s, "shedrock_panics_total")); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff("0", metric(s, "shedrock_buffered_bytes")); diff != "" {
			t.Error(diff)
		}
	})
}

// panickingUpstreams panics at each attempt.
type panickingUpstreams struct{ attempts atomic.Int64 }

func (u *panickingUpstreams) Send(context.Context, *exchange.Attempt) exchange.Reply {
	if u.attempts.Add(1) == 1 {
		panic("the first attempt")
	}
	return exchange.Broken{Err: io.ErrUnexpectedEOF}
}

func (*panickingUpstreams) Refuses(context.Context, registry.Instance) bool { return false }

// Guards against a request that counts as in flight for ever once its handler has panicked: when the path to its instance
// is lost, it was sent to another one for nobody.
func TestRequestWhoseHandlerPanickedIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		upstreams := &panickingUpstreams{}
		s := tieredServer(t, upstreams, 0)
		lostAt := clock.Now().Add(time.Second)
		s.PathLostSince = func(string) (time.Time, bool) { return lostAt, clock.Now().After(lostAt) }
		ctx, stop := context.WithCancel(context.Background())
		go s.Run(ctx)
		func() {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			serve(context.Background(), s, time.Minute, failingSink{})
		}()
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff(int64(1), upstreams.attempts.Load()); diff != "" {
			t.Error("attempts: " + diff)
		}
		stop()
	})
}
