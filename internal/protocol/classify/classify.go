// Package classify turns what happened on a connection into an outcome.
//
// It alone may say NotRun of a request that was sent, and it says so in two
// cases only: no byte of the request reached the upstream, or the upstream
// refused this very run by its id.
package classify

import (
	"net/http"
	"strconv"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Exchange is what is known of one request to an upstream.
type Exchange struct {
	// Run and Attempt are what was sent.
	Run     string
	Attempt int
	// Written counts the bytes of the request handed to the connection; headers
	// count, and so does a byte that the other side may never have seen.
	Written int64
	// Err is the transport's error, or nil when there is an answer.
	Err error
	// Status and Header are those of the answer.
	Status int
	Header http.Header
}

// Outcome classifies an exchange whose body has not been read yet. Answered
// means that the answer is this run's own, whatever its status.
func Outcome(x Exchange) outcome.Outcome {
	if x.Err != nil {
		if x.Written == 0 {
			return outcome.NotRun{Reason: outcome.ReasonUnreachable}
		}
		return outcome.Unknown{Detail: "the connection broke after the request was sent"}
	}
	if !Echoed(x) {
		return outcome.Unknown{Detail: "the answer belongs to another run"}
	}
	if x.Header.Get(engine.HeaderNotRun) == "true" && x.Status >= http.StatusTooManyRequests {
		return outcome.NotRun{Reason: outcome.ReasonRefused}
	}
	if x.Header.Get(engine.HeaderNotRun) == "true" && x.Status == http.StatusConflict {
		return outcome.NotRun{Reason: outcome.ReasonRefused}
	}
	if x.Status >= http.StatusMultipleChoices && x.Status < http.StatusBadRequest {
		return outcome.Unknown{Detail: "the upstream answered with a redirect, which is never followed"}
	}
	return outcome.Answered{Status: x.Status}
}

// Echoed reports whether the answer names the run and the attempt that were sent.
func Echoed(x Exchange) bool {
	return x.Header.Get(engine.HeaderRun) == x.Run && x.Header.Get(engine.HeaderAttempt) == strconv.Itoa(x.Attempt)
}
