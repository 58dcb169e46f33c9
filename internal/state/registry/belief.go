package registry

import "time"

// maxHeartbeatDelay is how long a heartbeat may be in transit. For that long after an engine answered a
// query for its weights, an older version in a heartbeat is not accepted, as the heartbeat may have
// been sent before the answer.
const maxHeartbeatDelay = 5 * time.Second

// Provenance is when and how a statement of an instance about itself was obtained.
type Provenance struct {
	// At is when the statement was first received, if no different one was received since.
	At time.Time
	// Queried is true if the instance answered a query of a control instance, and false if it sent a
	// heartbeat.
	Queried bool
	// Via is the address of the control instance that relayed the statement; it is empty on the
	// control instance that received it.
	Via string
}

// claim is one statement about the version of one model's weights.
type claim struct {
	version    uint64
	provenance Provenance
	// sequence is the sequence number of the newest heartbeat known when the claim was made.
	sequence uint64
}

// after reports whether c was made after other. Heartbeats are ordered by their sequence numbers; if
// either is an answer to a query, the time of receipt decides.
func (c claim) after(other claim) bool {
	if !c.provenance.Queried && !other.provenance.Queried {
		return c.sequence > other.sequence
	}
	return c.provenance.At.After(other.provenance.At)
}

// supersedes reports whether c, which claims an older version than newer does, replaces it: c must have
// been made later, and must not be a heartbeat that may have been sent before the answer to newer's query.
func (c claim) supersedes(newer claim, now time.Time) bool {
	if !c.after(newer) {
		return false
	}
	return c.provenance.Queried || !newer.provenance.Queried || now.Sub(newer.provenance.At) > maxHeartbeatDelay
}

// versionEstimate is the weights version that one instance is assumed to have of one model, given the
// claims from several sources. The version rises, except when an engine is observed to have
// older weights again, as after a load order that is carried out late.
type versionEstimate struct {
	current claim
	// downgrade is a later claim of an older version that may still turn out to be a delayed
	// heartbeat; it is nil when there is none.
	downgrade *claim
}

// add merges a claim.
func (b *versionEstimate) add(c claim) {
	switch {
	case c.version == b.current.version:
		if c.after(b.current) {
			b.current = c
		}
	case c.version > b.current.version:
		if b.current.after(c) && (b.downgrade == nil || b.current.after(*b.downgrade)) {
			older := b.current
			b.downgrade = &older
		}
		b.current = c
	case b.downgrade == nil || c.after(*b.downgrade):
		b.downgrade = &c
	}
	if b.downgrade != nil && !b.downgrade.after(b.current) {
		b.downgrade = nil
	}
}

// resolve returns the claim that holds at now, and accepts a downgrade that can no longer be a delayed
// heartbeat.
func (b *versionEstimate) resolve(now time.Time) claim {
	if b.downgrade != nil && b.downgrade.supersedes(b.current, now) {
		b.current, b.downgrade = *b.downgrade, nil
	}
	return b.current
}
