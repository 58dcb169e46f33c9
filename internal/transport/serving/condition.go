package serving

import (
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// noteCondition notes what the instance of the present attempt says of itself in the answer to a request
// that was sent at some time; the server's mu must be held.
func (j *job) noteCondition(c exchange.Condition, sent, now time.Time) {
	of := j.instance.Incarnation()
	board := j.server.board
	if c.ColdFor > 0 {
		board.SetColdUntil(of, now.Add(c.ColdFor))
	}
	if c.RestFor > 0 && board.SetRestUntil(of, now.Add(c.RestFor), now) {
		j.noteRest(c.RestFor)
	}
	if c.Leaving && board.SetLeaving(of) {
		j.noteLeaving()
	}
	changed := false
	switch limit := c.Limit.(type) {
	case exchange.RateLimit:
		changed = board.SetLimit(of, limit.PerSecond, now)
	case exchange.NoLimit:
		changed = board.ClearLimit(of, sent)
	case exchange.UnreadableLimit:
		if board.MarkLimitUnreadable(of) {
			j.server.Log.Warn().Str("event", "instance_limit_unreadable").Str("instance", of.ID).Int64("start", int64(of.Start)).
				Str("request", j.request.ID).Str("text", limit.Text).Msg("")
		}
	}
	if changed {
		j.noteLimitChange(board.Limit(of))
	}
}

// noteRest logs and counts that the instance of the present attempt began to want no requests.
func (j *job) noteRest(length time.Duration) {
	in := j.instance
	j.server.Metrics.rests.WithLabelValues(in.Service).Inc()
	j.server.Log.Info().Str("event", "instance_rests").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Dur("for_ms", length).Msg("")
}

// noteLeaving logs and counts that the instance of the present attempt said that it will end.
func (j *job) noteLeaving() {
	in := j.instance
	j.server.Metrics.leavings.WithLabelValues(in.Service).Inc()
	j.server.Log.Info().Str("event", "instance_leaves").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Msg("")
}

// noteLimitChange logs and counts that the instance of the present attempt named another limit than
// before, or none any more.
func (j *job) noteLimitChange(limit balance.Limit) {
	in := j.instance
	j.server.Metrics.limits.WithLabelValues(in.Service).Inc()
	line := j.server.Log.Info().Str("event", "instance_limit").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Bool("limited", limit.Active)
	if limit.Active {
		line = line.Float64("per_second", limit.PerSecond)
	}
	line.Msg("")
}

// conditionKnown is what an instance had said of itself when a request was sent to it.
type conditionKnown struct {
	limit    balance.Limit
	restLeft time.Duration
	leaving  bool
}

// knownCondition returns what the instance of the present attempt has said of itself; the server's mu must be held.
func (j *job) knownCondition(now time.Time) conditionKnown {
	of := j.instance.Incarnation()
	board := j.server.board
	return conditionKnown{limit: board.Limit(of), restLeft: board.RestRemaining(of, now), leaving: board.Leaving(of)}
}

// fields adds to a line what was known.
func (k conditionKnown) fields(line *log.Entry) *log.Entry {
	if k.limit.Active {
		line = line.Float64("limit", k.limit.PerSecond).Dur("limit_age_ms", clock.Since(k.limit.At))
	}
	if k.restLeft > 0 {
		line = line.Dur("rest_left_ms", k.restLeft)
	}
	if k.leaving {
		line = line.Bool("leaving", true)
	}
	return line
}
