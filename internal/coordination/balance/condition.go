package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// condition is what an instance said of itself in its answers. It outlasts disuse: an instance that wants
// no requests is not used.
type condition struct {
	// coldUntil is until when the instance is cold, and coldNext when it may be sent the next request
	// while it is cold.
	coldUntil, coldNext time.Time
	// limit is how many requests it takes.
	limit Limit
	// limitNext is when it may be sent the next request while it has a limit, or zero while this entry
	// has no turn.
	limitNext time.Time
	// limitUnreadable says that the last limit that it named did not read.
	limitUnreadable bool
	// restUntil is until when it wants nothing from this entry.
	restUntil time.Time
	// leaving says that it will end, and wants nothing more.
	leaving bool
}

// SetRestUntil takes that an instance wants no request from this entry until some time, and reports whether it
// wanted none already. An earlier end takes nothing back.
func (b *Balancer) SetRestUntil(of registry.Incarnation, until, now time.Time) (began bool) {
	l := b.load(of)
	began = !now.Before(l.restUntil)
	l.restUntil = latest(l.restUntil, until)
	return began
}

// RestRemaining returns for how long an instance wants no request from this entry, or 0.
func (b *Balancer) RestRemaining(of registry.Incarnation, now time.Time) time.Duration {
	return max(0, b.load(of).restUntil.Sub(now))
}

// SetLeaving takes that an instance will end, and reports whether that is news.
func (b *Balancer) SetLeaving(of registry.Incarnation) (news bool) {
	l := b.load(of)
	news = !l.leaving
	l.leaving = true
	return news
}

// Leaving reports whether an instance said that it will end.
func (b *Balancer) Leaving(of registry.Incarnation) bool { return b.load(of).leaving }

// rests reports whether an instance wants no request from this entry now.
func (c *condition) rests(now time.Time) bool { return now.Before(c.restUntil) }

// Backpressure says why a request finds no instance though there are some, by the one that takes it first. It
// is one of Resting or Limited.
type Backpressure interface{ heldBack() }

// Resting says that the instance asked for rest.
type Resting struct{ Remaining time.Duration }

// Limited says that the instance has as many requests as it takes.
type Limited struct{ Remaining time.Duration }

func (Resting) heldBack() {}
func (Limited) heldBack() {}

// Backpressure returns what holds a request back for which Pick finds none of some instances, or nil when
// that is nothing that they said of themselves.
func (b *Balancer) Backpressure(instances []registry.Instance, w PickInfo, now time.Time) Backpressure {
	var first Backpressure
	var least time.Duration
	r := b.roster(instances, now)
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.domain.evacuated || c.load.leaving || w.tried(c.in) {
			continue
		}
		held, left := c.heldBack(w, now)
		if held != nil && (first == nil || left < least) {
			first, least = held, left
		}
	}
	return first
}

// heldBack returns what an instance said that keeps a request from it, and for how long.
func (c *candidate) heldBack(w PickInfo, now time.Time) (held Backpressure, left time.Duration) {
	switch {
	case c.load.rests(now):
		left = c.load.restUntil.Sub(now)
		return Resting{left}, left
	case !c.withinLimit(w, now):
		left = c.limitedFor(now)
		return Limited{left}, left
	}
	return nil, 0
}
