package keeping

import (
	"time"
)

const (
	// FetchLease is how long a part may be fetched after it was read from its store. Under
	// load a fetch waits up to 2 s for the links of the store and the engine, and a part is
	// named again only once a leader has read its store; with 2 s in all, 60 to 1,900
	// fetches a minute came too late and their parts were read again, with 6 s none. More
	// (10 s, 15 s) measured the same, and would hold the room of old weights for longer.
	FetchLease = 6 * time.Second
	// freeMargin is waited on top of NamedFor before a part is freed, for what clocks of
	// stores and engines differ.
	freeMargin = time.Second
	// block is the unit in which stores give room, in tokens.
	block = 16
)

// Part is one part of a prompt under a salt.
type Part struct{ Salt, ID string }

// StoredPart is a part that is whole in a store.
type StoredPart struct {
	Part
	Tokens int
}

// Batch is what a store tells of its changes.
type Batch struct {
	// Epoch is new at each start of the store, and Next marks the place behind the batch.
	Epoch, Next uint64
	// Gap says that changes were lost.
	Gap     bool
	Changes []Change
	// Clock is the time on the clock of stores and engines.
	Clock time.Duration
}

// Change says how many tokens of a part are kept now; 0 when it is gone.
type Change struct{ StoredPart }

// StoreState is what the leader knows of one store. It is not safe for concurrent use. The zero
// value knows nothing and wants a list.
type StoreState struct {
	// Capacity is the store's size in tokens.
	Capacity int
	// NewestVersion returns the newest version of a model's weights.
	NewestVersion func(model string) uint64
	// OpenEpoch is a start of the store at which it was open for saves, as an earlier leader
	// told; 0 when none is known. A start that was once open stays so.
	OpenEpoch uint64

	epoch, next uint64
	listed      bool
	parts       map[Part]int
	// retired holds when a part of older weights was last named, or could have been by
	// another leader: the clock when this book began or when the part grew old.
	retired map[Part]time.Duration
	// openAt is when the store may be saved to.
	openAt time.Duration
}

// Next returns the mark for the next batch.
func (b *StoreState) Next() uint64 { return b.next }

// Epoch returns the store's start.
func (b *StoreState) Epoch() uint64 { return b.epoch }

// ApplyBatch takes a batch; it reports whether the store's whole list is needed instead.
func (b *StoreState) ApplyBatch(in Batch) (list bool) {
	if !b.listed || in.Epoch != b.epoch || in.Gap {
		return true
	}
	b.next = in.Next
	for _, c := range in.Changes {
		b.put(c.StoredPart)
	}
	return false
}

// ApplyList takes a store's whole list, read at a clock time.
func (b *StoreState) ApplyList(epoch, next uint64, held []StoredPart, clock time.Duration) {
	if b.mayBeLookedFor(epoch) {
		b.openAt = clock + FetchLease + freeMargin
	}
	if epoch != b.epoch || b.retired == nil {
		b.retired = map[Part]time.Duration{}
	}
	b.epoch = epoch
	b.next = next
	b.listed = true
	b.parts = map[Part]int{}
	for _, h := range held {
		b.put(h)
	}
}

// mayBeLookedFor reports whether parts that were named at an earlier start of the store may
// still be fetched: nothing is written under the same names until that has ended, as a fetch
// would find a part half written. A new leader does not know what was named before, unless
// an earlier one has told that this start is open.
func (b *StoreState) mayBeLookedFor(epoch uint64) bool {
	if !b.listed {
		return epoch != b.OpenEpoch
	}
	return epoch != b.epoch
}

func (b *StoreState) put(h StoredPart) {
	if h.Tokens <= 0 {
		delete(b.parts, h.Part)
		delete(b.retired, h.Part)
		return
	}
	b.parts[h.Part] = h.Tokens
}

// Fetchable returns the parts that may be fetched until NamedFor after the clock, and notes
// those that are too old for it.
func (b *StoreState) Fetchable(clock time.Duration) map[Part]int {
	out := make(map[Part]int, len(b.parts))
	for part, tokens := range b.parts {
		if !b.old(part) {
			out[part] = tokens
			continue
		}
		if _, ok := b.retired[part]; !ok {
			b.retired[part] = clock
		}
	}
	return out
}

// old reports whether a part was made by weights that are no longer the newest. A part
// that nobody here made has no version, and is left alone.
func (b *StoreState) old(part Part) bool {
	model, version, ok := VersionOf(part.Salt)
	return ok && version < b.NewestVersion(model)
}

// Freeable returns the parts whose room may be freed now.
func (b *StoreState) Freeable(clock time.Duration) []Part {
	var out []Part
	for part, since := range b.retired {
		if _, held := b.parts[part]; held && clock >= since+FetchLease+freeMargin {
			out = append(out, part)
		}
	}
	return out
}

// CurrentOpenEpoch returns the store's start if it may be saved to, and 0 while it rests.
func (b *StoreState) CurrentOpenEpoch(clock time.Duration) uint64 {
	if clock < b.openAt {
		return 0
	}
	return b.epoch
}

// FreeTokens returns how many tokens may be saved.
func (b *StoreState) FreeTokens(clock time.Duration) int {
	if clock < b.openAt {
		return 0
	}
	used := 0
	for _, tokens := range b.parts {
		used += (tokens + block - 1) / block * block
	}
	return max(b.Capacity-used, 0)
}
