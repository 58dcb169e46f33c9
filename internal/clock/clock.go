// Package clock provides the monotonic clock of all processes. It is based on CLOCK_BOOTTIME: it
// includes the time that the machine was suspended and is not affected by steps of the wall clock,
// so that the age of state from before a suspension is computed correctly.
//
// Go's monotonic clock stops while the machine is suspended: measured against a time.Now from
// before the suspension, a lease, a deadline or cached state would seem as fresh as when the
// suspension began. Times of this clock must only be compared with one another. Runtime timers and
// socket deadlines use Go's clock: after a timer fires, its condition is checked again against this
// clock, and Deadline converts a time for them.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is how often Watch checks for a suspension. minSuspension is the shortest one
	// that it reports: shorter ones cannot be told from scheduling delay on a busy machine.
	watchInterval = time.Second
	minSuspension = 250 * time.Millisecond
)

// start is the wall clock time at which this process started, and startBoot the CLOCK_BOOTTIME
// reading. Round(0) strips Go's monotonic reading from start, so that differences between times
// are those of CLOCK_BOOTTIME.
var (
	start     = time.Now().Round(0)
	startBoot = sinceBoot()
)

// source overrides CLOCK_BOOTTIME in tests; it is nil otherwise.
var source atomic.Pointer[func() time.Duration]

// sinceBoot returns the time since the machine booted, including time suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	if err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

func elapsed() time.Duration {
	if replacement := source.Load(); replacement != nil {
		return (*replacement)()
	}
	return sinceBoot() - startBoot
}

// Now returns the current time: the wall clock time at which the process started plus the time
// elapsed since. Steps of the wall clock do not change it.
func Now() time.Time { return start.Add(elapsed()) }

// Since returns the time elapsed since t, a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Deadline converts a time of this clock to Go's clock, for runtime timers and socket deadlines. The
// result does not account for suspensions after the call.
func Deadline(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Replace makes the clock use elapsedFunc, which returns the time since the process started, until
// restore is called. It is for tests.
func Replace(elapsedFunc func() time.Duration) (restore func()) {
	previous := source.Swap(&elapsedFunc)
	return func() { source.Store(previous) }
}

// Elapsed returns the time since the process started.
func Elapsed() time.Duration { return elapsed() }

// Watch calls onResume after each suspension of the machine with its duration, until ctx is done.
func Watch(ctx context.Context, onResume func(time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastGo, last := time.Now(), elapsed()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		nowGo, now := time.Now(), elapsed()
		if suspended := now - last - nowGo.Sub(lastGo); suspended >= minSuspension {
			onResume(suspended)
		}
		lastGo, last = nowGo, now
	}
}
