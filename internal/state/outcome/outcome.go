// Package outcome holds the sealed set of results that a request can have.
//
// The invariant that the rest of the system leans on: NotRun is only ever
// produced when the upstream cannot have run the request, and Unknown is
// produced whenever nobody can tell. A caller who is told "not run" may safely
// send a quote or a work order again.
package outcome

import "time"

// Outcome is one of Answered, NotRun, Unknown or Failed.
type Outcome interface{ sealed() }

// Answered says that the whole answer to this request reached the caller's side.
type Answered struct {
	// Status is the HTTP status of the upstream's answer, 200 to 599.
	Status int
}

// NotRun says that the request ran nowhere.
type NotRun struct {
	// RetryAfter is how long the caller should wait; it is rounded up to whole
	// seconds on the wire and is never zero there.
	RetryAfter time.Duration
	// Reason is a typed cause, for callers, logs and metrics.
	Reason Reason
}

// Unknown says that the request may have run, wholly or in part.
type Unknown struct {
	// Detail is an operator-readable cause.
	Detail string
}

// CallerGone is the outcome of a request whose caller left before it had an answer.
var CallerGone = Unknown{Detail: "the caller has gone"}

// Failed says that the request reached an upstream, ran, and gave no whole answer.
type Failed struct {
	// Detail is an operator-readable cause.
	Detail string
}

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (Unknown) sealed()  {}
func (Failed) sealed()   {}

// Reason names why a request was not run.
type Reason string

// The reasons for which a request is not run.
const (
	ReasonQueueFull     Reason = "queue_full"
	ReasonTeamQueueFull Reason = "team_queue_full"
	ReasonTeamRate      Reason = "team_rate"
	ReasonDeadline      Reason = "deadline"
	ReasonNoUpstream    Reason = "no_upstream"
	ReasonRefused       Reason = "upstream_refused"
	ReasonUnreachable   Reason = "upstream_unreachable"
	ReasonNoMajority    Reason = "no_majority"
	ReasonNotReady      Reason = "entry_not_ready"
	ReasonLeaving       Reason = "entry_leaving"
	ReasonRecordsFull   Reason = "records_full"
	ReasonNoRoom        Reason = "no_room"
	ReasonOldWeights    Reason = "old_weights"
	ReasonEvacuated     Reason = "evacuated"
	ReasonCallerLeft    Reason = "caller_left"
	// ReasonEndsInstances says that instances ended under the request, and ReasonUnderWay that the
	// same one is under way, under which one did.
	ReasonEndsInstances Reason = "ends_instances"
	ReasonUnderWay      Reason = "under_way"
	// ReasonLimited says that the upstreams have limits, and get as many requests as they take.
	ReasonLimited Reason = "upstream_limited"
	// ReasonResting says that the upstreams asked for rest.
	ReasonResting Reason = "upstream_resting"
)

// Label is the short name of an outcome for metrics, logs and the caller's header.
func Label(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "ran"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	case Failed:
		return "failed"
	}
	panic("outcome: value outside the sealed set")
}
