package serving

import (
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// recordCondition records the condition that the instance of the current attempt reports in its
// response to a request sent at the given time. The server's mu must be held.
func (j *job) recordCondition(c exchange.Condition, sent, now time.Time) {
	of := j.instance.Incarnation()
	balancer := j.server.balancer
	if c.ColdFor > 0 {
		balancer.SetColdUntil(of, now.Add(c.ColdFor))
	}
	if c.RestFor > 0 && balancer.SetRestUntil(of, now.Add(c.RestFor), now) {
		j.recordRest(c.RestFor)
	}
	if c.Leaving && balancer.SetLeaving(of) {
		j.recordLeaving()
	}
	changed := false
	switch limit := c.Limit.(type) {
	case exchange.RateLimit:
		changed = balancer.SetLimit(of, limit.PerSecond, now)
	case exchange.NoLimit:
		changed = balancer.ClearLimit(of, sent)
	case exchange.UnreadableLimit:
		if balancer.MarkLimitUnreadable(of) {
			j.server.Log.Warn().Str("event", "instance_limit_unreadable").Str("instance", of.ID).Int64("start", int64(of.Start)).
				Str("request", j.request.ID).Str("text", limit.Text).Msg("")
		}
	}
	if changed {
		j.recordLimitChange(balancer.Limit(of))
	}
}

// recordRest logs and counts that the instance of the current attempt asked for a pause in requests.
func (j *job) recordRest(length time.Duration) {
	in := j.instance
	j.server.Metrics.rests.WithLabelValues(in.Service).Inc()
	j.server.Log.Info().Str("event", "instance_rests").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Dur("for_ms", length).Msg("")
}

// recordLeaving logs and counts that the instance of the current attempt announced its shutdown.
func (j *job) recordLeaving() {
	in := j.instance
	j.server.Metrics.leavings.WithLabelValues(in.Service).Inc()
	j.server.Log.Info().Str("event", "instance_leaves").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Msg("")
}

// recordLimitChange logs and counts that the instance of the current attempt changed or removed its
// request rate limit.
func (j *job) recordLimitChange(limit balance.Limit) {
	in := j.instance
	j.server.Metrics.limitChanges.WithLabelValues(in.Service).Inc()
	line := j.server.Log.Info().Str("event", "instance_limit").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Bool("limited", limit.Active)
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
}

// currentCondition returns the condition that the instance of the current attempt has reported. The
// server's mu must be held.
func (j *job) currentCondition(now time.Time) conditionSnapshot {
	of := j.instance.Incarnation()
	balancer := j.server.balancer
	return conditionSnapshot{limit: balancer.Limit(of), restRemaining: balancer.RestRemaining(of, now), leaving: balancer.Leaving(of)}
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
	return line
}
