package serving

import (
	"context"
	"io"
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

// identify sets the request's digest. Its caller is the team, whichever of its keys it uses.
func (j *job) identify() {
	r := j.request
	j.digest = quarantine.DigestOf(j.team.Name, []string{r.Method, r.Host, r.Target}, r.Body)
}

// permit asks whether the next attempt may be sent, as far as instances ended under the request;
// it returns the request's end when it may not.
func (j *job) permit() outcome.Outcome {
	verdict, known, done := j.server.Ends.Begin(j.digest)
	j.known, j.done = known, done
	hold, ok := verdict.(quarantine.Hold)
	if !ok {
		return nil
	}
	return j.tries.Reject(hold.RetryAfter, hold.Reason())
}

// tracked is the present attempt as ends of instances are tracked.
func (j *job) tracked(sent time.Time) ends.Attempt {
	return ends.Attempt{Request: j.request.ID, Digest: j.digest, To: j.instance, Sent: sent}
}

// trackEnd tells what the end of an attempt says of its instance. gone says that it was ended
// because another incarnation has the instance's place.
func (j *job) trackEnd(ctx context.Context, a ends.Attempt, end retry.Result, err error, gone bool) {
	tracker := j.server.Ends
	switch end := end.(type) {
	case retry.Completed:
		if end.Status < http.StatusMultipleChoices {
			tracker.RecordSuccess(a)
		}
	case retry.CallerGone:
		tracker.RecordAbandoned(a)
	case retry.Unreached:
		if errors.Is(err, syscall.ECONNREFUSED) {
			tracker.RecordRefusal(a.To)
		}
	case retry.Broken:
		view := j.server.View()
		switch {
		case gone:
			tracker.RecordSuperseded(a)
		case view.Lives(a.To):
			tracker.RecordBroken(ctx, a, j.asker(err))
		case view.Superseded()(a.To):
			tracker.RecordSuperseded(a)
		default:
			// Its end was planned, or it had fallen silent before.
		}
	}
}

// asker returns what asks whether an instance refuses connections, if an attempt ended because
// its connection closed.
func (j *job) asker(err error) ends.RefusalProbe {
	if !closed(err) {
		return nil
	}
	return j.server.Upstreams.Refuses
}

// closed reports whether an attempt ended because the other side closed the connection.
func closed(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(of error) bool { return errors.Is(err, of) })
}

// answersItself reports whether a reply is the instance's own word.
func answersItself(reply exchange.Reply) bool {
	switch reply := reply.(type) {
	case exchange.Whole, exchange.Stream:
		return true
	case exchange.NotRun:
		return !reply.Misdirected
	}
	return false
}

// knownEnds adds to a line how many instances ended under the request, as far as is known.
func knownEnds(line *log.Entry, c quarantine.RequestStatus) *log.Entry {
	if c.Ends == 0 {
		return line
	}
	now := clock.Now()
	line = line.Int("ends", c.Ends).Int("end_rounds", c.Rounds).Dur("end_age_ms", now.Sub(c.LastEnd)).Bool("held", c.Held)
	if c.Held {
		line = line.Dur("held_ms", c.Until.Sub(now))
	}
	if !c.Answered.IsZero() {
		line = line.Dur("answered_age_ms", now.Sub(c.Answered))
	}
	return line
}
