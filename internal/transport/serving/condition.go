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
		board.NoteCold(of, now.Add(c.ColdFor))
	}
	changed := false
	switch limit := c.Limit.(type) {
	case exchange.RateLimit:
		changed = board.NoteLimit(of, limit.PerSecond, now)
	case exchange.NoLimit:
		changed = board.NoteNoLimit(of, sent)
	case exchange.UnreadableLimit:
		if board.NoteUnreadableLimit(of) {
			j.server.Log.Warn().Str("event", "instance_limit_unreadable").Str("instance", of.ID).Int64("start", int64(of.Start)).
				Str("request", j.request.ID).Str("text", limit.Text).Msg("")
		}
	}
	if changed {
		j.noteLimitChange(board.Limit(of))
	}
}

// noteLimitChange logs and counts that the instance of the present attempt named another limit than
// before, or none any more.
func (j *job) noteLimitChange(limit balance.Limit) {
	in := j.instance
	j.server.Metrics.limitChange(in.Service)
	line := j.server.Log.Info().Str("event", "instance_limit").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).
		Str("request", j.request.ID).Bool("limited", limit.Named)
	if limit.Named {
		line = line.Float64("per_second", limit.PerSecond)
	}
	line.Msg("")
}

// limitFields adds to a line the limit that was known of an attempt's instance.
func limitFields(line *log.Entry, limit balance.Limit) *log.Entry {
	if !limit.Named {
		return line
	}
	return line.Float64("limit", limit.PerSecond).Dur("limit_age_ms", clock.Since(limit.At))
}
