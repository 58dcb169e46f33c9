package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 256

// serviceCall is one call to a service, a back end that does not run a model.
type serviceCall struct {
	service declared.Service
	request *exchange.Request
	runID   string
}

// handleService handles a call to a service.
func (e *Entry) handleService(w http.ResponseWriter, r *http.Request, c caller) {
	name := r.PathValue("service")
	service, ok := e.state.Load().Service(name)
	if !ok || !c.team.MayUseService(name) {
		message := fmt.Sprintf("The service %q does not exist.", name)
		writeRejection(w, errorResponse{status: http.StatusNotFound, kind: kindInvalid, code: "service_not_found", message: message})
		return
	}
	body, p, ok := e.readBody(w, r)
	if !ok {
		writeRejection(w, p)
		return
	}
	call := &serviceCall{service: service, request: c.serviceRequest(r, body), runID: c.requestID + "-1"}
	if service.Repeatable(r.Method, call.request.Path) {
		e.callRepeatable(w, r, c, call)
		return
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		message := fmt.Sprintf("%s %s may not be repeated: an %s of 1 to %d bytes is needed.", r.Method, call.request.Path, HeaderIdempotencyKey, maxKeyBytes)
		writeRejection(w, errorResponse{status: http.StatusBadRequest, kind: kindInvalid, code: "missing_idempotency_key", message: message, param: HeaderIdempotencyKey})
		return
	}
	e.callOnce(w, r, c, call, key)
}

// serviceRequest returns the call as it is sent to the service's instances. The
// caller's idempotency key is forwarded for services that check keys themselves.
func (c caller) serviceRequest(r *http.Request, body []byte) *exchange.Request {
	out := &exchange.Request{
		ID: c.requestID, Method: r.Method, Path: "/" + r.PathValue("path"), Body: body, Header: http.Header{}, Arrived: c.reqMetrics.arrived,
	}
	out.Target = (&url.URL{Path: out.Path, RawQuery: r.URL.RawQuery}).RequestURI()
	for _, name := range []string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if v := r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	return out
}

// attempt returns the call in the form that is sent to one instance.
func (call *serviceCall) attempt(instance string, number int, single bool) *exchange.Attempt {
	return &exchange.Attempt{
		Request: call.request, Instance: registry.Instance{ID: instance, Service: serviceGroup + call.service.Name(), Address: instance}, Run: call.runID, Number: number, Single: single,
	}
}

// result is a service's complete response, or the reason why there is none.
type result struct {
	outcome     outcome.Outcome
	status      int
	contentType string
	body        []byte
}

func resultOf(reply exchange.Reply) result {
	switch reply := reply.(type) {
	case exchange.Unreached:
		if reply.NoPath {
			return result{outcome: outcome.NotRun{Reason: outcome.ReasonNoPath}}
		}
		return result{outcome: outcome.NotRun{Reason: outcome.ReasonUnreachable}}
	case exchange.NotRun:
		return result{outcome: outcome.NotRun{Reason: outcome.ReasonRefused}}
	case exchange.Broken:
		return result{outcome: outcome.Unknown{Detail: reply.Err.Error()}}
	case exchange.Whole:
		return result{
			outcome: outcome.Answered{Status: reply.Head.Status}, status: reply.Head.Status,
			contentType: reply.Head.Header.Get("Content-Type"), body: reply.Body,
		}
	}
	panic("entry: unexpected reply to a service call")
}

// callRepeatable tries the service's instances until one answers.
func (e *Entry) callRepeatable(w http.ResponseWriter, r *http.Request, c caller, call *serviceCall) {
	ctx, cancel := context.WithTimeout(r.Context(), call.service.Timeout())
	defer cancel()
	available, last := e.available(call.service.Instances())
	for i, instance := range shuffled(available) {
		if i >= retry.MaxAttempts || i > 0 && !e.takeRetry() {
			break
		}
		res, sent := e.sendCall(ctx, c, call, instance, i+1, false)
		last = combineResults(last, res)
		if _, ok := last.outcome.(outcome.Answered); ok || !sent {
			break
		}
	}
	e.finishCall(w, c, last)
}

// combineResults combines the results of two successive attempts: when the first may
// have run, a later attempt that did not run must not turn the outcome into "not run".
func combineResults(before, after result) result {
	_, unknown := before.outcome.(outcome.Unknown)
	_, notRun := after.outcome.(outcome.NotRun)
	if unknown && notRun {
		return before
	}
	return after
}

func (e *Entry) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take()
}

func shuffled(instances []string) []string {
	out := append([]string(nil), instances...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// finishCall records the result of a call and writes it to the caller.
func (e *Entry) finishCall(w http.ResponseWriter, c caller, res result) {
	if n, ok := res.outcome.(outcome.NotRun); ok && n.RetryAfter == 0 {
		n.RetryAfter = time.Second
		res.outcome = n
	}
	c.reqMetrics.countOutcome(res.outcome)
	e.logOutcome(c, res.outcome, 1)
	if _, ok := res.outcome.(outcome.Answered); !ok {
		writeOutcome(w, res.outcome)
		return
	}
	e.writeAnswer(w, c, res)
}

// writeAnswer writes a service's answer to the caller.
func (e *Entry) writeAnswer(w http.ResponseWriter, c caller, res result) {
	if res.contentType != "" {
		w.Header().Set("Content-Type", res.contentType)
	}
	w.Header().Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
	w.WriteHeader(res.status)
	_, err := w.Write(res.body)
	if err != nil {
		e.recordBroken(c, outcome.CallerGone, lostAnswer{attempts: 1, writeError: err})
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
