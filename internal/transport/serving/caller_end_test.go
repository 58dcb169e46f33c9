package serving_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// failingSink is a caller to whom nothing can be written.
type failingSink struct {
	serving.Sink
	err error
}

func (s failingSink) Answer(exchange.Whole) error { return s.err }

func (s failingSink) Begin(exchange.Head) error { return nil }

func (s failingSink) Event([]byte, bool) error { return s.err }

// Break ends the answer. Refuse is not called after a failed write, and would panic.
func (failingSink) Break() {}

// wholeAnswers answers every attempt with a whole response of the given status.
type wholeAnswers struct{ status int }

func (u wholeAnswers) Send(context.Context, *exchange.Attempt) exchange.Reply {
	return exchange.Whole{Head: exchange.Head{Status: u.status, Header: http.Header{}}}
}

func (wholeAnswers) Refuses(context.Context, registry.Instance) bool { return false }

// Guards against a failed write that always counts as a caller that left: the request's line and a counter tell which it
// was, of whole answers, of the fallback after failures, and of streams that are read ahead of the caller or not.
func TestFailedWritesAreToldFromCallersThatLeft(t *testing.T) {
	write := func(err error) error { return &net.OpError{Op: "write", Net: "tcp", Err: err} }
	ends := []struct {
		caller string
		err    error
	}{
		{"left", write(os.NewSyscallError("write", syscall.EPIPE))},
		{"left", write(os.NewSyscallError("write", syscall.ECONNRESET))},
		{"write_timed_out", write(os.ErrDeadlineExceeded)},
		{"write_timed_out", write(os.NewSyscallError("write", syscall.ETIMEDOUT))},
		{"closed_here", write(net.ErrClosed)},
		{"write_failed", errors.New("anything else")},
	}
	answers := []struct {
		name        string
		upstreams   exchange.Upstreams
		bufferBytes int
	}{
		{"whole", wholeAnswers{200}, 0},
		{"fallback", wholeAnswers{500}, 0},
		{"stream", &cutOffEngine{last: 3, size: 10}, 0},
		{"stream read ahead", &cutOffEngine{last: 3, size: 10}, 1 << 20},
	}
	for _, a := range answers {
		for _, end := range ends {
			t.Run(a.name+"/"+end.err.Error(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					clocktest.New(t)
					var logged logtest.Buffer
					s := tieredServer(t, a.upstreams, a.bufferBytes)
					s.Log = logged.Logger()
					serve(context.Background(), s, time.Minute, failingSink{err: end.err})
					line := logged.First("request")
					if !strings.Contains(line, `"caller":"`+end.caller+`"`) || !strings.Contains(line, `"write_error":`) {
						t.Errorf("%s: %s", end.caller, line)
					}
					got := metric(s, `shedrock_callers_gone_total{caller="`+end.caller+`",service="svc"}`)
					if diff := cmp.Diff("1", got); diff != "" {
						t.Error(diff)
					}
				})
			})
		}
	}
}

// A caller that leaves while nothing is written to it counts as one that left.
func TestCallerThatLeavesAmidSilenceIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var logged logtest.Buffer
		s := tieredServer(t, &cutOffEngine{last: 1, size: 10, hangs: true}, 1<<20)
		s.Log = logged.Logger()
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, leave)
		serve(ctx, s, time.Minute, failingSink{})
		line := logged.First("request")
		if !strings.Contains(line, `"caller":"left"`) || strings.Contains(line, `"write_error":`) {
			t.Error(line)
		}
		if diff := cmp.Diff("1", metric(s, `shedrock_callers_gone_total{caller="left",service="svc"}`)); diff != "" {
			t.Error(diff)
		}
	})
}
