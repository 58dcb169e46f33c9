package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// limitWindow is the period over which entries share the limit of an instance. Each entry adds
	// limitMargin to the time between its requests, because requests differ in how long they take
	// to arrive.
	limitWindow = 4 * time.Second
	limitMargin = 200 * time.Millisecond
	// limitOverage and limitSlack bound what an instance may get in limitWindow from entries that
	// do not all know of each other: limitOverage times its limit plus limitSlack requests.
	limitOverage = 1.5
	limitSlack   = 5
	// limitRotation is how long the same entries keep the quota if there are more entries than
	// requests. Then other entries get it, so that each of them finds out at some time that the
	// limit was lifted.
	limitRotation = 3 * (limitWindow + limitMargin)
	// minLimit is the rate, in requests per second, at which entries send even to an instance with
	// a lower limit, to find out when the limit is raised; maxLimit is higher than any instance's
	// rate.
	minLimit = 0.1
	maxLimit = 1e6
)

// Limit is a rate that an instance reported for all entries together: of the requests that it accepts, or of those
// that it can refuse for lack of capacity.
type Limit struct {
	// Active is false when the instance has no limit.
	Active bool
	// PerSecond is the number of requests per second, at least 0.
	PerSecond float64
	// At is when the limit was received or, if it is not active, when the request was sent whose
	// answer had no limit. A report with a later time replaces one with an earlier time.
	At time.Time
	// activeSince is when the first limit was received since the instance last had none.
	activeSince time.Time
}

// SetLimit records the limit in an answer of an instance, and reports whether it differs from the
// known one.
func (b *Balancer) SetLimit(target registry.Incarnation, perSecond float64, now time.Time) (changed bool) {
	return b.load(target).update(Limit{Active: true, PerSecond: perSecond, At: now})
}

// ClearLimit records that the answer to a request that was sent at a time had no limit, and reports
// whether a limit was known. Answers may arrive out of order, so only a request that was sent after
// the limit was received clears it.
func (b *Balancer) ClearLimit(target registry.Incarnation, sent time.Time) (changed bool) {
	return b.load(target).update(Limit{At: sent})
}

// MarkLimitUnreadable records that an instance sent a limit that could not be parsed; the known
// limit stays in force. It reports whether the report before could be parsed.
func (b *Balancer) MarkLimitUnreadable(target registry.Incarnation) (changed bool) {
	l := b.load(target)
	changed = !l.limitUnreadable
	l.limitUnreadable = true
	return changed
}

// Limit returns the known limit of an instance.
func (b *Balancer) Limit(target registry.Incarnation) Limit { return b.load(target).limit }

// update replaces the limit by a later one, and reports whether it differs.
func (l *load) update(next Limit) (changed bool) {
	l.limitUnreadable = false
	changed = l.limit.replace(next)
	if changed {
		l.nextLimitedSend = time.Time{}
	}
	return changed
}

// replace replaces a limit by a later one, and reports whether it differs.
func (l *Limit) replace(next Limit) (changed bool) {
	current := *l
	if !next.At.After(current.At) {
		return false
	}
	next.activeSince = next.At
	if current.Active {
		next.activeSince = current.activeSince
	}
	*l = next
	return current.Active != next.Active || current.PerSecond != next.PerSecond
}

// rate is the number of requests per second that all entries together send to an instance with a
// limit.
func (l Limit) rate() float64 { return min(max(l.PerSecond, minLimit), maxLimit) }

// capacity is the number of requests that an instance with a limit can take in limitWindow.
func (l Limit) capacity() Capacity {
	total := l.rate() * limitWindow.Seconds()
	return Capacity{Rate: total, Max: limitOverage*total + limitSlack}
}

// fleetInterval is the time between two requests of all entries together.
func (l Limit) fleetInterval() time.Duration { return time.Duration(float64(time.Second) / l.rate()) }

// limitQuota is the number of requests that this entry may send in limitWindow.
func (l Limit) limitQuota(info PickInfo, hash uint64, now time.Time) int {
	total := l.capacity().groupQuota()
	entries := max(info.Entries, 1)
	rotations := int(now.Sub(l.activeSince) / limitRotation)
	info.Rank = (info.Rank + rotations%entries*total) % entries
	return info.quota(total, hash)
}

// entryInterval is the time between two requests of one entry to an instance with a limit; ok is
// false when the entry has no quota.
func (l Limit) entryInterval(info PickInfo, hash uint64, now time.Time) (entryInterval time.Duration, ok bool) {
	n := l.limitQuota(info, hash, now)
	if n <= 0 {
		return 0, false
	}
	return max((limitWindow+limitMargin)/time.Duration(n), l.fleetInterval()), true
}

// withinLimit reports whether an instance accepts one more request from this entry under its limit,
// if it has one. An entry that gets a quota first waits for its own interval: the entry that had
// the quota before, or this one before it knew of the limit, may have sent a request just now.
func (c *candidate) withinLimit(info PickInfo, now time.Time) bool {
	l := c.load
	if !l.limit.Active {
		return true
	}
	entryInterval, ok := l.limit.entryInterval(info, c.hash, now)
	if !ok {
		l.nextLimitedSend = time.Time{}
		return false
	}
	if l.nextLimitedSend.IsZero() {
		l.nextLimitedSend = now.Add(entryInterval)
	}
	return !now.Before(l.nextLimitedSend)
}

// recordLimitedSend records that a request is sent to an instance that may have a limit.
func (c *candidate) recordLimitedSend(info PickInfo, now time.Time) {
	if !c.load.limit.Active {
		return
	}
	if entryInterval, ok := c.load.limit.entryInterval(info, c.hash, now); ok {
		c.load.nextLimitedSend = now.Add(entryInterval)
	}
}

// limitRemaining is the time until an instance with a limit accepts one more request: from this
// entry or, if it has no quota, from any.
func (c *candidate) limitRemaining(now time.Time) time.Duration {
	if !c.load.nextLimitedSend.IsZero() {
		return c.load.nextLimitedSend.Sub(now)
	}
	return c.load.limit.fleetInterval()
}
