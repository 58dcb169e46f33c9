package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// condition is what an instance reported about itself in its answers. It is kept by Prune, because
// an instance that accepts no requests is not used.
type condition struct {
	// coldUntil is until when the instance is cold, and nextColdSend when this entry may send it
	// the next request while it is cold.
	coldUntil, nextColdSend time.Time
	// limit is the request rate that it accepts.
	limit Limit
	// nextLimitedSend is when this entry may send it the next request while it has a limit, or zero
	// while the entry has no quota.
	nextLimitedSend time.Time
	// limitUnreadable says that its latest limit could not be parsed.
	limitUnreadable bool
	// refusalLimit is the rate of refusals at which it stops, and refusalLimitUnreadable says that its latest one could
	// not be parsed.
	refusalLimit           Limit
	refusalLimitUnreadable bool
	// restUntil is until when it accepts no requests from this entry.
	restUntil time.Time
	// leaving says that it is about to stop, and accepts no more requests.
	leaving bool
}

// inForce reports whether any part of the condition was in force at a time.
func (c *condition) inForce(at time.Time) bool {
	return c.leaving || c.limit.Active || c.refusalLimit.Active || latest(c.coldUntil, c.nextColdSend, c.restUntil).After(at)
}

const (
	// startNewsDelay is how long after a restart an entry knows the new start at the latest, unless it is cut off.
	startNewsDelay = 3 * time.Second
	// maxCarriedRest limits a rest that may be that of a run which has ended.
	maxCarriedRest = 30 * time.Second
)

// restReport is the rest that an instance asked for last, in an answer to a request for the run with this start.
type restReport struct {
	start     registry.Start
	at, until time.Time
}

// SetRestUntil records that an instance accepts no requests from this entry until a time. It
// reports whether the instance was not resting already. An earlier end does not shorten a rest.
func (b *Balancer) SetRestUntil(target registry.Incarnation, until, now time.Time) (began bool) {
	l := b.load(target)
	began = !now.Before(l.restUntil)
	l.restUntil = latest(l.restUntil, until)
	b.rests[target.ID] = restReport{target.Start, now, until}
	for _, set := range b.candidateSets {
		if c := set.findID(target.ID); c != nil {
			b.carryRest(c.in, now)
		}
	}
	return began
}

// carryRest applies to an incarnation the rest that was reported lately under another start of the same instance. An
// answer names no start, and the first answers of a restarted instance may arrive before the news of its start.
func (b *Balancer) carryRest(in *registry.Instance, now time.Time) {
	r, ok := b.rests[in.ID]
	if !ok || r.start == in.Start || now.Sub(r.at) > startNewsDelay {
		return
	}
	l := b.load(in.Incarnation())
	until := r.until
	if limit := r.at.Add(maxCarriedRest); limit.Before(until) {
		until = limit
	}
	l.restUntil = latest(l.restUntil, until)
}

// RestRemaining returns for how long an instance still accepts no requests from this entry, or 0.
func (b *Balancer) RestRemaining(target registry.Incarnation, now time.Time) time.Duration {
	return max(0, b.load(target).restUntil.Sub(now))
}

// SetLeaving records that an instance is about to stop, and reports whether that was not known.
func (b *Balancer) SetLeaving(target registry.Incarnation) (changed bool) {
	l := b.load(target)
	changed = !l.leaving
	l.leaving = true
	return changed
}

// Leaving reports whether an instance reported that it is about to stop.
func (b *Balancer) Leaving(target registry.Incarnation) bool { return b.load(target).leaving }

// resting reports whether an instance accepts no requests from this entry now.
func (c *condition) resting(now time.Time) bool { return now.Before(c.restUntil) }

// Backpressure is the reason why no instance accepts a request although there are some, taken from
// the instance that accepts one first. It is one of Resting, Limited or Full.
type Backpressure interface{ backpressure() }

// Resting says that the instance asked for a rest.
type Resting struct{ Remaining time.Duration }

// Limited says that the instance gets as many requests as its limit allows.
type Limited struct{ Remaining time.Duration }

// Full says that the instance has a refusal limit and no room for this entry. Remaining is 0 if only the end of another
// request makes room.
type Full struct{ Remaining time.Duration }

func (Full) backpressure()    {}
func (Resting) backpressure() {}
func (Limited) backpressure() {}

// Backpressure returns why Pick chooses none of some instances for a request, or nil when they
// reported nothing that is the reason.
func (b *Balancer) Backpressure(instances []registry.Instance, info PickInfo, now time.Time) Backpressure {
	var first Backpressure
	var shortest time.Duration
	set := b.candidateSet(instances, now)
	b.prepare(set, &info, now)
	for i := range set.candidates {
		c := &set.candidates[i]
		if c.domain.excluded || c.load.leaving || info.tried(c.in) {
			continue
		}
		cause, remaining := c.backpressure(info, now)
		if cause != nil && (first == nil || remaining < shortest) {
			first, shortest = cause, remaining
		}
	}
	return first
}

// backpressure returns why an instance accepts no request now, and for how long.
func (c *candidate) backpressure(info PickInfo, now time.Time) (cause Backpressure, remaining time.Duration) {
	switch {
	case c.load.resting(now):
		remaining = c.load.restUntil.Sub(now)
		return Resting{remaining}, remaining
	case !c.withinLimit(info, now):
		remaining = c.limitRemaining(now)
		return Limited{remaining}, remaining
	case !c.withinWindow(info, now):
		remaining = max(0, latest(c.load.window.stopUntil, c.load.window.nextSend).Sub(now))
		return Full{remaining}, remaining
	}
	return nil, 0
}
