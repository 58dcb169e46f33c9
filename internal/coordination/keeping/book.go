package keeping

import (
	"maps"
	"time"
)

const (
	// FetchLease is how long a part may be fetched after it was read from its store's list. Under
	// load a fetch waits up to 2 s for the links of the store and the engine, and the lease is
	// renewed only once a leader has read the store again: with 2 s in all, 60 to 1,900 fetches per
	// minute came too late and their parts were computed again, with 6 s none. 10 s and 15 s gave
	// the same result, and would hold the space of old weights for longer.
	FetchLease = 6 * time.Second
	// clockMargin is added to FetchLease before a part is freed, to cover clock differences between
	// stores and engines.
	clockMargin = time.Second
	// blockTokens is the unit in which stores allocate space.
	blockTokens = 16
)

// Part identifies one part of a prompt under a salt.
type Part struct{ Salt, ID string }

// StoredPart is a part that is complete in a store.
type StoredPart struct {
	Part
	Tokens int
}

// Batch is a batch of changes that a store reports.
type Batch struct {
	// Epoch changes at each start of the store, and Next is the cursor after the batch.
	Epoch, Next uint64
	// Gap is true if changes were lost.
	Gap     bool
	Changes []Change
	// Clock is the time on the clock that stores and engines share.
	Clock time.Duration
}

// Change says how many tokens of a part are stored now; 0 if it was removed.
type Change struct{ StoredPart }

// StoreState is what the leader knows about one store. It is not safe for concurrent use. The zero
// value knows nothing and needs a list.
type StoreState struct {
	// Capacity is the store's size in tokens.
	Capacity int
	// NewestVersion returns the newest weight version of a model.
	NewestVersion func(model string) uint64
	// SharedSince returns the version of the configuration since which teams share KV cache. When nil, none of it
	// is outdated for that.
	SharedSince func() uint64
	// OpenEpoch is an epoch of the store in which it was open for saves, as published by an earlier
	// leader; 0 if none is known. A store stays open until its epoch changes.
	OpenEpoch uint64
	// CommittedEpoch is one that the control log holds, which also remains known when all control
	// instances have been lost; 0 if none is known.
	CommittedEpoch uint64
	// Address is the store's address, and Saves the saves to all stores that may still be written; nil stands
	// for none.
	Address string
	Saves   *SaveTable

	epoch, next uint64
	listed      bool
	parts       map[Part]int
	// retired holds, for each outdated part, when its lease was last renewed, or could have been by
	// another leader: the clock when this state was created or when the part became outdated.
	retired map[Part]time.Duration
	// openAt is the clock time from which the store is open for saves.
	openAt time.Duration
	// fetchableAt is the clock time of the last call of Fetchable. fetchedUntil holds, for each part that has
	// gone from the store, until when it may still be fetched.
	fetchableAt  time.Duration
	fetchedUntil map[Part]time.Duration
}

// Next returns the cursor of the next batch.
func (s *StoreState) Next() uint64 { return s.next }

// Epoch returns the store's epoch.
func (s *StoreState) Epoch() uint64 { return s.epoch }

// ApplyBatch applies a batch; it reports whether the store's whole list is needed instead.
func (s *StoreState) ApplyBatch(in Batch) (needList bool) {
	if !s.listed || in.Epoch != s.epoch || in.Gap {
		return true
	}
	s.next = in.Next
	for _, c := range in.Changes {
		s.put(c.StoredPart)
	}
	return false
}

// ApplyList replaces the state with a store's whole list, read at a clock time.
func (s *StoreState) ApplyList(epoch, next uint64, held []StoredPart, clock time.Duration) {
	if s.mayHaveActiveLeases(epoch) {
		s.openAt = clock + FetchLease + clockMargin
	}
	if epoch != s.epoch || s.retired == nil {
		s.retired = map[Part]time.Duration{}
		s.fetchedUntil = map[Part]time.Duration{}
	}
	before := s.parts
	s.epoch = epoch
	s.next = next
	s.listed = true
	s.parts = map[Part]int{}
	for _, h := range held {
		s.put(h)
	}
	for part := range before {
		if _, held := s.parts[part]; !held {
			s.recordGone(part)
		}
	}
}

