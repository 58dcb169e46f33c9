package retry

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// maxUnreachedInstances bounds how many instances a request may fail to reach: nothing was sent to
	// them, so they cost only time.
	maxUnreachedInstances = 4
	// requestRetryAfter is the Retry-After for callers when no instance accepted the request: an
	// instance that is full has processed a good part of its queue by then.
	requestRetryAfter = 300 * time.Millisecond
)

// RequestAttempts decides what to do after each attempt of one request to a service, according to
// the request's route. It does not read the clock. The exported fields must be set before Next is
// called.
type RequestAttempts struct {
	// MaxAttempts is the largest number of instances to which the request is sent.
	MaxAttempts int
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Streamed is true if the answer is a stream; if it is also idempotent, a broken one is resumed
	// after the last event that the caller received.
	Streamed bool

	sent, unreached int
	mayHaveRun      bool
}

// Next decides what to do after an attempt. takeBudget reports whether the budget allows one more
// send, and if so counts it.
func (t *RequestAttempts) Next(result Result, takeBudget func() bool) Step {
	t.Count(result)
	switch result := result.(type) {
	case Completed:
		if result.Status >= 500 && t.mayRetry(takeBudget) {
			return Dispatch{}
		}
		return Stop{outcome.Answered{Status: result.Status}}
	case CallerGone:
		return Stop{outcome.CallerGone}
	case Unreached:
		if result.NoPath {
			return Stop{t.giveUp(outcome.ReasonNoPath)}
		}
		if t.unreached < maxUnreachedInstances {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonUnreachable)}
	case Misdirected:
		if t.unreached < maxUnreachedInstances && takeBudget() {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonRefused)}
	case Refused:
		if t.sent < t.MaxAttempts && takeBudget() {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonRefused)}
	case Broken:
		return t.broken(result, takeBudget)
	}
	panic("retry: unknown result type")
}

// Count counts an attempt by its result. Next calls it; it is for attempts after which nothing is to be decided.
func (t *RequestAttempts) Count(result Result) {
	switch result := result.(type) {
	case Completed, Broken:
		t.sent++
		t.mayHaveRun = true
	case Refused:
		t.sent++
	case Misdirected:
		t.unreached++
	case Unreached:
		if !result.NoPath {
			t.unreached++
		}
	}
}

func (t *RequestAttempts) broken(result Broken, takeBudget func() bool) Step {
	if !t.Idempotent {
		if result.Sent > 0 {
			return Stop{outcome.Failed{Detail: "the answer broke off"}}
		}
		return Stop{outcome.Unknown{Detail: "the instance gave no whole answer"}}
	}
	if !t.mayRetry(takeBudget) {
		return Stop{outcome.Failed{Detail: "the answer broke off, and no attempt is left"}}
	}
	if t.Streamed && result.Sent > 0 {
		return Resume{Offset: result.Sent}
	}
	return Dispatch{}
}

// mayRetry reports whether a request that may have run can be sent again.
func (t *RequestAttempts) mayRetry(takeBudget func() bool) bool {
	return t.Idempotent && t.sent < t.MaxAttempts && takeBudget()
}

// MayFollow reports whether another attempt may be made after the one in progress, or beside it.
func (t *RequestAttempts) MayFollow() bool { return t.Idempotent && t.sent+1 < t.MaxAttempts }

// GiveUp returns the outcome when no instance is left to try.
func (t *RequestAttempts) GiveUp() outcome.Outcome { return t.giveUp(outcome.ReasonNoUpstream) }

// Reject returns the outcome when the request must not be sent (again) for the given reason; the
// caller may retry after the given time.
func (t *RequestAttempts) Reject(after time.Duration, reason outcome.Reason) outcome.Outcome {
	if t.mayHaveRun {
		return outcome.Failed{Detail: "no instance gave a whole answer"}
	}
	return outcome.NotRun{RetryAfter: after, Reason: reason}
}

func (t *RequestAttempts) giveUp(reason outcome.Reason) outcome.Outcome {
	return t.Reject(requestRetryAfter, reason)
}
