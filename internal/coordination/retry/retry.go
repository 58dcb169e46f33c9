// Package retry decides what follows when an attempt to run a prompt ends.
//
// Two rules bound it. Once a caller has been sent part of an answer, only the
// same run may go on: two generations are never spliced. And retries are a share
// of the traffic, so that upstreams that are all slow are not asked ever more
// often.
package retry

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// MaxAttempts bounds the dispatches of one prompt that reached an upstream, the
	// first included.
	MaxAttempts = 3
	// MaxUnreached bounds the dispatches that reached none. They cost no upstream
	// anything, and dead upstreams look idle, so that several are met in a row.
	MaxUnreached = 8
	// maxResumes bounds how often one run is picked up again.
	maxResumes = 2
	// retryAfter is what a caller is told when no upstream took the prompt.
	retryAfter = time.Second
)

// Result says how an attempt ended. It is one of Whole, Refused, Unreached,
// Misdirected, Broken or CallerGone.
type Result interface{ end() }

// Completed says that the whole answer was passed on.
type Completed struct{ Status int }

// Refused says that the upstream refused this very run, and named it.
type Refused struct{}

// Unreached says that no byte of the request reached the upstream.
type Unreached struct{}

// Misdirected says that the upstream got the request and did not run it, because it is
// not the one that was meant or has other weights.
type Misdirected struct{}

// Broken says that the answer ended early or belonged to another run. Sent is
// how many events the caller has been sent.
type Broken struct{ Sent uint64 }

// CallerGone says that nobody waits for the answer.
type CallerGone struct{}

func (Completed) end()   {}
func (Refused) end()     {}
func (Unreached) end()   {}
func (Misdirected) end() {}
func (Broken) end()      {}
func (CallerGone) end()  {}

// Label is the short name of an end for metrics and logs.
func Label(end Result) string {
	switch end.(type) {
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
	panic("retry: end outside the sealed set")
}

// Step is what follows. It is one of Dispatch, Resume or Stop.
type Step interface{ step() }

// Dispatch tries another upstream.
type Dispatch struct{}

// Resume goes on with the same run at the same upstream after Offset events.
type Resume struct{ Offset uint64 }

// Stop ends the request with its final outcome.
type Stop struct{ Outcome outcome.Outcome }

func (Dispatch) step() {}
func (Resume) step()   {}
func (Stop) step()     {}

// PromptAttempts is the state of one prompt's attempts. The zero value has made none.
type PromptAttempts struct {
	// attempts counts dispatches, unreached those of them that reached no upstream,
	// and resumes how often the present run was picked up.
	attempts, unreached, resumes int
	// reached is true once any attempt may have run.
	reached bool
}

// Attempts returns the number of dispatches.
func (r *PromptAttempts) Attempts() int { return r.attempts }

// Begin counts a dispatch and returns its number, from 1.
func (r *PromptAttempts) Begin() int {
	r.attempts++
	r.resumes = 0
	return r.attempts
}

// Next decides what follows the end of an attempt. streamed is true when the
// engine's run can be picked up by offset.
func (r *PromptAttempts) Next(end Result, streamed bool, budget *Budget) Step {
	switch end := end.(type) {
	case Completed:
		return Stop{outcome.Answered{Status: end.Status}}
	case CallerGone:
		return Stop{outcome.CallerGone}
	case Refused:
		return r.again(outcome.ReasonRefused, budget)
	case Unreached, Misdirected:
		return r.elsewhere()
	case Broken:
		r.reached = true
		if streamed && r.resumes < maxResumes {
			r.resumes++
			return Resume{Offset: end.Sent}
		}
		if end.Sent > 0 {
			return Stop{outcome.Failed{Detail: "the answer broke off and its run cannot go on"}}
		}
		return r.again(outcome.ReasonUnreachable, budget)
	}
	panic("retry: end outside the sealed set")
}

// again dispatches anew within the bounds, or ends the request.
func (r *PromptAttempts) again(reason outcome.Reason, budget *Budget) Step {
	if r.attempts-r.unreached < MaxAttempts && budget.Take() {
		return Dispatch{}
	}
	return Stop{r.GiveUp(reason)}
}

// elsewhere dispatches anew after an upstream was not reached. That is no retry in
// the budget's sense: nothing was asked of anybody.
func (r *PromptAttempts) elsewhere() Step {
	r.unreached++
	if r.unreached < MaxUnreached {
		return Dispatch{}
	}
	return Stop{r.GiveUp(outcome.ReasonUnreachable)}
}

// GiveUp is the outcome when no further attempt is made: NotRun only when no
// attempt can have run.
func (r *PromptAttempts) GiveUp(reason outcome.Reason) outcome.Outcome {
	return r.Reject(retryAfter, reason)
}

// Reject is the outcome when the prompt is not sent any more for a reason of its own, and a
// caller may come back after a while.
func (r *PromptAttempts) Reject(after time.Duration, reason outcome.Reason) outcome.Outcome {
	if r.reached {
		return outcome.Failed{Detail: "no upstream gave a whole answer"}
	}
	return outcome.NotRun{RetryAfter: after, Reason: reason}
}

const (
	// budgetShare is how many retries each request earns.
	budgetShare = 0.1
	// budgetMost is how many retries may be saved up.
	budgetMost = 20
)

// Budget bounds retries to a share of the requests. It is not safe for
// concurrent use.
type Budget struct {
	// saved is the number of retries that may be made now, at most budgetMost.
	saved float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{saved: budgetMost} }

// Earn notes a request.
func (b *Budget) Earn() { b.saved = min(b.saved+budgetShare, budgetMost) }

// Take uses one retry; it reports false when none is left.
func (b *Budget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
