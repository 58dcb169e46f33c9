package detour

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// holdTime is how long attempts are held after the loss of a path, or from when the open connections of a lost one are
	// silent as well. Sound instances may be silent for a second or so, and the loss is found within the first one.
	holdTime = 1200 * time.Millisecond
	// refusalMargin is how long before its deadline a held attempt is refused at the latest, so that the caller learns
	// that it was not sent.
	refusalMargin = 100 * time.Millisecond
)

// holdResult is what became of a held attempt, as metrics name it.
type holdResult string

const (
	holdSent    holdResult = "sent"
	holdRefused holdResult = "refused"
)

// hold waits until an instance of the attempt's service responds again, and reports whether one did. Only attempts on a
// path that was lost in silence are held.
func (u *Upstreams) hold(ctx context.Context, a *exchange.Attempt) (responds bool) {
	service := a.Instance.Service
	until, ok := u.heldUntil(a)
	if !ok {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(until))
	defer cancel()
	for {
		responding, changed := u.responding(service)
		if responding {
			u.Metrics.held.WithLabelValues(service, string(holdSent)).Inc()
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			u.Metrics.held.WithLabelValues(service, string(holdRefused)).Inc()
			return false
		}
	}
}

// heldUntil returns until when an attempt is held at most; ok is false if it is to be refused now.
func (u *Upstreams) heldUntil(a *exchange.Attempt) (until time.Time, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	path := u.path(a.Instance.Service)
	if path.Cause() == detour.CauseFailures {
		return time.Time{}, false
	}
	until = path.SilentSince().Add(holdTime)
	if latest := a.Deadline.Add(-refusalMargin); !a.Deadline.IsZero() && latest.Before(until) {
		until = latest
	}
	return until, clock.Now().Before(until)
}

// responding reports whether a path that was lost may be tried. changed is closed when that may have changed.
func (u *Upstreams) responding(service string) (ok bool, changed <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	path := u.path(service)
	return path.State(clock.Now()) != detour.Lost || path.Returning(), u.answered
}

// responded records that an instance responded to this entry directly. mu must be held.
func (u *Upstreams) responded(path *detour.Path, target registry.Incarnation) {
	now := clock.Now()
	lost := path.State(now) == detour.Lost
	path.Responded(target, now)
	if lost {
		u.wakeHeld()
	}
}

// wakeHeld has held attempts look at their path again. mu must be held.
func (u *Upstreams) wakeHeld() {
	close(u.answered)
	u.answered = make(chan struct{})
}
