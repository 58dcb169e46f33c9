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

// resumeStream goes on with a stream from a sealed cursor. Any entry can do it:
// the cursor names the engine and the run, and the engine holds the events.
func (e *Entry) resumeStream(w http.ResponseWriter, r *http.Request, c caller) {
	place, err := e.sealer.Open(c.team.Name(), r.Header.Get(engine.HeaderLastEvent))
	if err != nil {
		refuse(w, problem{status: http.StatusNotFound, kind: kindInvalid, code: "stream_not_found", message: "There is no such stream.", param: engine.HeaderLastEvent})
		return
	}
	j, ok := e.jobOf(place)
	if !ok {
		refuse(w, problem{status: http.StatusNotFound, kind: kindInvalid, code: "stream_not_found", message: "There is no such stream."})
		return
	}
	s := &sink{w: w, team: c.team.Name(), sealer: e.sealer, flow: c.flow, sent: place.Offset}
	for range retry.MaxAttempts {
		end := e.pickUp(r.Context(), j, s, s.sent)
		switch end.(type) {
		case retry.Completed:
			c.flow.ended(outcome.Answered{})
			e.logOutcome(c, outcome.Answered{}, 1)
			return
		case retry.CallerGone:
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
	e.logOutcome(c, outcome.Failed{Detail: "the run cannot be resumed"}, 1)
	s.fail(outcome.Failed{Detail: "the run is no longer at its upstream"})
}

// jobOf makes the job that a cursor names. The attempt's number is the end of the
// run's id.
func (e *Entry) jobOf(place cursor.Place) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.board.UpstreamNumber(place.Upstream)
	if !ok {
		return nil, false
	}
	attempt, ok := attemptOf(place.Run)
	if !ok {
		return nil, false
	}
	plan := placement.Plan{Name: place.Upstream, Address: e.board.Address(n)}
	plan.Upstream = n
	return &job{request: &exchange.Request{}, run: place.Run, attempt: attempt, plan: plan}, true
}
