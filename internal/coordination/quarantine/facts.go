package quarantine

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// Fact is an observation by an entry. It is one of InstanceEnded, RequestSucceeded, InstanceResponded or
// InstanceRefused. Facts are merged from all entries; merging is commutative and idempotent.
type Fact interface {
	// Key returns the key of the fact.
	Key() Key
	// When returns when it was observed.
	When() time.Time
}

// InstanceEnded means that an instance ended while it ran a request. The request is not necessarily
// the cause: others may have run there too.
type InstanceEnded struct {
	Digest Digest
	// Incarnation identifies the instance, and Address is where it was. If instances do not report
	// when they started, its start is the time of the end in Unix milliseconds, as a negative
	// number.
	Incarnation registry.Incarnation
	Address     string
	// Sent is when the request was sent, and At when the end was seen; Sent is not after At.
	Sent, At time.Time
}

// RequestSucceeded means that an instance answered a request successfully, or that it has begun to answer a prompt
// with a part.
type RequestSucceeded struct {
	Digest Digest
	At     time.Time
}

// InstanceResponded means that an incarnation that was presumed to have ended answered a request.
// At is when that request was sent.
type InstanceResponded struct {
	Incarnation registry.Incarnation
	At          time.Time
}

// InstanceRefused means that an entry got refusals from an instance with a refusal limit shortly before the instance ended.
type InstanceRefused struct {
	Incarnation registry.Incarnation
	// By is a random number that stands for the entry; it is not 0.
	By uint64
	// Count is the most refusals in a second that the entry got, and Limit how many the instance can give to all entries.
	Count int
	Limit float64
	// At is when the end was seen.
	At time.Time
}

// Key identifies the subject of a fact; of two facts with the same key, one is kept. The key of
// RequestSucceeded has no incarnation, those of InstanceResponded and InstanceRefused no digest, and only the last one
// an entry.
type Key struct {
	digest      Digest
	incarnation registry.Incarnation
	by          uint64
}

// Key returns the request and the incarnation.
func (f InstanceEnded) Key() Key { return Key{digest: f.Digest, incarnation: f.Incarnation} }

// Key returns the request.
func (f RequestSucceeded) Key() Key { return Key{digest: f.Digest} }

// Key returns the incarnation.
func (f InstanceResponded) Key() Key { return Key{incarnation: f.Incarnation} }

// Key returns the incarnation and the entry.
func (f InstanceRefused) Key() Key { return Key{incarnation: f.Incarnation, by: f.By} }

// When returns when the end was seen.
func (f InstanceEnded) When() time.Time { return f.At }

// When returns when the answer was complete.
func (f RequestSucceeded) When() time.Time { return f.At }

// When returns when the answered request was sent.
func (f InstanceResponded) When() time.Time { return f.At }

// When returns when the end was seen.
func (f InstanceRefused) When() time.Time { return f.At }
