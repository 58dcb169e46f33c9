package serving

import (
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

// callerNotServed is a caller that took nothing while others needed the memory that its answer held.
const callerNotServed httpserve.WriteEnd = "not_taken"

// callerEnd returns how a caller was lost to whom the answer could not be written.
func (j *job) callerEnd() httpserve.WriteEnd {
	if j.writeError == errNotTaken {
		return callerNotServed
	}
	end := httpserve.WriteEndOf(j.writeError)
	if end == httpserve.PeerLeft && j.server.cut.Load() {
		return httpserve.ClosedHere
	}
	return end
}

// addCallerEnd counts a caller that was lost, and adds to the request's line how.
func (j *job) addCallerEnd(line *log.Entry, o outcome.Outcome) *log.Entry {
	if o != outcome.CallerGone {
		return line
	}
	end := j.callerEnd()
	j.server.Metrics.callersGone.WithLabelValues(j.service, string(end)).Inc()
	line = line.Str("caller", string(end))
	if j.writeError != nil {
		line = line.Str("write_error", j.writeError.Error())
	}
	return line
}
