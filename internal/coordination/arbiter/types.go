package arbiter

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Engine is an engine of a service.
type Engine struct {
	registry.Incarnation
	FailureDomain string
}

// Request is a long prompt to be placed at an engine.
type Request struct {
	// ID is unique per attempt; releases refer to it.
	ID string
	// Digest is unchanged when the caller sends the same request again.
	Digest quarantine.Digest
	// Service is the service whose engines may run the request.
	Service string
	// Key is the hash of the shared prefix, or 0 for none.
	Key uint64
	// Tokens is the maximum memory that the request takes.
	Tokens int
	// Urgency is 0 for the most urgent requests.
	Urgency int
	Team    string
	// Resumes says that the request continues an answer that has begun. It is never refused.
	Resumes bool
	// Excluded holds the ids of engines that the entry cannot use.
	Excluded map[string]bool
	// Objective is the time until the first piece of the answer is due, and Remaining the time until the
	// deadline.
	Objective, Remaining time.Duration
}

// longestWait returns the longest time until the caller is to send the request again after a refusal.
func (r Request) longestWait() time.Duration {
	wait := r.Remaining / callerPatience
	if r.Objective > 0 {
		wait = min(wait, r.Objective*returnNumerator/returnDenominator)
	}
	return wait
}

// Decision is the answer to a Request. It is one of Grant, Refusal and Unknown.
type Decision interface{ decision() }

// Grant places a request.
type Grant struct {
	Engine registry.Incarnation
	// Free is how many tokens of the engine's memory were free before the grant.
	Free int
}

// Refusal says that a request must not be sent now.
type Refusal struct {
	// RetryAfter is when the caller is to send the request again.
	RetryAfter time.Duration
	Reason     Reason
}

// Unknown says that too few loads are known to decide.
type Unknown struct{}

func (Grant) decision()   {}
func (Refusal) decision() {}
func (Unknown) decision() {}

// Reason is why a request was refused.
type Reason int

const (
	// NoRoom is the reason if no engine has room, or if the room is withheld for requests that go first.
	NoRoom Reason = iota
	// OverShare is the reason if room is short and the team holds more than its fair share.
	OverShare
	// NoTime is the reason if no engine has room and none is expected to have any before the deadline.
	NoTime
	reasons
)

func (r Reason) String() string {
	switch r {
	case NoRoom:
		return "no_room"
	case OverShare:
		return "over_share"
	case NoTime:
		return "no_time"
	case reasons:
	}
	return "unknown"
}

// Returns chooses when refused requests are to return, and reserves room for them.
type Returns interface {
	// Refuse records a refusal and returns when the caller is to retry, at most maxWait later.
	Refuse(digest quarantine.Digest, tokens, urgency int, maxWait time.Duration, now time.Time) (after time.Duration)
	// Due reports whether a request was refused and returns at its time.
	Due(digest quarantine.Digest, now time.Time) bool
	// Served records that a request was granted an engine.
	Served(digest quarantine.Digest)
	// Reserved returns the tokens of the returns that are due soon and at least as urgent.
	Reserved(urgency int, now time.Time) int
	// RecordRelease records that memory has become free.
	RecordRelease(tokens int, now time.Time)
}

// Stats holds the counters of an Arbiter.
type Stats struct {
	Services map[string]ServiceStats
	// Unlisted counts the requests for services without engines; they are answered with Unknown.
	Unlisted int64
}

// ServiceStats holds the counters of a service. Grants, Refusals, Unknown and SingleReader only grow.
type ServiceStats struct {
	// Grants counts the placed requests, and SingleReader those of them that went to the engine that
	// reads the same prefix.
	Grants, SingleReader int64
	Refusals             map[Reason]int64
	// Unknown counts the requests that could not be decided.
	Unknown int64
	// OpenGrants is the number of grants without a release, and Reserved the tokens of grants that the
	// engines' reports may not include yet.
	OpenGrants, Reserved int
	// Engines is the number of engines, and Known how many of them have a recent load.
	Engines, Known int
}
