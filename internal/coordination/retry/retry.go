// Package retry decides what to do when an attempt to run a request ends.
//
// Two rules bound it. Once a caller has been sent part of an answer, only the same run may continue
// it: the output of two runs is never spliced. And retries are limited to a share of the traffic,
// so that retries do not amplify the load when all upstreams are slow.
package retry

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// MaxAttempts bounds the dispatches of one prompt that reached an upstream, including the
	// first.
	MaxAttempts = 3
	// MaxUnreached bounds the dispatches that reached no upstream. They cost the upstreams nothing,
	// and because dead upstreams look idle, several may be chosen in a row.
	MaxUnreached = 8
	// maxResumes bounds how often one run is resumed.
	maxResumes = 2
	// promptRetryAfter is the Retry-After for callers when no upstream accepted the prompt.
	promptRetryAfter = time.Second
)

// Result is how an attempt ended. It is one of Completed, Refused, Unreached, Misdirected, Broken
// or CallerGone.
type Result interface{ result() }

// Completed means that the whole answer was passed on to the caller.
type Completed struct{ Status int }

// Refused means that the upstream refused this run, identifying it by its ID.
type Refused struct{}

// Unreached means that no byte of the request reached the upstream.
type Unreached struct {
	// NoPath means that no other upstream can be reached either.
	NoPath bool
}

// Misdirected means that the upstream received the request but did not run it, because it is not
// the intended instance or serves another weight version.
type Misdirected struct{}

// Broken means that the answer ended early or belonged to another run. Sent is how many events the
// caller has been sent.
type Broken struct{ Sent uint64 }

// CallerGone means that the caller disconnected.
type CallerGone struct{}

func (Completed) result()   {}
func (Refused) result()     {}
func (Unreached) result()   {}
func (Misdirected) result() {}
func (Broken) result()      {}
func (CallerGone) result()  {}

// Label returns the name of a result in metrics and logs.
func Label(result Result) string {
	switch result.(type) {
	case Completed:
		return "whole"
	case Refused:
		return "refused"
	case Unreached:
		return "unreached"
	case Misdirected:
		return "misdirected"
	case Broken:
		return "broken"
	case CallerGone:
		return "caller_gone"
	}
	panic("retry: unknown result type")
}

// Step is what to do next. It is one of Dispatch, Resume or Stop.
type Step interface{ step() }

// Dispatch sends the request to another upstream.
type Dispatch struct{}

// Resume continues the same run on the same upstream after Offset events.
type Resume struct{ Offset uint64 }

// Stop ends the request with its final outcome.
type Stop struct{ Outcome outcome.Outcome }

func (Dispatch) step() {}
func (Resume) step()   {}
func (Stop) step()     {}

// PromptAttempts is the state of the attempts of one prompt. The zero value is ready for use.
type PromptAttempts struct {
	// attempts counts dispatches, unreached those among them that reached no upstream, and resumes
	// how often the current run was resumed.
	attempts, unreached, resumes int
	// mayHaveRun is true once any attempt may have run.
	mayHaveRun bool
}

// Attempts returns the number of dispatches.
func (r *PromptAttempts) Attempts() int { return r.attempts }

// Begin counts a dispatch and returns its number, starting from 1.
func (r *PromptAttempts) Begin() int {
	r.attempts++
	r.resumes = 0
	return r.attempts
}

// Next decides what to do after an attempt. streamed is true if the engine's run can be resumed at
// an offset.
func (r *PromptAttempts) Next(result Result, streamed bool, budget *Budget) Step {
	switch result := result.(type) {
	case Completed:
		return Stop{outcome.Answered{Status: result.Status}}
	case CallerGone:
		return Stop{outcome.CallerGone}
	case Refused:
		return r.redispatch(outcome.ReasonRefused, budget)
	case Unreached:
		if result.NoPath {
			return Stop{r.GiveUp(outcome.ReasonNoPath)}
		}
		return r.dispatchElsewhere()
	case Misdirected:
		return r.dispatchElsewhere()
	case Broken:
		r.mayHaveRun = true
		if streamed && r.resumes < maxResumes {
			r.resumes++
			return Resume{Offset: result.Sent}
		}
		if result.Sent > 0 {
			return Stop{outcome.Failed{Detail: "the answer broke off and its run cannot go on"}}
		}
		return r.redispatch(outcome.ReasonUnreachable, budget)
	}
	panic("retry: unknown result type")
}

// redispatch sends the request to another upstream within the bounds, or ends it.
func (r *PromptAttempts) redispatch(reason outcome.Reason, budget *Budget) Step {
	if r.attempts-r.unreached < MaxAttempts && budget.Take() {
		return Dispatch{}
	}
	return Stop{r.GiveUp(reason)}
}

// dispatchElsewhere sends the request to another upstream after one was not reached. That does not
// use the retry budget, because no upstream had any work from it.
func (r *PromptAttempts) dispatchElsewhere() Step {
	r.unreached++
	if r.unreached < MaxUnreached {
		return Dispatch{}
	}
	return Stop{r.GiveUp(outcome.ReasonUnreachable)}
}

// GiveUp returns the outcome when no further attempt is made: NotRun only if no attempt can have
// run.
func (r *PromptAttempts) GiveUp(reason outcome.Reason) outcome.Outcome {
	return r.Reject(promptRetryAfter, reason)
}

// Reject returns the outcome when the prompt must not be sent (again) for the given reason; the
// caller may retry after the given time.
func (r *PromptAttempts) Reject(after time.Duration, reason outcome.Reason) outcome.Outcome {
	if r.mayHaveRun {
		return outcome.Failed{Detail: "no upstream gave a whole answer"}
	}
	return outcome.NotRun{RetryAfter: after, Reason: reason}
}

const (
	// retriesPerRequest is how many retries each request adds to the budget.
	retriesPerRequest = 0.1
	// maxBudget is how many unused retries may accumulate.
	maxBudget = 20
)

// Budget limits retries to a share of the requests. It is not safe for concurrent use.
type Budget struct {
	// available is the number of retries that may be made now, at most maxBudget.
	available float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{available: maxBudget} }

// Earn adds the share of one request to the budget.
func (b *Budget) Earn() { b.available = min(b.available+retriesPerRequest, maxBudget) }

// Take uses one retry; it returns false if none is left.
func (b *Budget) Take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
