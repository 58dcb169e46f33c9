package retry

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// mostUnreached bounds the instances that a request does not reach one after the
	// other: nothing was sent to them, so they cost only time.
	mostUnreached = 4
	// returnAfter is when a caller may come back after a refusal: an instance that is full
	// has worked off a good part of its queue by then.
	returnAfter = 300 * time.Millisecond
)

// RequestAttempts decides what follows each attempt at one request whose route says how often it may
// run. It holds no clock. Set the exported fields before Next.
type RequestAttempts struct {
	// MaxAttempts is the largest number of instances to which the request is sent.
	MaxAttempts int
	// Idempotent says that it may run more than once.
	Idempotent bool
	// Streamed says that its answer is a stream; one that repeats goes on behind the last
	// event that the caller has.
	Streamed bool

	sent, unreached int
	ran             bool
}

// Next decides what follows an attempt; may is asked whether one more send is within the
// budget, and counts it when it is.
func (t *RequestAttempts) Next(end Result, may func() bool) Step {
	switch end := end.(type) {
	case Completed:
		t.sent++
		t.ran = true
		if end.Status >= 500 && t.again(may) {
			return Dispatch{}
		}
		return Stop{outcome.Answered{Status: end.Status}}
	case CallerGone:
		return Stop{outcome.CallerGone}
	case Unreached:
		t.unreached++
		if t.unreached < mostUnreached {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonUnreachable)}
	case Misdirected:
		t.unreached++
		if t.unreached < mostUnreached && may() {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonRefused)}
	case Refused:
		t.sent++
		if t.sent < t.MaxAttempts && may() {
			return Dispatch{}
		}
		return Stop{t.giveUp(outcome.ReasonRefused)}
	case Broken:
		return t.broken(end, may)
	}
	panic("retry: end outside the sealed set")
}

func (t *RequestAttempts) broken(end Broken, may func() bool) Step {
	t.sent++
	t.ran = true
	if !t.Idempotent {
		if end.Sent > 0 {
			return Stop{outcome.Failed{Detail: "the answer broke off"}}
		}
		return Stop{outcome.Unknown{Detail: "the instance gave no whole answer"}}
	}
	if !t.again(may) {
		return Stop{outcome.Failed{Detail: "the answer broke off, and no attempt is left"}}
	}
	if t.Streamed && end.Sent > 0 {
		return Resume{Offset: end.Sent}
	}
	return Dispatch{}
}

// again reports whether a request that ran may be sent once more.
func (t *RequestAttempts) again(may func() bool) bool {
	return t.Idempotent && t.sent < t.MaxAttempts && may()
}

// GiveUp is the outcome when no instance is left to try.
func (t *RequestAttempts) GiveUp() outcome.Outcome { return t.giveUp(outcome.ReasonNoUpstream) }

// Reject is the outcome when the request is not sent any more for a reason of its own, and a
// caller may come back after a while.
func (t *RequestAttempts) Reject(after time.Duration, reason outcome.Reason) outcome.Outcome {
	if t.ran {
		return outcome.Failed{Detail: "no instance gave a whole answer"}
	}
	return outcome.NotRun{RetryAfter: after, Reason: reason}
}

func (t *RequestAttempts) giveUp(reason outcome.Reason) outcome.Outcome {
	return t.Reject(returnAfter, reason)
}
