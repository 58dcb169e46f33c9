package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Headers of callers' requests and of the responses to them.
const (
	// HeaderOutcome is the outcome: "ran", "not run", "unknown" or "failed".
	HeaderOutcome = "X-Shedrock-Outcome"
	// HeaderReason is the machine-readable reason of a refusal.
	HeaderReason = "X-Shedrock-Reason"
	// HeaderRequestID is the ID of the request, which appears in every log line about
	// it.
	HeaderRequestID = "X-Request-Id"
	// HeaderClass selects the request class, "interactive" or "batch".
	HeaderClass = "X-Shedrock-Class"
	// HeaderDeadline is the number of milliseconds after which a first token is of no
	// use to the caller.
	HeaderDeadline = "X-Shedrock-Deadline-Ms"
	// HeaderIdempotencyKey identifies a service call that must not run more than once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// errorResponse is an error response that the entry itself generates, in the format of
// the OpenAI API.
type errorResponse struct {
	status              int
	kind, code, message string
	// param is the name of the invalid field or header, or empty.
	param string
}

// Error types as OpenAI-compatible clients know them.
const (
	kindInvalid     = "invalid_request_error"
	kindAuth        = "authentication_error"
	kindRate        = "rate_limit_error"
	kindUnavailable = "server_error"
)

// writeRejection writes the error response to a request of which nothing has run.
func writeRejection(w http.ResponseWriter, p errorResponse) {
	w.Header().Set(HeaderOutcome, outcome.Label(outcome.NotRun{}))
	writeError(w, p)
}

func writeError(w http.ResponseWriter, p errorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	_, _ = w.Write(openai.ErrorBody(p.kind, p.code, p.message, p.param))
}

// writeOutcome writes the final outcome of a request for which no upstream response is
// forwarded. Retry-After tells the caller when to retry.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	w.Header().Set(HeaderOutcome, outcome.Label(o))
	switch o := o.(type) {
	case outcome.NotRun:
		w.Header().Set("Retry-After", retryAfter(o.RetryAfter))
		w.Header().Set(HeaderReason, string(o.Reason))
		writeError(w, notRunResponse(o))
	case outcome.Unknown:
		writeError(w, errorResponse{status: http.StatusBadGateway, kind: kindUnavailable, code: "unknown", message: "The request may have run: " + o.Detail + "."})
	case outcome.Failed:
		w.Header().Set("Retry-After", retryAfter(time.Second))
		writeError(w, errorResponse{status: http.StatusBadGateway, kind: kindUnavailable, code: "failed", message: "The request gave no whole answer: " + o.Detail + "."})
	case outcome.Answered:
		panic("entry: writeOutcome called for an answered request")
	}
}

func notRunResponse(o outcome.NotRun) errorResponse {
	p := errorResponse{status: http.StatusServiceUnavailable, kind: kindUnavailable, code: string(o.Reason)}
	switch o.Reason {
	case outcome.ReasonQueueFull, outcome.ReasonTeamQueueFull, outcome.ReasonTeamRate, outcome.ReasonDeadline:
		p.status = http.StatusTooManyRequests
		p.kind = kindRate
	}
	p.message = "The request was not run (" + string(o.Reason) + "). Try again after " + retryAfter(o.RetryAfter) + " s."
	return p
}

// retryAfter formats a duration in whole seconds, rounded up, and at least 1.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(d.Seconds(), 1))))
}