// recordGone records until when a part may still be fetched that the store has no more. The parts of an earlier
// epoch are included: the store is closed for longer.
func (s *StoreState) recordGone(part Part) {
	s.fetchedUntil[part] = s.fetchableAt + FetchLease + clockMargin
}

// mayHaveActiveLeases reports whether parts that were published in an earlier epoch of the store
// may still be fetched. Nothing may be saved under the same names until those leases have ended,
// because a fetch would find a part that is half written. A new leader does not know what was
// published before, unless an earlier leader has published or committed that this epoch is open.
func (s *StoreState) mayHaveActiveLeases(epoch uint64) bool {
	if !s.listed {
		return epoch != s.OpenEpoch && epoch != s.CommittedEpoch
	}
	return epoch != s.epoch
}

func (s *StoreState) put(h StoredPart) {
	if h.Tokens <= 0 {
		if _, held := s.parts[h.Part]; held {
			s.recordGone(h.Part)
		}
		delete(s.parts, h.Part)
		delete(s.retired, h.Part)
		return
	}
	s.parts[h.Part] = h.Tokens
}

// Fetchable returns the parts that may be fetched until FetchLease after the clock time, and
// retires the outdated ones. A part that another save may still write is left out, as the store may restart before.
func (s *StoreState) Fetchable(clock time.Duration) map[Part]int {
	s.fetchableAt = max(s.fetchableAt, clock)
	maps.DeleteFunc(s.fetchedUntil, func(_ Part, until time.Duration) bool { return clock >= until })
	out := make(map[Part]int, len(s.parts))
	for part, tokens := range s.parts {
		if s.outdatedBy(part) == "" {
			if s.Saves == nil || !s.Saves.IsPending(s.Address, part) {
				out[part] = tokens
			}
			continue
		}
		if _, ok := s.retired[part]; !ok {
			s.retired[part] = clock
		}
	}
	return out
}

// FreeReason is why parts are freed, as logs and metrics name it.
type FreeReason string

// The reasons to free a part: its weights are no longer the newest, or teams share none that was made so early.
const (
	OutdatedWeights   FreeReason = "weights"
	SeparatedContexts FreeReason = "separated"
)

// outdatedBy returns why no request may use a part any more, or an empty reason. Neither reason ever ends. A part
// whose salt has another format is never outdated.
func (s *StoreState) outdatedBy(part Part) FreeReason {
	model, version, ok := VersionOf(part.Salt)
	if ok && version < s.NewestVersion(model) {
		return OutdatedWeights
	}
	since, shared := SharedSinceOf(part.Salt)
	if shared && s.SharedSince != nil && since < s.SharedSince() {
		return SeparatedContexts
	}
	return ""
}

// Freeable returns the parts whose space may be freed now, by the reason.
func (s *StoreState) Freeable(clock time.Duration) map[FreeReason][]Part {
	out := map[FreeReason][]Part{}
	for part, since := range s.retired {
		if _, held := s.parts[part]; held && clock >= since+FetchLease+clockMargin {
			reason := s.outdatedBy(part)
			out[reason] = append(out[reason], part)
		}
	}
	return out
}

// CurrentOpenEpoch returns the store's epoch if it is open for saves, and 0 otherwise.
func (s *StoreState) CurrentOpenEpoch(clock time.Duration) uint64 {
	if clock < s.openAt {
		return 0
	}
	return s.epoch
}

// FreeTokens returns how many tokens may be saved.
func (s *StoreState) FreeTokens(clock time.Duration) int {
	if clock < s.openAt {
		return 0
	}
	used := 0
	for _, tokens := range s.parts {
		used += roundUp(tokens)
	}
	if s.Saves != nil {
		used += s.Saves.pendingTokens(s.Address, s.parts)
	}
	return max(s.Capacity-used, 0)
}

// Holds reports whether the store has a complete part.
func (s *StoreState) Holds(part Part) bool { return s.parts[part] > 0 }

// Takes reports whether a save of a part may begin: the store is open for saves and does not have the part, no
// request uses the part by an earlier publication, and requests will use it.
func (s *StoreState) Takes(part Part, tokens int, clock time.Duration) bool {
	if !s.listed || s.Holds(part) || s.outdatedBy(part) != "" || tokens > s.FreeTokens(clock) {
		return false
	}
	until, gone := s.fetchedUntil[part]
	return !gone || clock >= until
}
