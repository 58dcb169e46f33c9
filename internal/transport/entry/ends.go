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
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

// initEnds makes what tracks the ends of instances. Upstreams here do not tell when they started.
func (e *Entry) initEnds() {
	if e.Ends == nil {
		e.Ends = &ends.Tracker{Entries: e.live, NoStartTimes: true, Metrics: ends.NewMetrics(), Log: e.Log}
	}
	e.metrics.registry.MustRegister(e.Ends.Collectors()...)
}

// live returns how many entries share the upstreams.
func (e *Entry) live() int {
	if e.Peers == nil {
		return 1
	}
	return e.Peers.Live()
}

// digestOf names all requests that are the same. Their caller is the team, whichever of its keys
// it uses.
func digestOf(c caller, r *exchange.Request) quarantine.Digest {
	return quarantine.DigestOf(c.team.Name(), []string{r.Method, r.Host, r.Target}, r.Body)
}

// withheld says why an attempt must not be sent.
type withheld struct {
	after  time.Duration
	reason outcome.Reason
}

// permit asks whether an attempt may be sent, as far as instances ended under the request; done
// must be called when it has ended. It returns why not when it may not.
func (e *Entry) permit(d quarantine.Digest) (no *withheld, done func()) {
	verdict, _, done := e.Ends.Begin(d)
	hold, ok := verdict.(quarantine.Hold)
	if !ok {
		return nil, done
	}
	return &withheld{hold.RetryAfter, hold.Reason()}, done
}

// trackEnd tells what the end of a prompt's attempt says of its upstream.
func (e *Entry) trackEnd(ctx context.Context, c caller, j *job, end retry.Result) {
	a := ends.Attempt{Request: c.request, Digest: j.digest, To: registry.Instance{ID: j.plan.Name, Address: j.plan.Address}, Sent: j.began}
	switch end := end.(type) {
	case retry.Completed:
		if end.Status < http.StatusMultipleChoices {
			e.Ends.RecordSuccess(a)
		}
	case retry.CallerGone:
		e.Ends.RecordAbandoned(a)
	case retry.Broken:
		e.Ends.RecordBroken(ctx, a, e.upstreams.Refuses)
	}
}

// trackCall tells what the reply to a call says of its instance.
func (e *Entry) trackCall(ctx context.Context, a ends.Attempt, reply exchange.Reply) {
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
		e.Ends.RecordBroken(ctx, a, e.upstreams.Refuses)
	}
}

// sendCall sends a call to one instance, unless it is held: then ok is false.
func (e *Entry) sendCall(ctx context.Context, c caller, call *serviceCall, instance string, number int, single bool) (res result, ok bool) {
	d := digestOf(c, call.request)
	no, done := e.permit(d)
	if no != nil {
		return result{outcome: outcome.NotRun{RetryAfter: no.after, Reason: no.reason}}, false
	}
	defer done()
	sent := clock.Now()
	attempt := call.attempt(instance, number, single)
	reply := e.upstreams.Send(ctx, attempt)
	e.trackCall(ctx, ends.Attempt{Request: c.request, Digest: d, To: attempt.Instance, Sent: sent}, reply)
	e.noteRest(instance, reply)
	return resultOf(reply), true
}
