package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// refusalLimitTTL is for how long a refusal limit holds after the last answer that had it.
const refusalLimitTTL = 10 * time.Second

// fragileService is what instances of a service reported about their refusal limits. They have them at the same
// times, so the first report holds for those that have not answered since.
type fragileService struct {
	// perSecond is the latest limit of any instance, first is when the first one was reported since a time without
	// any, and last when the latest one was.
	perSecond   float64
	first, last time.Time
}

// SetRefusalLimit records the refusal limit in an answer of an instance, in refusals per second, and reports whether it
// differs from the known one.
func (b *Balancer) SetRefusalLimit(in registry.Instance, perSecond float64, now time.Time) (changed bool) {
	s := b.fragile[in.Service]
	if s == nil || now.Sub(s.last) > refusalLimitTTL {
		s = &fragileService{first: now}
		b.fragile[in.Service] = s
	}
	s.perSecond, s.last = perSecond, now
	l := b.load(in.Incarnation())
	l.refusalLimitUnreadable = false
	return l.refusalLimit.replace(Limit{Active: true, PerSecond: perSecond, At: now})
}

// ClearRefusalLimit records that the answer to a request that was sent at a time had no refusal limit, and reports
// whether one was known. As with ClearLimit, the request must have been sent after the limit was received.
func (b *Balancer) ClearRefusalLimit(in registry.Instance, sent time.Time) (changed bool) {
	l := b.load(in.Incarnation())
	l.refusalLimitUnreadable = false
	changed = l.refusalLimit.replace(Limit{At: sent})
	if changed {
		l.window = window{}
	}
	return changed
}

// MarkRefusalLimitUnreadable records that an instance sent a refusal limit that could not be parsed; the known one stays
// in force. It reports whether the report before could be parsed.
func (b *Balancer) MarkRefusalLimitUnreadable(target registry.Incarnation) (changed bool) {
	l := b.load(target)
	changed = !l.refusalLimitUnreadable
	l.refusalLimitUnreadable = true
	return changed
}

// RefusalLimit returns the refusal limit of an instance, in refusals per second, if it has one: its own, or that of its
// service if it has not answered since the first report.
func (b *Balancer) RefusalLimit(in registry.Instance, now time.Time) (perSecond float64, ok bool) {
	l, known := b.loads[in.Incarnation()]
	if !known {
		l = b.unused
	}
	s := b.fragile[in.Service]
	if s == nil {
		return 0, false
	}
	return s.limitOf(l, now)
}

// limitOf returns the refusal limit of an instance of the service, if it has one.
func (s *fragileService) limitOf(l *load, now time.Time) (perSecond float64, ok bool) {
	own := l.refusalLimit
	switch {
	case now.Sub(s.last) > refusalLimitTTL:
		return 0, false
	case own.Active && now.Sub(own.At) <= refusalLimitTTL:
		return own.PerSecond, true
	case own.Active || own.At.Before(s.first):
		return s.perSecond, true
	}
	return 0, false
}
