package quarantine

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// Fact is something that an entry saw. It is one of Ended, Answered or Heard. Facts are joined
// from all entries; in which order they come, and how often, makes no difference.
type Fact interface {
	// Key returns what the fact is about.
	Key() Key
	// When returns when it was seen.
	When() time.Time
}

// InstanceEnded says that an instance ended while a request was there. It does not say that the request
// is to blame: others may have been there too.
type InstanceEnded struct {
	Digest Digest
	// Incarnation is the instance's incarnation, and Address where it was. Where instances do not tell when
	// they started, its start is the time of the end in Unix milliseconds, below 0.
	Incarnation registry.Incarnation
	Address     string
	// Sent is when the request was sent there, and At when the end was seen; Sent is not after At.
	Sent, At time.Time
}

// RequestSucceeded says that an instance ran a request to a good end.
type RequestSucceeded struct {
	Digest Digest
	At     time.Time
}

// InstanceResponded says that an incarnation answered what was sent to it at a time, though it had been taken
// for ended before.
type InstanceResponded struct {
	Incarnation registry.Incarnation
	At          time.Time
}

// Key names what a fact is about; of two facts with the same key one is kept. A request's good
// answer has no incarnation, and an incarnation's word no digest.
type Key struct {
	digest Digest
	of     registry.Incarnation
}

// Key returns the request and the incarnation.
func (f InstanceEnded) Key() Key { return Key{f.Digest, f.Incarnation} }

// Key returns the request.
func (f RequestSucceeded) Key() Key { return Key{digest: f.Digest} }

// Key returns the incarnation.
func (f InstanceResponded) Key() Key { return Key{of: f.Incarnation} }

// When returns when the end was seen.
func (f InstanceEnded) When() time.Time { return f.At }

// When returns when the answer was whole.
func (f RequestSucceeded) When() time.Time { return f.At }

// When returns when what it answered was sent.
func (f InstanceResponded) When() time.Time { return f.At }
