package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/classify"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
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
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 256
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	service declared.Service
	path    string
	body    []byte
	run     string
}

// call handles a request to a plain service.
func (e *Entry) call(w http.ResponseWriter, r *http.Request, c caller) {
	name := r.PathValue("service")
	service, ok := e.state.Load().Service(name)
	if !ok || !c.team.MayUseService(name) {
		message := fmt.Sprintf("The service %q does not exist.", name)
		refuse(w, problem{status: http.StatusNotFound, kind: kindInvalid, code: "service_not_found", message: message})
		return
	}
	body, p, ok := e.readBody(w, r)
	if !ok {
		refuse(w, p)
		return
	}
	call := &serviceCall{service: service, path: "/" + r.PathValue("path"), body: body, run: c.request + "-1"}
	if service.Repeatable(r.Method, call.path) {
		e.callRepeatable(w, r, c, call)
		return
	}
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKeyBytes {
		message := fmt.Sprintf("%s %s may not be repeated: an %s of 1 to %d bytes is needed.", r.Method, call.path, HeaderKey, maxKeyBytes)
		refuse(w, problem{status: http.StatusBadRequest, kind: kindInvalid, code: "missing_idempotency_key", message: message, param: HeaderKey})
		return
	}
	e.callOnce(w, r, c, call, key)
}

// request makes the request to one instance. The caller's key goes with it, so
// that a service which checks keys itself can.
func (call *serviceCall) request(ctx context.Context, r *http.Request, instance string, attempt int) (*http.Request, error) {
	url := "http://" + instance + call.path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"Content-Type", "Accept", HeaderKey} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(engine.HeaderRun, call.run)
	req.Header.Set(engine.HeaderAttempt, fmt.Sprint(attempt))
	return req, nil
}

// result is a service's whole answer, or why there is none.
type result struct {
	outcome     outcome.Outcome
	status      int
	contentType string
	body        []byte
}

func read(res *http.Response, x classify.Exchange) result {
	o := classify.Outcome(x)
	if res == nil {
		return result{outcome: o}
	}
	defer res.Body.Close()
	if _, ok := o.(outcome.Answered); !ok {
		return result{outcome: o}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return result{outcome: outcome.Unknown{Detail: "the answer broke off"}}
	}
	return result{outcome: o, status: res.StatusCode, contentType: res.Header.Get("Content-Type"), body: body}
}

// callRepeatable tries the service's instances until one answers.
func (e *Entry) callRepeatable(w http.ResponseWriter, r *http.Request, c caller, call *serviceCall) {
	ctx, cancel := context.WithTimeout(r.Context(), call.service.Timeout())
	defer cancel()
	last := result{outcome: outcome.NotRun{Reason: outcome.ReasonUnreachable}}
	for i, instance := range shuffled(call.service.Instances()) {
		if i >= retry.MaxAttempts || i > 0 && !e.mayRetry() {
			break
		}
		req, err := call.request(ctx, r, instance, i+1)
		if err != nil {
			break
		}
		last = worse(last, read(e.upstreams.Do(req, call.run, i+1)))
		if _, ok := last.outcome.(outcome.Answered); ok {
			break
		}
	}
	e.concludeCall(w, c, last)
}

// worse joins the results of two attempts in their order: once one may have run,
// a later one that did not cannot make the whole "not run".
func worse(before, after result) result {
	_, unknown := before.outcome.(outcome.Unknown)
	_, notRun := after.outcome.(outcome.NotRun)
	if unknown && notRun {
		return before
	}
	return after
}

func (e *Entry) mayRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take()
}

func shuffled(instances []string) []string {
	out := append([]string(nil), instances...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// concludeCall gives the caller the result of a call.
func (e *Entry) concludeCall(w http.ResponseWriter, c caller, res result) {
	if n, ok := res.outcome.(outcome.NotRun); ok && n.RetryAfter == 0 {
		n.RetryAfter = time.Second
		res.outcome = n
	}
	c.flow.ended(res.outcome)
	e.logOutcome(c, res.outcome, 1)
	if _, ok := res.outcome.(outcome.Answered); !ok {
		writeOutcome(w, res.outcome)
		return
	}
	writeAnswer(w, res)
}

func writeAnswer(w http.ResponseWriter, res result) {
	if res.contentType != "" {
		w.Header().Set("Content-Type", res.contentType)
	}
	w.Header().Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
	w.WriteHeader(res.status)
	_, _ = w.Write(res.body)
}

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
	res := e.dispatchOnce(ctx, r, call)
	e.record(c, call, key, res)
	e.concludeCall(w, c, res)
}

func (e *Entry) reserve(r *http.Request, c caller, call *serviceCall, key string) (*wire.ReserveResponse, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), reserveTimeout)
	defer cancel()
	digest := sha256.Sum256([]byte(r.Method + " " + call.service.Name() + call.path + "?" + r.URL.RawQuery + "\n" + string(call.body)))
	reserved, err := e.Control.Reserve(ctx, &wire.ReserveRequest{
		Team: c.team.Name(), Key: key, RequestDigest: digest[:], Holder: call.run,
	})
	return reserved, err == nil
}

// dispatchOnce sends the call; another instance is tried only when no byte
// reached the one before, or it refused this very run.
func (e *Entry) dispatchOnce(ctx context.Context, r *http.Request, call *serviceCall) result {
	last := result{outcome: outcome.NotRun{Reason: outcome.ReasonUnreachable}}
	for i, instance := range shuffled(call.service.Instances()) {
		if i >= retry.MaxAttempts {
			break
		}
		req, err := call.request(ctx, r, instance, i+1)
		if err != nil {
			return result{outcome: outcome.NotRun{Reason: outcome.ReasonUnreachable}}
		}
		last = read(e.upstreams.DoOnce(req, call.run, i+1))
		if _, ok := last.outcome.(outcome.NotRun); !ok {
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
		refuse(w, problem{status: http.StatusUnprocessableEntity, kind: kindInvalid, code: "key_reused", message: "The " + HeaderKey + " was used for another request.", param: HeaderKey})
	case reserved.Result == wire.ReserveResponse_EXPIRED:
		// It did not run now, but "not run" would promise more than that.
		w.Header().Set(HeaderOutcome, outcome.Label(outcome.Unknown{}))
		writeError(w, problem{status: http.StatusGone, kind: kindInvalid, code: "key_expired", message: "The " + HeaderKey + " is too old, or from the future: it was not run now, and may have run before.", param: HeaderKey})
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
