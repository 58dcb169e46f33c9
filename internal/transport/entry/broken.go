package entry

import (
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

// lostAnswer is an answer that began and did not reach its end.
type lostAnswer struct {
	// upstream is the engine or the instance of the last attempt, and attempts counts the attempts.
	upstream string
	attempts int
	// lastEvent is the number of the last event that was written, and 0 for a whole answer.
	lastEvent uint64
	// writeError is why a write to the caller failed, or nil.
	writeError error
}

// recordBroken logs and counts an answer that ends before it is whole.
func (e *Entry) recordBroken(c caller, o outcome.Outcome, lost lostAnswer) {
	line := e.Log.Warn().Str("event", "answer_broken").Str("request", c.requestID).Str("upstream", lost.upstream).
		Int("attempts", lost.attempts).Uint64("last_event", lost.lastEvent).Dur("took_ms", clock.Since(c.reqMetrics.arrived))
	reason := "broken_off"
	if o == outcome.CallerGone {
		reason = "caller_gone"
		end := string(httpserve.WriteEndOf(lost.writeError))
		e.metrics.callersGone.WithLabelValues(end).Inc()
		line = line.Str("caller", end)
	}
	e.metrics.brokenAnswers.WithLabelValues(lost.upstream, reason).Inc()
	if lost.writeError != nil {
		line = line.Str("write_error", lost.writeError.Error())
	}
	line.Str("reason", reason).Msg("")
}

// recordBrokenResponse logs and counts the reply of an upstream if it says what made the response unusable.
func (e *Entry) recordBrokenResponse(c caller, upstream string, reply exchange.Reply) {
	broken, ok := reply.(exchange.Broken)
	if !ok {
		return
	}
	reason := exchange.ReasonOf(broken.Err)
	if reason == "" {
		return
	}
	e.metrics.brokenResponses.WithLabelValues(upstream, string(reason)).Inc()
	e.Log.Info().Str("event", "response_broken").Str("request", c.requestID).Str("upstream", upstream).Str("broken_reason", string(reason)).Msg("")
}

// recordIfBroken records the answer of a job that was not answered, if it had begun.
func (e *Entry) recordIfBroken(c caller, o outcome.Outcome, s *responder, j *job, attempts int) {
	if !s.started && s.writeError == nil {
		return
	}
	e.recordBroken(c, o, lostAnswer{upstream: j.plan.Name, attempts: attempts, lastEvent: s.sent, writeError: s.writeError})
}
