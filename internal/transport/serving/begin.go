package serving

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
)

// expiryCheckInterval is the longest interval between checks whether an engine's weights have
// expired: a timer does not advance while the machine is suspended.
const expiryCheckInterval = 500 * time.Millisecond

// errWeightsExpired reports that an engine had not begun a request when its weights expired.
var errWeightsExpired = errors.New("attempt canceled: the engine had not begun the request when its weights expired")

// weightsWatch cancels an attempt that is still queued at an engine when the engine's weights
// become too old to begin it. A busy engine may have a queue of several seconds. The zero value
// watches nothing.
type weightsWatch struct {
	// expiry returns the time until which the attempt may begin; ok is false while none is known.
	expiry func() (at time.Time, ok bool)
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// timer is nil once the watch has stopped, and expired is true if it canceled the attempt.
	timer   *time.Timer
	expired bool
}

// watchWeights starts a watch for the current attempt. The attempt must use the returned context,
// which the watch cancels.
func (j *job) watchWeights(ctx context.Context) (context.Context, *weightsWatch) {
	s := j.server
	if s.OldWeightsGrace == 0 || !j.needsWeights(s.View()) {
		return ctx, &weightsWatch{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	model := j.request.Prompt.Model
	version := j.instance.Weights[model]
	w := &weightsWatch{
		cancel: cancel,
		expiry: func() (time.Time, bool) { return s.weightsExpiry(s.View(), model, version, clock.Now()) },
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.untilCheck(), w.check)
	return ctx, w
}

// untilCheck returns the time until the next check is due.
func (w *weightsWatch) untilCheck() time.Duration {
	at, ok := w.expiry()
	if !ok {
		return expiryCheckInterval
	}
	return min(expiryCheckInterval, max(0, clock.Until(at)))
}

// check cancels the attempt if the weights have expired, and reschedules itself otherwise.
func (w *weightsWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	at, ok := w.expiry()
	if !ok || clock.Now().Before(at) {
		w.timer.Reset(w.untilCheck())
		return
	}
	w.timer = nil
	w.expired = true
	w.cancel(errWeightsExpired)
}

// begun stops the watch because the engine has begun the request.
func (w *weightsWatch) begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// close stops the watch and releases its context.
func (w *weightsWatch) close() {
	w.begun()
	if w.cancel != nil {
		w.cancel(nil)
	}
}

// fired reports whether the watch canceled the attempt.
func (w *weightsWatch) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// canceledByWatch reports whether an attempt was canceled because its engine's weights had expired.
func canceledByWatch(end retry.Result, w *weightsWatch) bool {
	_, whole := end.(retry.Completed)
	return !whole && w.fired()
}
