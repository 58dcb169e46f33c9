package serving

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
)

// lookInterval is how often it is looked at least whether the time of an engine's weights is over:
// the timer stands still while the machine is suspended.
const lookInterval = 500 * time.Millisecond

// errTooOld says that an engine had not begun a request when the time of its weights was over.
var errTooOld = errors.New("withdrawn: the engine has not begun it, and its weights are too old by now")

// beginWatch ends an attempt that waits at an engine until the engine's weights are too old to
// begin it. An engine in use may have a queue of seconds. The zero value watches nothing.
type beginWatch struct {
	// end returns until when the attempt may begin; ok is false while no end is known.
	end    func() (at time.Time, ok bool)
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// timer is nil once the watch is over, and late says that it ended the attempt.
	timer *time.Timer
	late  bool
}

// watchBegin watches the present attempt, which ends with the context that it returns.
func (j *job) watchBegin(ctx context.Context) (context.Context, *beginWatch) {
	s := j.server
	if s.OldWeightsGrace == 0 || !j.needsWeights(s.View()) {
		return ctx, &beginWatch{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	model := j.request.Prompt.Model
	version := j.instance.Weights[model]
	w := &beginWatch{
		cancel: cancel,
		end:    func() (time.Time, bool) { return s.weightsEnd(s.View(), model, version, clock.Now()) },
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.left(), w.look)
	return ctx, w
}

// left is how long nothing need be done.
func (w *beginWatch) left() time.Duration {
	at, ok := w.end()
	if !ok {
		return lookInterval
	}
	return min(lookInterval, max(0, clock.Until(at)))
}

// look ends the attempt if its time is over.
func (w *beginWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	at, ok := w.end()
	if !ok || clock.Now().Before(at) {
		w.timer.Reset(w.left())
		return
	}
	w.timer = nil
	w.late = true
	w.cancel(errTooOld)
}

// begun ends the watch: the engine has begun the request.
func (w *beginWatch) begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// over ends the watch and what belongs to it.
func (w *beginWatch) over() {
	w.begun()
	if w.cancel != nil {
		w.cancel(nil)
	}
}

// fired reports whether the watch ended the attempt.
func (w *beginWatch) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// withdrawn says whether an attempt ended because its engine's weights had become too old.
func withdrawn(end retry.Result, w *beginWatch) bool {
	_, whole := end.(retry.Completed)
	return !whole && w.fired()
}
