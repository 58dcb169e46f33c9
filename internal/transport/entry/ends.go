package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// initEndTracker creates the tracker of instance ends unless one was set. Upstreams of
// this entry do not report when they started.
func (e *Entry) initEndTracker() {
	if e.Ends == nil {
		e.Ends = &ends.Tracker{Entries: e.liveEntries, NoStartTimes: true, Metrics: ends.NewMetrics(), Log: e.Log}
	}
	e.metrics.registry.MustRegister(e.Ends.Collectors()...)
}

// liveEntries returns how many entries share the upstreams.
func (e *Entry) liveEntries() int {
	if e.Peers == nil {
		return 1
	}
	return e.Peers.LiveInRegion()
}

// requestDigest returns a digest that is equal for identical requests of one team,
// whichever of its keys it uses.
func requestDigest(c caller, r *exchange.Request) quarantine.Digest {
	return quarantine.DigestOf(c.team.Name(), []string{r.Method, r.Host, r.Target}, r.Body)
}

// denial is the reason why an attempt must not be sent.
type denial struct {
	retryAfter time.Duration
	reason     outcome.Reason
}

// permit checks whether an attempt may be sent, given which instances ended while
// running the same request. If so, done must be called when the attempt has ended;
// otherwise denied says why not.
func (e *Entry) permit(d quarantine.Digest) (denied *denial, done func()) {
	verdict, _, done := e.Ends.Begin(d)
	hold, ok := verdict.(quarantine.Hold)
	if !ok {
		return nil, done
	}
	return &denial{hold.RetryAfter, hold.Reason(false)}, done
}

// trackAttemptEnd reports the end of a prompt's attempt to the tracker of instance
// ends.
func (e *Entry) trackAttemptEnd(ctx context.Context, c caller, j *job, end retry.Result) {
	a := ends.Attempt{Request: c.requestID, Digest: j.digest, To: j.instance(), Sent: j.startedAt}
	switch end := end.(type) {
	case retry.Completed:
		if end.Status < http.StatusMultipleChoices {
			e.Ends.RecordSuccess(a)
		}
	case retry.CallerGone:
		e.Ends.RecordAbandoned(a)
	case retry.Broken:
		e.Ends.RecordBroken(ctx, a, e.detours.Refuses)
	}
}

// trackReply reports the reply to a service call to the tracker of instance ends.
func (e *Entry) trackReply(ctx context.Context, a ends.Attempt, reply exchange.Reply) {
	switch reply := reply.(type) {
	case exchange.Whole:
		if reply.Head.Status < http.StatusMultipleChoices {
			e.Ends.RecordSuccess(a)
		}
	case exchange.Broken:
		if ctx.Err() != nil {
			e.Ends.RecordAbandoned(a)
			return
		}
		e.Ends.RecordBroken(ctx, a, e.detours.Refuses)
	}
}

// sendCall sends a call to one instance; ok is false when the request is held and was
// not sent.
func (e *Entry) sendCall(ctx context.Context, c caller, call *serviceCall, instance string, number int, single bool) (res result, ok bool) {
	d := requestDigest(c, call.request)
	denied, done := e.permit(d)
	if denied != nil {
		return result{outcome: outcome.NotRun{RetryAfter: denied.retryAfter, Reason: denied.reason}}, false
	}
	defer done()
	sent := clock.Now()
	attempt := call.attempt(instance, number, single)
	reply := e.detours.Send(ctx, attempt)
	e.recordBrokenResponse(c, instance, reply)
	e.trackReply(ctx, ends.Attempt{Request: c.requestID, Digest: d, To: attempt.Instance, Sent: sent}, reply)
	e.recordBackoff(instance, reply)
	return resultOf(reply), true
}
