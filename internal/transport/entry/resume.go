package entry

import (
	"net/http"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/cursor"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// resumeStream continues a stream from a sealed cursor. Any entry can do so: the cursor
// names the engine and the run, and the engine holds the events.
func (e *Entry) resumeStream(w http.ResponseWriter, r *http.Request, c caller) {
	position, err := e.sealer.Open(c.team.Name(), r.Header.Get(engine.HeaderLastEvent))
	if err != nil {
		writeRejection(w, errorResponse{status: http.StatusNotFound, kind: kindInvalid, code: "stream_not_found", message: "There is no such stream.", param: engine.HeaderLastEvent})
		return
	}
	j, ok := e.jobFromCursor(position)
	if !ok {
		writeRejection(w, errorResponse{status: http.StatusNotFound, kind: kindInvalid, code: "stream_not_found", message: "There is no such stream."})
		return
	}
	s := &responder{w: w, team: c.team.Name(), sealer: e.sealer, reqMetrics: c.reqMetrics, sent: position.Offset}
	for n := range retry.MaxAttempts {
		end := e.resumeRun(r.Context(), j, s, s.sent)
		if isCompleted(end) {
			c.reqMetrics.countOutcome(outcome.Answered{})
			e.logOutcome(c, outcome.Answered{}, 1)
			return
		}
		if _, gone := end.(retry.CallerGone); gone || r.Context().Err() != nil {
			c.reqMetrics.countOutcome(outcome.CallerGone)
			e.logOutcome(c, outcome.CallerGone, n+1)
			e.recordIfBroken(c, outcome.CallerGone, s, j, n+1)
			return
		}
	}
	failed := outcome.Failed{Detail: "the run cannot be resumed"}
	c.reqMetrics.countOutcome(failed)
	e.logOutcome(c, failed, retry.MaxAttempts)
	e.recordIfBroken(c, failed, s, j, retry.MaxAttempts)
	s.writeFailure(outcome.Failed{Detail: "the run is no longer at its upstream"})
}

// jobFromCursor returns the job that a cursor refers to. The run ID ends in the
// attempt's number.
func (e *Entry) jobFromCursor(position cursor.Position) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.planner.UpstreamNumber(position.Upstream)
	if !ok {
		return nil, false
	}
	attempt, ok := attemptNumber(position.Run)
	if !ok {
		return nil, false
	}
	plan := placement.Plan{Name: position.Upstream, Address: e.planner.Address(n)}
	plan.Upstream = n
	return &job{request: &exchange.Request{}, runID: position.Run, attempt: attempt, plan: plan}, true
}
