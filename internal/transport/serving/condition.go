package serving

import (
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// recordCondition records the condition that an instance reports in its response to a request sent at the
// given time. mu must be held.
func (s *Server) recordCondition(in registry.Instance, request string, c exchange.Condition, sent, now time.Time) {
	of := in.Incarnation()
	balancer := s.balancer
	if c.ColdFor > 0 {
		balancer.SetColdUntil(of, now.Add(c.ColdFor))
	}
	if c.RestFor > 0 && balancer.SetRestUntil(of, now.Add(c.RestFor), now) {
		s.recordRest(in, request, c.RestFor)
	}
	if c.Leaving && balancer.SetLeaving(of) {
		s.recordLeaving(in, request)
	}
	changed := false
	switch limit := c.Limit.(type) {
	case exchange.RateLimit:
		changed = balancer.SetLimit(of, limit.PerSecond, now)
	case exchange.NoLimit:
		changed = balancer.ClearLimit(of, sent)
	case exchange.UnreadableLimit:
		if balancer.MarkLimitUnreadable(of) {
			s.Log.Warn().Str("event", "instance_limit_unreadable").Str("instance", of.ID).Int64("start", int64(of.Start)).
				Str("request", request).Str("text", limit.Text).Msg("")
		}
	}
	if changed {
		s.recordLimitChange(in, request, balancer.Limit(of))
	}
	s.recordRefusalLimit(in, request, c.RefusalLimit, sent, now)
}

// recordRefusalLimit records, logs and counts how many refusals an instance can give. mu must be held.
func (s *Server) recordRefusalLimit(in registry.Instance, request string, limit exchange.Limit, sent, now time.Time) {
	line := func(level func() *log.Entry, event string) *log.Entry {
		return level().Str("event", event).Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).Str("request", request)
	}
	switch limit := limit.(type) {
	case exchange.RateLimit:
		if s.balancer.SetRefusalLimit(in, limit.PerSecond, now) {
			s.Metrics.refusalLimitChanges.WithLabelValues(in.Service).Inc()
			line(s.Log.Info, "instance_refusal_limit").Bool("limited", true).Float64("per_second", limit.PerSecond).Msg("")
		}
	case exchange.NoLimit:
		if s.balancer.ClearRefusalLimit(in, sent) {
			s.Metrics.refusalLimitChanges.WithLabelValues(in.Service).Inc()
			line(s.Log.Info, "instance_refusal_limit").Bool("limited", false).Msg("")
		}
	case exchange.UnreadableLimit:
		s.Metrics.unreadableRefusalLimits.WithLabelValues(in.Service).Inc()
		if s.balancer.MarkRefusalLimitUnreadable(in.Incarnation()) {
			line(s.Log.Warn, "instance_refusal_limit_unreadable").Str("text", limit.Text).Msg("")
		}
	}
}

// recordRest logs and counts that an instance asked for a pause in requests.
func (s *Server) recordRest(in registry.Instance, request string, length time.Duration) {
	s.Metrics.rests.WithLabelValues(in.Service).Inc()
	s.Log.Info().Str("event", "instance_rests").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", request).Dur("for_ms", length).Msg("")
}

// recordLeaving logs and counts that an instance announced its shutdown.
func (s *Server) recordLeaving(in registry.Instance, request string) {
	s.Metrics.leavings.WithLabelValues(in.Service).Inc()
	s.Log.Info().Str("event", "instance_leaves").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", request).Msg("")
}

// recordLimitChange logs and counts that an instance changed or removed its
// request rate limit.
func (s *Server) recordLimitChange(in registry.Instance, request string, limit balance.Limit) {
	s.Metrics.limitChanges.WithLabelValues(in.Service).Inc()
	line := s.Log.Info().Str("event", "instance_limit").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", request).Bool("limited", limit.Active)
	if limit.Active {
		line = line.Float64("per_second", limit.PerSecond)
	}
	line.Msg("")
}

// conditionSnapshot is the condition that an instance had reported when a request was sent to it.
type conditionSnapshot struct {
	limit         balance.Limit
	restRemaining time.Duration
	leaving       bool
	// refusalLimit is in refusals per second, if refusalLimited is true.
	refusalLimit   float64
	refusalLimited bool
}

// currentCondition returns the condition that the instance of the current attempt has reported. The
// server's mu must be held.
func (j *job) currentCondition(now time.Time) conditionSnapshot {
	of := j.instance.Incarnation()
	balancer := j.server.balancer
	out := conditionSnapshot{limit: balancer.Limit(of), restRemaining: balancer.RestRemaining(of, now), leaving: balancer.Leaving(of)}
	out.refusalLimit, out.refusalLimited = balancer.RefusalLimit(j.instance, now)
	return out
}

// addTo adds the condition to a log line.
func (k conditionSnapshot) addTo(line *log.Entry) *log.Entry {
	if k.limit.Active {
		line = line.Float64("limit", k.limit.PerSecond).Dur("limit_age_ms", clock.Since(k.limit.At))
	}
	if k.restRemaining > 0 {
		line = line.Dur("rest_left_ms", k.restRemaining)
	}
	if k.leaving {
		line = line.Bool("leaving", true)
	}
	if k.refusalLimited {
		line = line.Float64("refusal_limit", k.refusalLimit)
	}
	return line
}
