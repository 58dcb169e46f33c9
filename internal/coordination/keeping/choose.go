package keeping

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/residency"
)

const (
	// maxFetchAge is the age up to which a store's contents are used for fetches. With older
	// contents, the fetch would be discarded before it ends more often than not.
	maxFetchAge = FetchLease / 2
	// maxSaveAge is the age of a store's contents, since the leader read them, up to which the leader is asked to
	// save parts there.
	maxSaveAge = 1400 * time.Millisecond
	// CrossDomainFactor is how much longer a transfer between failure domains takes, as the
	// interface of engines specifies.
	CrossDomainFactor = 2
	// lowSpaceShare is the free part of a store below which it gets fewer new parts: entries learn
	// of the free space 0.2 to 0.5 s late, and a part that finds no space is lost and computed once
	// more. In three undisturbed runs, a quarter of the recomputed tokens came from that (0.59 to
	// 0.45 million tokens).
	lowSpaceShare = 0.25
	// spaceFactor is how many times a part must fit into the free space, for the same reason.
	spaceFactor = 2
)

// Stores is what an entry knows about the stores that it chooses from.
type Stores struct {
	// Contents and Declared are keyed by the stores' addresses.
	Contents map[string]StoreContents
	Declared map[string]deployment.Store
	Now      time.Time
	// Residency is in which regions the parts may be, and Regions the region of each failure domain.
	Residency residency.Policy
	Regions   residency.Regions
	// IsBlocked reports whether a part cannot be saved to a store for some time. When nil, none is blocked.
	IsBlocked func(address string, part Part) bool
}

// allowed reports whether the parts may be in a store.
func (s Stores) allowed(name string) bool {
	return s.Residency.Allows(s.Declared[name].FailureDomain, s.Regions)
}

// Holder returns a store from which a part may be fetched, the one with the longest lease.
func (s Stores) Holder(part Part) (address string, kept StoreContents, ok bool) {
	for name, k := range s.Contents {
		if k.Parts[part] > 0 && s.Now.Sub(k.ReceivedAt) < maxFetchAge && k.Until > kept.Until && s.allowed(name) {
			address, kept, ok = name, k, true
		}
	}
	return address, kept, ok
}

// Place chooses the store for a new part that is computed in a failure domain. It uses rendezvous
// hashing, so that entries whose engines compute the part there choose the same store, weighted by
// how fast the part is transferred to the store and back. When weighted by free space instead, four
// fifths of all parts were in two stores of six, whose links were saturated in bursts (28 of 28
// Gbit/s) while faster ones were nearly idle; the median time to the first piece of short prompts
// was 144 ms, and 113 ms with the weights used now.
func (s Stores) Place(part Part, tokens int, domain string) (address string, ok bool) {
	best := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.Contents)) {
		k := s.Contents[name]
		if k.FreeTokens < spaceFactor*tokens || s.Now.Sub(k.ReceivedAt) >= maxSaveAge || !s.allowed(name) {
			continue
		}
		if s.IsBlocked != nil && s.IsBlocked(name, part) {
			continue
		}
		draw := float64(xxhash.Sum64String(name+"/"+part.ID)>>11) / (1 << 53)
		if weight := draw * weight(s.Declared[name], k.FreeTokens, domain); weight > best {
			best, address, ok = weight, name, true
		}
	}
	return address, ok
}

// weight returns the speed of a store's link as seen from a failure domain, reduced once the store
// is nearly full. Stores that do not declare the speed of their link count as equal.
func weight(store deployment.Store, open int, domain string) float64 {
	speed := store.LinkRate
	if speed <= 0 {
		speed = 1
	}
	if store.FailureDomain != domain {
		speed /= CrossDomainFactor
	}
	if store.MemoryTokens > 0 {
		speed *= min(1, float64(open)/(lowSpaceShare*float64(store.MemoryTokens)))
	}
	return speed
}
