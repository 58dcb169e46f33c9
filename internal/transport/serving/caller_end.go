package serving

import (
	"net"
	"syscall"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/state/outcome"
)

// callerEnd is how a caller was lost to whom an answer could not be written.
type callerEnd string

const (
	// callerLeft is a caller that closed or reset its connection.
	callerLeft callerEnd = "left"
	// callerTimedOut is a caller that did not take what was written in time.
	callerTimedOut callerEnd = "write_timed_out"
	// callerNotServed is a caller that took nothing while others needed the memory that its answer held.
	callerNotServed callerEnd = "not_taken"
	// callerClosedHere is a caller whose connection this process closed.
	callerClosedHere callerEnd = "closed_here"
	// callerWriteFailed is any other failed write.
	callerWriteFailed callerEnd = "write_failed"
)

// callerEndOf returns how a caller was lost, by the error of the last write to it, or nil if no write failed.
func callerEndOf(err error) callerEnd {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return callerLeft
	case errors.Is(err, errNotTaken):
		return callerNotServed
	case errors.Is(err, net.ErrClosed):
		return callerClosedHere
	case errors.As(err, &network) && network.Timeout():
		return callerTimedOut
	}
	return callerWriteFailed
}

// addCallerEnd counts a caller that was lost, and adds to the request's line how.
func (j *job) addCallerEnd(line *log.Entry, o outcome.Outcome) *log.Entry {
	if o != outcome.CallerGone {
		return line
	}
	end := callerEndOf(j.writeError)
	if end == callerLeft && j.server.cut.Load() {
		end = callerClosedHere
	}
	j.server.Metrics.callersGone.WithLabelValues(j.service, string(end)).Inc()
	line = line.Str("caller", string(end))
	if j.writeError != nil {
		line = line.Str("write_error", j.writeError.Error())
	}
	return line
}
