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
	// reserveTimeout bounds the wait for a majority of the control log before a call is
	// refused.
	reserveTimeout = 2 * time.Second
	// finishTimeout bounds the recording of a call's result, which continues in the
	// background while the caller is answered.
	finishTimeout = 30 * time.Second
	// maxRecordedAnswerBytes is the size of the largest response body that is stored
	// with a record.
	maxRecordedAnswerBytes = 16 << 10
)

// callOnce runs a call at most once. Its record is committed to the control log before
// the dispatch, and only the record's holder, this run, ever dispatches the call.
func (e *Entry) callOnce(w http.ResponseWriter, r *http.Request, c caller, call *serviceCall, key string) {
	reserved, ok := e.reserve(r, c, call, key)
	if !ok {
		// The reservation may have been committed, so release it as soon as possible.
		e.recordResult(c, call, key, result{outcome: outcome.NotRun{}})
		e.finishCall(w, c, result{outcome: outcome.NotRun{Reason: outcome.ReasonNoMajority}})
		return
	}
	if reserved.Result != wire.ReserveResponse_GRANTED {
		e.answerFromRecord(w, c, reserved)
		return
	}
	// From here on the call runs to completion, even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.service.Timeout())
	defer cancel()
	res := e.dispatchOnce(ctx, c, call)
	e.recordResult(c, call, key, res)
	e.finishCall(w, c, res)
}

func (e *Entry) reserve(r *http.Request, c caller, call *serviceCall, key string) (*wire.ReserveResponse, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), reserveTimeout)
	defer cancel()
	digest := sha256.Sum256([]byte(r.Method + " " + call.service.Name() + call.request.Path + "?" + r.URL.RawQuery + "\n" + string(call.request.Body)))
	reserved, err := e.Control.Reserve(ctx, &wire.ReserveRequest{
		Team: c.team.Name(), Key: key, RequestDigest: digest[:], Holder: call.runID,
	})
	return reserved, err == nil
}

// dispatchOnce sends the call. Another instance is tried only when no byte reached the
// previous one, or when that one refused this very run.
func (e *Entry) dispatchOnce(ctx context.Context, c caller, call *serviceCall) result {
	available, last := e.available(call.service.Instances())
	for i, instance := range shuffled(available) {
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

// recordResult commits the result of a call in the background, so that the response
// does not wait for it. If the result is lost, the record reads as in progress and
// later as unknown, but the key never becomes available again.
func (e *Entry) recordResult(c caller, call *serviceCall, key string, res result) {
	in := &wire.FinishRequest{Team: c.team.Name(), Key: key, Holder: call.runID}
	switch res.outcome.(type) {
	case outcome.NotRun:
		in.End = wire.FinishRequest_NOT_SENT
	case outcome.Answered:
		in.End = wire.FinishRequest_ANSWERED
		in.Record = &wire.Record{Status: int32(res.status), ContentType: res.contentType}
		if len(res.body) <= maxRecordedAnswerBytes {
			in.Record.Answer = res.body
			in.Record.AnswerKept = true
		}
	default:
		in.End = wire.FinishRequest_LOST
	}
	if !e.background.tryAdd() {
		return
	}
	go func() {
		defer e.background.done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		_, err := e.Control.Finish(ctx, in)
		if err != nil {
			e.Log.Error().Str("event", "record_lost").Str("request", c.requestID).Str("error", err.Error()).Msg("")
		}
	}()
}

// answerFromRecord answers a call whose reservation was not granted, from the existing
// record if there is one.
func (e *Entry) answerFromRecord(w http.ResponseWriter, c caller, reserved *wire.ReserveResponse) {
	record := reserved.Record
	switch {
	case reserved.Result == wire.ReserveResponse_OTHER_BODY:
		writeRejection(w, errorResponse{status: http.StatusUnprocessableEntity, kind: kindInvalid, code: "key_reused", message: "The " + HeaderIdempotencyKey + " was used for another request.", param: HeaderIdempotencyKey})
	case reserved.Result == wire.ReserveResponse_EXPIRED:
		// The call did not run now, but "not run" would also claim that it did not run
		// earlier.
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Unknown{}))
		writeError(w, errorResponse{status: http.StatusGone, kind: kindInvalid, code: "key_expired", message: "The " + HeaderIdempotencyKey + " is too old, or from the future: it was not run now, and may have run before.", param: HeaderIdempotencyKey})
	case reserved.Result == wire.ReserveResponse_FULL:
		e.finishCall(w, c, result{outcome: outcome.NotRun{Reason: outcome.ReasonRecordsFull, RetryAfter: time.Minute}})
	case record.GetPhase() == wire.Record_FINISHED && record.AnswerKept:
		w.Header().Set("X-Shedrock-Replayed", "true")
		e.writeAnswer(w, c, result{status: int(record.Status), contentType: record.ContentType, body: record.Answer})
	case record.GetPhase() == wire.Record_FINISHED:
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
		writeError(w, errorResponse{status: http.StatusConflict, kind: kindInvalid, code: "already_ran", message: fmt.Sprintf("The call ran and was answered with status %d; the answer was too large to keep.", record.Status)})
	case record.GetPhase() == wire.Record_RESERVED:
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Unknown{}))
		w.Header().Set("Retry-After", retryAfter(time.Second))
		writeError(w, errorResponse{status: http.StatusConflict, kind: kindInvalid, code: "in_progress", message: "The call is in progress."})
	default:
		writeOutcome(w, outcome.Unknown{Detail: "an earlier attempt with this key had no answer"})
	}
}
