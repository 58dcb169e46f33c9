package clock

import (
	"context"
	"time"
)

// runningIntervals is in how many intervals WithRunningTimeout counts its time.
const runningIntervals = 6

// WithRunningTimeout returns a context that is canceled, with the cause context.DeadlineExceeded, once this process has run for
// a time. While it gets no processor time, or is stopped, it cannot see whether others respond: each such stall counts for a
// sixth of the time at most. cancel must be called.
func WithRunningTimeout(parent context.Context, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	interval := timeout / runningIntervals
	go func() {
		timer := time.NewTimer(interval)
		defer timer.Stop()
		for range runningIntervals {
			select {
			case <-timer.C:
				timer.Reset(interval)
			case <-ctx.Done():
				return
			}
		}
		cancelCause(context.DeadlineExceeded)
	}()
	return ctx, func() { cancelCause(nil) }
}
