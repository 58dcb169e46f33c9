// Package outcome defines the closed set of outcomes of a request.
//
// The rest of the system relies on this invariant: NotRun is only produced when
// no upstream can have run the request, and Unknown whenever this cannot be
// determined. A caller that receives "not run" can safely send a request that is
// not idempotent again, such as a quote or a work order.
package outcome

import "time"

// Outcome is one of Answered, NotRun, Unknown or Failed.
type Outcome interface{ sealed() }

// Answered is the outcome of a request whose complete answer reached the calling side.
type Answered struct {
	// Status is the HTTP status of the upstream's answer, 200 to 599.
	Status int
}

// NotRun is the outcome of a request that no upstream has run.
type NotRun struct {
	// RetryAfter is how long the caller should wait before a retry. On the wire it is
	// rounded up to whole seconds and is never zero.
	RetryAfter time.Duration
	// Reason is the cause, for callers, logs and metrics.
	Reason Reason
}

// Unknown is the outcome of a request that may have run, completely or in part.
type Unknown struct {
	// Detail is the cause in words, for operators.
	Detail string
}

// CallerGone is the outcome of a request whose caller disconnected before it had an answer.
var CallerGone = Unknown{Detail: "the caller has gone"}

// Failed is the outcome of a request that ran at an upstream without a complete answer.
type Failed struct {
	// Detail is the cause in words, for operators.
	Detail string
}

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (Unknown) sealed()  {}
func (Failed) sealed()   {}

// Reason is the reason why a request was not run.
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
	// ReasonTeamShare means that engines are nearly full and the team has more than its share of them.
	ReasonTeamShare  Reason = "team_share"
	ReasonOldWeights Reason = "old_weights"
	ReasonEvacuated  Reason = "evacuated"
	// ReasonRegion means that no upstream is in a region in which the request's data may be.
	ReasonRegion     Reason = "no_allowed_region"
	ReasonCallerLeft Reason = "caller_left"
	// ReasonEndsInstances means that instances ended while they ran the request, and ReasonUnderWay that
	// an identical request, during which an instance ended, is still in flight.
	ReasonEndsInstances Reason = "ends_instances"
	ReasonUnderWay      Reason = "under_way"
	// ReasonPartEndsInstances means that instances ended while they ran prompts with one of the parts of this one.
	ReasonPartEndsInstances Reason = "prompt_part_ends_instances"
	// ReasonLimited means that the upstreams receive as many requests as their limits allow.
	ReasonLimited Reason = "upstream_limited"
	// ReasonNoPath means that the entry has lost its path to the upstreams, and no other entry has one.
	ReasonNoPath Reason = "no_path"
	// ReasonUnknownOrigin means that it is not known at which software version a resumed stream began, and
	// ReasonNoVersion that no upstream has that version.
	ReasonUnknownOrigin Reason = "unknown_origin"
	ReasonNoVersion     Reason = "no_software_version"
	// ReasonFull means that the upstreams, which stop if they refuse too much, have no room.
	ReasonFull Reason = "upstream_full"
	// ReasonResting means that the upstreams asked for a backoff.
	ReasonResting Reason = "upstream_resting"
)

// Label returns the short name of an outcome for metrics, logs and the header of the response.
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
