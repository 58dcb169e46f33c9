package fleet

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// Kept is what one store holds, as the leader of the control log told.
type Kept struct {
	// Until is the time on the clock of stores and engines until which Parts may be fetched.
	Until time.Duration
	// Open is how many tokens may be saved.
	Open int
	// Parts holds the tokens of each part that is whole. It never changes.
	Parts map[keeping.Part]int
	// At is when this process learned of it.
	At time.Time
}

// storeFeed is one store as a Source tells it.
type storeFeed struct {
	kept Kept
	// changes holds the number of the newest change of each part, also of those that are
	// gone.
	changes map[keeping.Part]uint64
}

// PublishStore sets what a store holds. Entries are told with the other stores' news, so
// that many stores do not wake all entries many times a second.
func (s *Source) PublishStore(address string, kept Kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.stores[address]
	if !ok {
		f = &storeFeed{changes: map[keeping.Part]uint64{}}
		s.stores[address] = f
	}
	for part := range f.kept.Parts {
		if _, still := kept.Parts[part]; !still {
			s.storeChange++
			f.changes[part] = s.storeChange
		}
	}
	for part, tokens := range kept.Parts {
		if f.kept.Parts[part] != tokens {
			s.storeChange++
			f.changes[part] = s.storeChange
		}
	}
	f.kept = kept
	s.storesNews = true
}

// ForgetStore drops a store that is not part of the configuration any more.
func (s *Source) ForgetStore(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stores, address)
}

// storesSince returns the stores with the parts that changed after a change, and the
// newest time until which any may be fetched; mu must be held.
func (s *Source) storesSince(change uint64) (out []*wire.StoreState, newest time.Duration) {
	for address, f := range s.stores {
		state := &wire.StoreState{Address: address, UntilMilliseconds: f.kept.Until.Milliseconds(), OpenTokens: int64(f.kept.Open)}
		for part, at := range f.changes {
			if at > change {
				state.Parts = append(state.Parts, &wire.KeptPart{Salt: part.Salt, Id: part.ID, Tokens: int64(f.kept.Parts[part])})
			}
		}
		out = append(out, state)
		newest = max(newest, f.kept.Until)
	}
	return out, newest
}

// takeStores joins what a source tells of stores.
func (src *source) takeStores(states []*wire.StoreState, now time.Time) {
	for _, state := range states {
		known := src.stores[state.Address]
		next := Kept{
			Until: time.Duration(state.UntilMilliseconds) * time.Millisecond, Open: int(state.OpenTokens),
			Parts: known.Parts, At: known.At,
		}
		if next.Until > known.Until {
			next.At = now
		}
		if len(state.Parts) > 0 {
			next.Parts = maps.Clone(known.Parts)
			if next.Parts == nil {
				next.Parts = map[keeping.Part]int{}
			}
		}
		for _, p := range state.Parts {
			part := keeping.Part{Salt: p.Salt, ID: p.Id}
			if p.Tokens == 0 {
				delete(next.Parts, part)
				continue
			}
			next.Parts[part] = int(p.Tokens)
		}
		if src.stores == nil {
			src.stores = map[string]Kept{}
		}
		src.stores[state.Address] = next
	}
}

// newestStores returns for each store what was told with the latest end.
func newestStores(sources map[string]*source) map[string]Kept {
	out := map[string]Kept{}
	for _, src := range sources {
		for address, kept := range src.stores {
			if kept.Until > out[address].Until {
				out[address] = kept
			}
		}
	}
	return out
}
