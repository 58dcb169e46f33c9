package clock_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock"
)

const (
	// stalledEnv marks a process that is stopped by TestStallsDoNotCountAsRunning.
	stalledEnv = "SHEDROCK_TEST_STALLED"
	// runningTimeout is the limit, and stallTime far longer. The work takes workSteps times workStep.
	runningTimeout = 600 * time.Millisecond
	stallTime      = 1500 * time.Millisecond
	workSteps      = 10
	workStep       = 20 * time.Millisecond
)

func TestRunningTimeoutEndsAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := clock.WithRunningTimeout(t.Context(), runningTimeout)
		defer cancel()
		<-ctx.Done()
		if diff := cmp.Diff([]any{runningTimeout, context.DeadlineExceeded}, []any{time.Since(began), context.Cause(ctx)}, cmp.Comparer(func(a, b error) bool { return a == b })); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRunningTimeoutCanBeCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := clock.WithRunningTimeout(t.Context(), runningTimeout)
		cancel()
		synctest.Wait()
		if context.Cause(ctx) != context.Canceled {
			t.Error(context.Cause(ctx))
		}
	})
}

// Guards against a process that takes its own stall for the silence of others: it is stopped for longer than the limit, and
// must have the rest of its time when it goes on.
func TestStallsDoNotCountAsRunning(t *testing.T) {
	if os.Getenv(stalledEnv) != "" {
		workWithin(clock.WithRunningTimeout(t.Context(), runningTimeout))
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestStallsDoNotCountAsRunning$")
	child.Env = append(os.Environ(), stalledEnv+"=1")
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	err = child.Start()
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		t.Fatal("the process has not begun")
	}
	stop(t, child.Process)
	if !lines.Scan() || lines.Text() != "in time" {
		t.Errorf("the work of %s ended %q", workSteps*workStep, lines.Text())
	}
	err = child.Wait()
	if err != nil {
		t.Error(err)
	}
}

// stop has a process stand still for stallTime.
func stop(t *testing.T, p *os.Process) {
	t.Helper()
	err := p.Signal(syscall.SIGSTOP)
	if err != nil {
		t.Fatal(err)
	}
	<-time.After(stallTime)
	err = p.Signal(syscall.SIGCONT)
	if err != nil {
		t.Fatal(err)
	}
}

// workWithin prints that it begins, and at the end whether the context had not ended.
func workWithin(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	fmt.Println("began")
	for range workSteps {
		<-time.After(workStep)
	}
	if ctx.Err() != nil {
		fmt.Println("too late")
		return
	}
	fmt.Println("in time")
}
