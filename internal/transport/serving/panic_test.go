package serving_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
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
		var logged logBuffer
		s := tieredServer(t, &cutOffEngine{last: 3, size: 10}, 1<<20)
		s.Log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &logged}}
		sink := &panickingSink{}
		serve(context.Background(), s, time.Minute, sink)
		if !sink.broken {
			t.Error("the answer was not broken off")
		}
		if line := logged.withEvent("panic"); !strings.Contains(line, "the first event") || !strings.Contains(line, "goroutine") {
			t.Error(line)
		}
		if line := logged.withEvent("request"); !strings.Contains(line, `"caller":"write_failed"`) {
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
