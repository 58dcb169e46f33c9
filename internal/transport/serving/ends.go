package serving

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// maxTrackedParts limits the parts of a prompt by which instances that end are tracked.
const maxTrackedParts = 16

// setDigest sets the request's digest and those of the shared parts of its prompt. All keys of a team count as the
// same caller.
func (j *job) setDigest() {
	r := j.request
	j.digest = quarantine.DigestOf(j.team.Name, []string{r.Method, r.Host, r.Target}, r.Body)
	if r.Prompt == nil || len(r.Prompt.Parts) == 0 {
		return
	}
	scope := ""
	if j.team.Isolated {
		scope = j.team.Name
	}
	shared := r.Prompt.Parts[:len(r.Prompt.Parts)-1]
	for _, part := range shared[:min(len(shared), maxTrackedParts)] {
		j.parts = append(j.parts, quarantine.PartDigestOf(scope, r.Prompt.Model, part.ID))
	}
}

// checkQuarantine decides whether the next attempt may be sent, by the instances whose processes
// ended while they served the request. It returns the request's outcome when it may not.
func (j *job) checkQuarantine() outcome.Outcome {
	verdict, known, done := j.server.Ends.Begin(j.digest, j.parts...)
	j.quarantined, j.done = known, done
	j.heldPart = j.partOf(known.Digest)
	hold, ok := verdict.(quarantine.Hold)
	if !ok {
		return nil
	}
	return j.attempts.Reject(hold.RetryAfter, hold.Reason(j.heldPart != ""))
}

// partOf returns the name of the part of the prompt that a digest identifies, or "" if it is that of the request.
func (j *job) partOf(d quarantine.Digest) string {
	i := slices.Index(j.parts, d)
	if i < 0 {
		return ""
	}
	return j.request.Prompt.Parts[i].ID
}

// trackedAttempt returns the current attempt as the tracker of instance ends records it.
func (j *job) trackedAttempt(sent time.Time) ends.Attempt {
	return ends.Attempt{Request: j.request.ID, Digest: j.digest, Parts: j.parts, To: j.instance, Sent: sent}
}

// trackEnd reports the end of an attempt to the tracker. gone is true when the attempt was
// canceled because another incarnation has taken the instance's id or address.
func (j *job) trackEnd(ctx context.Context, a ends.Attempt, end retry.Result, err error, gone bool) {
	tracker := j.server.Ends
	switch end := end.(type) {
	case retry.Completed:
		if end.Status < http.StatusMultipleChoices {
			tracker.RecordSuccess(a)
		}
	case retry.CallerGone:
		tracker.RecordAbandoned(a)
	case retry.Refused:
		if j.condition.refusalLimited {
			tracker.RecordRefusedRequest(a.To.Incarnation(), j.condition.refusalLimit)
		}
	case retry.Unreached:
		if errors.Is(err, syscall.ECONNREFUSED) {
			tracker.RecordRefusal(a.To)
		}
	case retry.Broken:
		view := j.server.View()
		switch {
		case gone:
			tracker.RecordSuperseded(a)
		case view.IsLive(a.To):
			tracker.RecordBroken(ctx, a, j.refusalProbe(err))
		case view.Superseded(a.To):
			tracker.RecordSuperseded(a)
		default:
			// The instance shut down as planned, or had stopped sending heartbeats before.
		}
	}
}

// refusalProbe returns the probe that tests whether an instance refuses connections, or nil unless
// the attempt ended because its connection closed.
func (j *job) refusalProbe(err error) ends.RefusalProbe {
	if !exchange.ConnectionClosed(err) {
		return nil
	}
	return j.server.Upstreams.Refuses
}

// fromInstance reports whether a reply was sent by the instance that the attempt was addressed to.
func fromInstance(reply exchange.Reply) bool {
	switch reply := reply.(type) {
	case exchange.Whole, exchange.Stream:
		return true
	case exchange.NotRun:
		return !reply.Misdirected
	}
	return false
}

// addQuarantine adds to a log line how many instances are known to have ended while they served
// the request, or prompts with one of its parts, and whether it is held.
func (j *job) addQuarantine(line *log.Entry) *log.Entry {
	c := j.quarantined
	if c.Ends == 0 {
		return line
	}
	if j.heldPart != "" {
		line = line.Str("part", j.heldPart)
	}
	now := clock.Now()
	line = line.Int("ends", c.Ends).Int("end_rounds", c.Rounds).Dur("end_age_ms", now.Sub(c.LastEnd)).Bool("held", c.Held)
	if c.Held {
		line = line.Dur("held_ms", c.Until.Sub(now))
	}
	if !c.LastSuccess.IsZero() {
		line = line.Dur("answered_age_ms", now.Sub(c.LastSuccess))
	}
	return line
}
