package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// reserveTimeout bounds the wait for a majority before a call is refused.
	reserveTimeout = 2 * time.Second
	// finishTimeout bounds the recording of a call's result, in the background of
	// the caller's answer.
	finishTimeout = 30 * time.Second
	// maxKeptAnswer is the largest answer kept with a record, in bytes.
	maxKeptAnswer = 16 << 10
)

// callOnce runs a call that may not be repeated. Its record is committed before
// the dispatch, and only this attempt, the record's holder, ever dispatches it.
func (e *Entry) callOnce(w http.ResponseWriter, r *http.Request, c caller, call *serviceCall, key string) {
	reserved, ok := e.reserve(r, c, call, key)
	if !ok {
		// The reservation may have been committed: take it back when it can be.
		e.record(c, call, key, result{outcome: outcome.NotRun{}})
		e.concludeCall(w, c, result{outcome: outcome.NotRun{Reason: outcome.ReasonNoMajority}})
		return
	}
	if reserved.Result != wire.ReserveResponse_GRANTED {
		e.answerKnown(w, c, reserved)
		return
	}
	// From here on the call runs to its end, also when the caller goes away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.service.Timeout())
	defer cancel()
	res := e.dispatchOnce(ctx, c, call)
	e.record(c, call, key, res)
	e.concludeCall(w, c, res)
}

func (e *Entry) reserve(r *http.Request, c caller, call *serviceCall, key string) (*wire.ReserveResponse, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), reserveTimeout)
	defer cancel()
	digest := sha256.Sum256([]byte(r.Method + " " + call.service.Name() + call.request.Path + "?" + r.URL.RawQuery + "\n" + string(call.request.Body)))
	reserved, err := e.Control.Reserve(ctx, &wire.ReserveRequest{
		Team: c.team.Name(), Key: key, RequestDigest: digest[:], Holder: call.run,
	})
	return reserved, err == nil
}

// dispatchOnce sends the call; another instance is tried only when no byte
// reached the one before, or it refused this very run.
func (e *Entry) dispatchOnce(ctx context.Context, c caller, call *serviceCall) result {
	awake, last := e.awake(call.service.Instances())
	for i, instance := range shuffled(awake) {
		if i >= retry.MaxAttempts {
			break
		}
		res, sent := e.sendCall(ctx, c, call, instance, i+1, true)
		last = res
		if _, ok := last.outcome.(outcome.NotRun); !ok || !sent {
			break
		}
	}
	return last
}

// record commits how a call ended, in the background: the answer does not wait
// for it, and a lost record reads as in progress and then as unknown, never as
// free.
func (e *Entry) record(c caller, call *serviceCall, key string, res result) {
	in := &wire.FinishRequest{Team: c.team.Name(), Key: key, Holder: call.run}
	switch res.outcome.(type) {
	case outcome.NotRun:
		in.End = wire.FinishRequest_NOT_SENT
	case outcome.Answered:
		in.End = wire.FinishRequest_ANSWERED
		in.Record = &wire.Record{Status: int32(res.status), ContentType: res.contentType}
		if len(res.body) <= maxKeptAnswer {
			in.Record.Answer = res.body
			in.Record.AnswerKept = true
		}
	default:
		in.End = wire.FinishRequest_LOST
	}
	if !e.background.begin() {
		return
	}
	go func() {
		defer e.background.end()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		_, err := e.Control.Finish(ctx, in)
		if err != nil {
			e.Log.Error().Str("event", "record_lost").Str("request", c.request).Str("error", err.Error()).Msg("")
		}
	}()
}

// answerKnown answers a call whose key is taken or can no longer be.
func (e *Entry) answerKnown(w http.ResponseWriter, c caller, reserved *wire.ReserveResponse) {
	record := reserved.Record
	switch {
	case reserved.Result == wire.ReserveResponse_OTHER_BODY:
		refuse(w, problem{status: http.StatusUnprocessableEntity, kind: kindInvalid, code: "key_reused", message: "The " + HeaderIdempotencyKey + " was used for another request.", param: HeaderIdempotencyKey})
	case reserved.Result == wire.ReserveResponse_EXPIRED:
		// It did not run now, but "not run" would promise more than that.
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Unknown{}))
		writeError(w, problem{status: http.StatusGone, kind: kindInvalid, code: "key_expired", message: "The " + HeaderIdempotencyKey + " is too old, or from the future: it was not run now, and may have run before.", param: HeaderIdempotencyKey})
	case reserved.Result == wire.ReserveResponse_FULL:
		e.concludeCall(w, c, result{outcome: outcome.NotRun{Reason: outcome.ReasonRecordsFull, RetryAfter: time.Minute}})
	case record.GetPhase() == wire.Record_FINISHED && record.AnswerKept:
		w.Header().Set("X-Shedrock-Replayed", "true")
		writeAnswer(w, result{status: int(record.Status), contentType: record.ContentType, body: record.Answer})
	case record.GetPhase() == wire.Record_FINISHED:
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
		writeError(w, problem{status: http.StatusConflict, kind: kindInvalid, code: "already_ran", message: fmt.Sprintf("The call ran and was answered with status %d; the answer was too large to keep.", record.Status)})
	case record.GetPhase() == wire.Record_RESERVED:
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Unknown{}))
		w.Header().Set("Retry-After", retryAfter(time.Second))
		writeError(w, problem{status: http.StatusConflict, kind: kindInvalid, code: "in_progress", message: "The call is in progress."})
	default:
		writeOutcome(w, outcome.Unknown{Detail: "an earlier attempt with this key had no answer"})
	}
}
