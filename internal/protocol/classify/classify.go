// Package classify maps the result of an HTTP request to an upstream to an outcome.
//
// Only this package may classify a request as NotRun after an attempt to send
// it, and it does so in two cases only: no byte of the request was written to
// the connection, or the upstream refused this run and echoed its id.
package classify

import (
	"net/http"
	"strconv"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// Exchange describes one request to an upstream and its response, if any.
type Exchange struct {
	// Run and Attempt are the run's id and the attempt's number that were sent.
	Run     string
	Attempt int
	// Written counts the request's bytes written to the connection, headers
	// included, whether or not the upstream received them.
	Written int64
	// Err is the transport's error, or nil if there is a response.
	Err error
	// Status and Header are those of the response.
	Status int
	Header http.Header
}

// Outcome classifies an exchange whose body has not been read yet. Answered
// means that the response echoes this run and attempt, whatever its status.
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

// Echoed reports whether the response's headers echo the run and the attempt that were sent.
func Echoed(x Exchange) bool {
	return x.Header.Get(engine.HeaderRun) == x.Run && x.Header.Get(engine.HeaderAttempt) == strconv.Itoa(x.Attempt)
}
