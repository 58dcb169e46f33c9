package serving

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
)

const (
	// expiryCheckInterval is the longest interval between checks whether an attempt may still begin: a
	// timer does not advance while the machine is suspended.
	expiryCheckInterval = 500 * time.Millisecond
	// oldContextGrace is how long after this process has put a configuration in force an attempt may
	// still begin with cached context that the configuration no longer allows. With expiryCheckInterval
	// it is below the 2 s within which operators expect a change to be in force.
	oldContextGrace = time.Second
)

var (
	// errWeightsExpired reports that an engine had not begun a request when its weights expired.
	errWeightsExpired = errors.New("attempt canceled: the engine had not begun the request when its weights expired")
	// errContextSeparated reports that an engine had not begun a request whose cached context it may not use any more.
	errContextSeparated = errors.New("attempt canceled: the engine had not begun the request when the configuration separated its cached context")
)

// beginLimit limits how long an attempt may wait at an engine before it begins.
type beginLimit struct {
	// cause is the error of an attempt that is canceled.
	cause error
	// expiry returns the time until which the attempt may begin; ok is false while none is known.
	expiry func() (at time.Time, ok bool)
}

// beginWatch cancels an attempt that is still queued at an engine when it may no longer begin there. A
// busy engine may have a queue of several seconds. The zero value watches nothing.
type beginWatch struct {
	limits []beginLimit
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// timer is nil once the watch has stopped, and expired is the cause if it canceled the attempt.
	timer   *time.Timer
	expired error
}

// watchBegin starts a watch for the current attempt, which is sent with a cache salt. The attempt must use the
// returned context, which the watch cancels.
func (j *job) watchBegin(ctx context.Context, salt string) (context.Context, *beginWatch) {
	if j.request.Prompt == nil {
		return ctx, &beginWatch{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &beginWatch{cancel: cancel, limits: []beginLimit{{errContextSeparated, j.contextExpiry(salt)}}}
	if j.server.OldWeightsGrace > 0 && j.needsWeights(j.server.View()) {
		w.limits = append(w.limits, beginLimit{errWeightsExpired, j.weightsExpiry()})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.untilCheck(), w.check)
	return ctx, w
}

// weightsExpiry returns a function that returns the time until which the attempt may begin on its engine's weights.
func (j *job) weightsExpiry() func() (time.Time, bool) {
	s, model := j.server, j.request.Prompt.Model
	version := j.instance.Weights[model]
	return func() (time.Time, bool) { return s.weightsExpiry(s.View(), model, version, clock.Now()) }
}

// contextExpiry returns a function that returns the time until which the attempt may begin with the cached context
// of a salt.
func (j *job) contextExpiry(salt string) func() (time.Time, bool) {
	scope, view := j.contextScope(), j.server.View
	var separatedAt time.Time
	return func() (time.Time, bool) {
		if scope.salt(view().Config).String() == salt {
			return time.Time{}, false
		}
		if separatedAt.IsZero() {
			separatedAt = clock.Now()
		}
		return separatedAt.Add(oldContextGrace), true
	}
}

// untilCheck returns the time until the next check is due.
func (w *beginWatch) untilCheck() time.Duration {
	wait := expiryCheckInterval
	for _, l := range w.limits {
		if at, ok := l.expiry(); ok {
			wait = min(wait, max(0, clock.Until(at)))
		}
	}
	return wait
}

// check cancels the attempt if it may no longer begin, and reschedules itself otherwise.
func (w *beginWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	for _, l := range w.limits {
		at, ok := l.expiry()
		if ok && !clock.Now().Before(at) {
			w.timer = nil
			w.expired = l.cause
			w.cancel(l.cause)
			return
		}
	}
	w.timer.Reset(w.untilCheck())
}

// begun stops the watch because the engine has begun the request.
func (w *beginWatch) begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// close stops the watch and releases its context.
func (w *beginWatch) close() {
	w.begun()
	if w.cancel != nil {
		w.cancel(nil)
	}
}

// fired returns why the watch canceled the attempt, or nil if it did not.
func (w *beginWatch) fired() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// canceledByWatch returns why a watch canceled an attempt, or nil if it did not.
func canceledByWatch(end retry.Result, w *beginWatch) error {
	if _, whole := end.(retry.Completed); whole {
		return nil
	}
	return w.fired()
}
