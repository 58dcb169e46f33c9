package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Headers towards callers.
const (
	// HeaderOutcome says "ran", "not run", "unknown" or "failed".
	HeaderOutcome = "X-Shedrock-Outcome"
	// HeaderReason gives the typed cause of a refusal.
	HeaderReason = "X-Shedrock-Reason"
	// HeaderRequestID carries the request's id, which is in every log line about it.
	HeaderRequestID = "X-Request-Id"
	// HeaderClass asks for a class of service.
	HeaderClass = "X-Shedrock-Class"
	// HeaderDeadline says after how many milliseconds a first token is of no use.
	HeaderDeadline = "X-Shedrock-Deadline-Ms"
	// HeaderIdempotencyKey names a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// problem is an answer that refuses a request before it is admitted.
type problem struct {
	status              int
	kind, code, message string
	// param names the faulty field, or is empty.
	param string
}

// Kinds of error, in the words of OpenAI-compatible clients.
const (
	kindInvalid     = "invalid_request_error"
	kindAuth        = "authentication_error"
	kindRate        = "rate_limit_error"
	kindUnavailable = "server_error"
)

// refuse writes a problem; nothing of the request has run.
func refuse(w http.ResponseWriter, p problem) {
	w.Header().Set(HeaderOutcome, outcome.Label(outcome.NotRun{}))
	writeError(w, p)
}

func writeError(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	_, _ = w.Write(openai.ErrorBody(p.kind, p.code, p.message, p.param))
}

// writeOutcome writes the final answer of a request that has no answer of an
// upstream. It is written at once; Retry-After tells the caller when to come back.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	w.Header().Set(HeaderOutcome, outcome.Label(o))
	switch o := o.(type) {
	case outcome.NotRun:
		w.Header().Set("Retry-After", retryAfter(o.RetryAfter))
		w.Header().Set(HeaderReason, string(o.Reason))
		writeError(w, notRunProblem(o))
	case outcome.Unknown:
		writeError(w, problem{status: http.StatusBadGateway, kind: kindUnavailable, code: "unknown", message: "The request may have run: " + o.Detail + "."})
	case outcome.Failed:
		w.Header().Set("Retry-After", retryAfter(time.Second))
		writeError(w, problem{status: http.StatusBadGateway, kind: kindUnavailable, code: "failed", message: "The request gave no whole answer: " + o.Detail + "."})
	case outcome.Answered:
		panic("entry: an answered request has its answer already")
	}
}

func notRunProblem(o outcome.NotRun) problem {
	p := problem{status: http.StatusServiceUnavailable, kind: kindUnavailable, code: string(o.Reason)}
	switch o.Reason {
	case outcome.ReasonQueueFull, outcome.ReasonTeamQueueFull, outcome.ReasonTeamRate, outcome.ReasonDeadline:
		p.status = http.StatusTooManyRequests
		p.kind = kindRate
	}
	p.message = "The request was not run (" + string(o.Reason) + "). Try again after " + retryAfter(o.RetryAfter) + " s."
	return p
}

// retryAfter rounds up to whole seconds, and is never zero.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(d.Seconds(), 1))))
}
