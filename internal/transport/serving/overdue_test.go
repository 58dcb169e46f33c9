package serving_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/logtest"
)

// Guards against an answer that outlasts its deadline because the machine was suspended meanwhile: its timers do not
// advance then.
func TestDeadlinePassedDuringASuspensionEndsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		var logged logtest.Buffer
		s := tieredServer(t, &cutOffEngine{last: 1, size: 10, hangs: true}, 0)
		s.Log = logged.Logger()
		ctx, stop := context.WithCancel(context.Background())
		go s.Run(ctx)
		time.AfterFunc(time.Second, func() { machine.Suspend(2 * time.Minute) })
		began := time.Now()
		serve(context.Background(), s, time.Minute, failingSink{})
		// The target: an outcome within 0.5 s after the deadline, from the end of the suspension on.
		if took := time.Since(began); took > 1500*time.Millisecond {
			t.Errorf("the answer ended after %s", took)
		}
		line := logged.First("answer_broken")
		if !strings.Contains(line, `"reason":"broken_off"`) || !strings.Contains(line, "suspended") {
			t.Error(line)
		}
		stop()
	})
}
