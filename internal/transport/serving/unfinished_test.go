package serving_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/logtest"
)

// Guards against requests that the end of the process cuts without a trace: how many, and which at which instance.
func TestRequestsCutByTheEndOfTheProcessAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var logged logtest.Buffer
		s := tieredServer(t, &cutOffEngine{last: 1, size: 10, hangs: true}, 1<<20)
		s.Log = logged.Logger()
		ctx, closeConnection := context.WithCancel(context.Background())
		go serve(ctx, s, time.Minute, failingSink{})
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, s.Cut()); diff != "" {
			t.Error(diff)
		}
		line := logged.First("request_cut")
		if !strings.Contains(line, `"service":"svc"`) || !strings.Contains(line, `"instance":`) || !strings.Contains(line, `"took_ms":1000`) {
			t.Error(line)
		}
		if diff := cmp.Diff("1", metric(s, `shedrock_requests_cut_total{service="svc"}`)); diff != "" {
			t.Error(diff)
		}
		closeConnection()
		synctest.Wait()
		if line := logged.First("request"); !strings.Contains(line, `"caller":"closed_here"`) {
			t.Error(line)
		}
		if diff := cmp.Diff(0, s.Cut()); diff != "" {
			t.Error(diff)
		}
	})
}

// However many requests the end of the process cuts, the log gets at most a hundred lines about them.
func TestLinesAboutCutRequestsAreBounded(t *testing.T) {
	const many = 250
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		var logged logtest.Buffer
		s := tieredServer(t, &cutOffEngine{last: 1, size: 10, hangs: true}, 1<<20)
		s.Log = logged.Logger()
		ctx, closeConnections := context.WithCancel(context.Background())
		for range many {
			go serve(ctx, s, time.Minute, failingSink{})
		}
		time.Sleep(time.Second)
		cut := s.Cut()
		lines := len(logged.WithEvent("request_cut"))
		if diff := cmp.Diff([]any{many, 100, fmt.Sprint(many)}, []any{cut, lines, metric(s, `shedrock_requests_cut_total{service="svc"}`)}); diff != "" {
			t.Error(diff)
		}
		closeConnections()
	})
}
