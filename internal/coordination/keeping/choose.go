package keeping

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/deployment"
)

const (
	// freshFor is how long what a store keeps is gone by after it was told; after that, a
	// fetch would be thrown away before it ends more often than not.
	freshFor = FetchLease / 2
	// savedFor is how long a store is saved to after its leader told of it. It is shorter than
	// the time in which a store starts anew (2 s and more): until a leader has read the store
	// again, nothing is written there under names that others may still fetch.
	savedFor = time.Second
	// farTimes is how much longer a move takes from one failure domain to another, as the
	// interface of engines tells.
	farTimes = 2
	// fullShare is the open part of a store below which it gets fewer new parts: entries know
	// what is open 0.2 to 0.5 s late, and what finds no room is lost and read once more. In
	// three calm runs a quarter of what was read again came from that (0.59 to 0.45 million
	// tokens).
	fullShare = 0.25
	// spareTimes is how often a part must fit into what is open, for the same reason.
	spareTimes = 2
)

// Stores is what an entry knows of stores when it chooses among them.
type Stores struct {
	// Contents and Declared are by the stores' addresses.
	Contents map[string]StoreContents
	Declared map[string]deployment.Store
	Now      time.Time
}

// Holder returns a store from which a part may be fetched, the one that is named longest.
func (s Stores) Holder(part Part) (address string, kept StoreContents, ok bool) {
	for name, k := range s.Contents {
		if k.Parts[part] > 0 && s.Now.Sub(k.ReceivedAt) < freshFor && k.Until > kept.Until {
			address, kept, ok = name, k, true
		}
	}
	return address, kept, ok
}

// Place chooses the store for a new part that is read in a failure domain: by rendezvous
// hashing, so that entries that read it there choose the same, weighted by how quickly the part
// moves to the store and back. Weighted by what is open instead, four fifths of all parts were in
// two stores of six, whose links were full in bursts (28 Gbit/s of 28) while quicker ones were
// nearly idle; short prompts got their first piece after 144 ms in the median, and so after 113.
func (s Stores) Place(part Part, tokens int, domain string) (address string, ok bool) {
	best := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.Contents)) {
		k := s.Contents[name]
		if k.FreeTokens < spareTimes*tokens || s.Now.Sub(k.ReceivedAt) >= savedFor {
			continue
		}
		draw := float64(xxhash.Sum64String(name+"/"+part.ID)>>11) / (1 << 53)
		if weight := draw * weight(s.Declared[name], k.FreeTokens, domain); weight > best {
			best, address, ok = weight, name, true
		}
	}
	return address, ok
}

// weight is the speed of a store's link as seen from a failure domain, less once it is nearly
// full. The links of stores that do not tell their speed count as equal.
func weight(store deployment.Store, open int, domain string) float64 {
	speed := store.LinkRate
	if speed <= 0 {
		speed = 1
	}
	if store.FailureDomain != domain {
		speed /= farTimes
	}
	if store.MemoryTokens > 0 {
		speed *= min(1, float64(open)/(fullShare*float64(store.MemoryTokens)))
	}
	return speed
}
