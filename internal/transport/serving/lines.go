package serving

import (
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// logOutcome logs and counts the outcome of the request.
func (j *job) logOutcome(o outcome.Outcome) {
	line := j.line(outcome.Label(o)).Int("attempts", j.attemptNumber).Str("instance", j.instance.ID).Int64("start", int64(j.instance.Start)).Dur("took_ms", clock.Since(j.request.Arrived))
	if j.request.Prompt != nil {
		line = line.Int("fetch", j.fetchParts).Int("save", j.saveParts).Int("tokens", j.request.Prompt.Tokens).Uint64("shared_since", j.sharedSince)
		line = j.addStores(line)
	}
	line = j.addStream(line)
	if j.waited > 0 {
		line = line.Dur("waited_ms", j.waited)
	}
	if j.memory.ok {
		line = line.Int("room", j.memory.tokens).Dur("room_age_ms", j.memory.age)
	}
	line = j.addVia(j.consultation.addTo(line))
	line = j.condition.addTo(j.addQuarantine(j.weights.addTo(line)))
	switch o := o.(type) {
	case outcome.Answered:
		line = line.Int("status", o.Status).Dur("first_ms", j.firstByteAt.Sub(j.request.Arrived))
	case outcome.NotRun:
		line = line.Str("reason", string(o.Reason))
	case outcome.Unknown:
		line = line.Str("detail", o.Detail)
	case outcome.Failed:
		line = line.Str("detail", o.Detail)
	}
	j.addCallerEnd(line, o).Msg("")
	j.server.Metrics.endRequest(j.team.Name, j.route, o, j.request.Arrived, j.firstByteAt)
}

// logBroken logs and counts an answer whose caller's connection is closed before its end.
func (j *job) logBroken(o outcome.Outcome) {
	reason := "broken_off"
	if o == outcome.CallerGone {
		reason = "caller_gone"
	}
	j.server.Metrics.brokenAnswers.WithLabelValues(j.service, reason).Inc()
	line := j.server.Log.Warn().Str("event", "answer_broken").Str("request", j.request.ID).Str("service", j.service).Uint64("config", j.version).
		Str("reason", reason).Str("instance", j.instance.ID).Int("attempts", j.attemptNumber).Uint64("events", j.lastEvent-j.request.After).
		Dur("first_ms", j.firstByteAt.Sub(j.request.Arrived)).Dur("took_ms", clock.Since(j.request.Arrived)).Dur("remaining_ms", clock.Until(j.deadline))
	if j.lastError != nil {
		line = line.Str("error", j.lastError.Error())
	}
	line.Msg("")
}

func (j *job) line(end string) *log.Entry {
	return j.server.Log.Info().Str("event", "request").Str("request", j.request.ID).Str("outcome", end).
		Str("team", j.team.Name).Str("route", j.route.Name).Str("service", j.service).Uint64("config", j.version)
}

func (j *job) logAttempt(end retry.Result, err error, took time.Duration) {
	line := j.server.Log.Info().Str("event", "attempt").Str("request", j.request.ID).Int("number", j.attemptNumber).
		Str("instance", j.instance.ID).Int64("start", int64(j.instance.Start)).Str("address", j.instance.Address).Uint64("sequence", j.instance.Sequence).
		Str("end", endLabel(end)).Dur("took_ms", took)
	line = j.addStream(j.addVia(j.consultation.addTo(line.Str("digest", j.digest.String()))))
	line = j.condition.addTo(j.addQuarantine(j.weights.addTo(line)))
	if err != nil {
		line = line.Str("error", err.Error())
	}
	if reason := exchange.ReasonOf(err); reason != "" {
		line = line.Str("broken_reason", string(reason))
	}
	if j.answerAge >= 0 {
		line = line.Dur("service_answer_age_ms", j.answerAge)
	}
	line.Msg("")
}

// addStream adds to the log line of a stream the software version of the last attempt's instance, and which
// request it resumes after which event.
func (j *job) addStream(line *log.Entry) *log.Entry {
	if j.route.Kind != deployment.Stream {
		return line
	}
	line = line.Str("software", j.instance.SoftwareVersion)
	if j.request.Resumes {
		line = line.Str("resumes", j.request.ResumedID).Uint64("after", j.request.After)
	}
	return j.origin.addTo(line)
}

// addVia adds to a log line through which entry the last attempt was sent.
func (j *job) addVia(line *log.Entry) *log.Entry {
	if j.via == "" {
		return line
	}
	return line.Str("via", j.via)
}

// answerAge returns how long ago an instance of a service last answered, or a negative value if none ever
// has. mu must be held.
func (s *Server) answerAge(service string, now time.Time) time.Duration {
	at, ok := s.answeredAt[service]
	if !ok {
		return -1
	}
	return now.Sub(at)
}

// endLabel returns the label of an attempt's result; a 5xx response gets a label of its own.
func endLabel(end retry.Result) string {
	if whole, ok := end.(retry.Completed); ok && whole.Status >= 500 {
		return "failed_there"
	}
	return retry.Label(end)
}
