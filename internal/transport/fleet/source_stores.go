package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// untilStep is by how much the times until which parts are named move on before entries
	// are told of nothing else: a store's word is used for a second after it was told.
	untilStep = 300 * time.Millisecond
	// goneFor is how long what a store no longer holds is remembered, so that those who
	// knew of it are told; a watcher that asks later is told everything anew.
	goneFor = 30 * time.Second
)

// storesFeed is what a Source tells of stores. The zero value knows none.
type storesFeed struct {
	stores map[string]*storeFeed
	// change numbers the changes of all stores, but for those of Until.
	change uint64
	// numbers counts the stores that ever were, and newest is the latest Until of any.
	numbers uint32
	newest  time.Duration
}

// storeFeed is one store.
type storeFeed struct {
	kept   keeping.Kept
	number uint32
	// change is the newest change of anything but Until.
	change uint64
	// parts holds the newest change of each part, also of those in gone, which the store
	// does not hold any more since then.
	parts map[keeping.Part]uint64
	gone  map[keeping.Part]time.Time
	// complete is the change from which on parts tells everything.
	complete uint64
	// left is set once the store is not part of the configuration any more.
	left time.Time
}

// PublishStore sets what a store holds. Entries are told with the other stores' news, so
// that many stores do not wake all entries many times a second.
func (s *Source) PublishStore(address string, kept keeping.Kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.publish(address, kept, time.Now())
	s.news = true
}

// ForgetStore drops a store that is not part of the configuration any more.
func (s *Source) ForgetStore(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.forget(address, time.Now())
	s.news = true
}

func (f *storesFeed) next() uint64 {
	f.change++
	return f.change
}

func (f *storesFeed) publish(address string, kept keeping.Kept, now time.Time) {
	store := f.stores[address]
	if store == nil || !store.left.IsZero() {
		store = f.add(address)
	}
	for part := range store.kept.Parts {
		if _, still := kept.Parts[part]; !still {
			store.parts[part] = f.next()
			store.gone[part] = now
		}
	}
	for part, tokens := range kept.Parts {
		if store.kept.Parts[part] != tokens {
			store.parts[part] = f.next()
			delete(store.gone, part)
		}
	}
	if store.kept.Open != kept.Open || store.kept.OpenEpoch != kept.OpenEpoch {
		f.next()
		store.change = f.change
	}
	store.forgetGone(now)
	for _, change := range store.parts {
		store.change = max(store.change, change)
	}
	store.kept = kept
	f.newest = max(f.newest, kept.Until)
}

// add begins to tell of a store; what watchers knew of an earlier one there does not hold.
func (f *storesFeed) add(address string) *storeFeed {
	if f.stores == nil {
		f.stores = map[string]*storeFeed{}
	}
	f.numbers++
	at := f.next()
	store := &storeFeed{number: f.numbers, change: at, complete: at, parts: map[keeping.Part]uint64{}, gone: map[keeping.Part]time.Time{}}
	f.stores[address] = store
	return store
}

// forgetGone forgets parts that are gone for long.
func (store *storeFeed) forgetGone(now time.Time) {
	for part, since := range store.gone {
		if now.Sub(since) > goneFor {
			store.complete = max(store.complete, store.parts[part])
			delete(store.parts, part)
			delete(store.gone, part)
		}
	}
}

func (f *storesFeed) forget(address string, now time.Time) {
	store := f.stores[address]
	if store == nil || !store.left.IsZero() {
		return
	}
	store.left = now
	store.change = f.next()
	store.parts, store.gone, store.kept = nil, nil, keeping.Kept{}
	maps.DeleteFunc(f.stores, func(_ string, other *storeFeed) bool {
		return !other.left.IsZero() && now.Sub(other.left) > goneFor
	})
}

// tell fills in what a watcher lacks that knows everything up to a change.
func (f *storesFeed) tell(since uint64, out *wire.FleetResponse) {
	out.StoreChange = f.change
	out.StoresUntil = f.newest.Milliseconds()
	for _, address := range slices.Sorted(maps.Keys(f.stores)) {
		store := f.stores[address]
		if store.change > since {
			out.Stores = append(out.Stores, store.state(address, since))
		}
		if store.left.IsZero() {
			out.StoreNumbers = append(out.StoreNumbers, store.number)
			out.StoreAges = append(out.StoreAges, uint32((f.newest - store.kept.Until).Milliseconds()))
		}
	}
}

func (store *storeFeed) state(address string, since uint64) *wire.StoreState {
	state := &wire.StoreState{
		Address: address, Number: store.number, OpenTokens: int64(store.kept.Open), OpenEpoch: store.kept.OpenEpoch,
		Whole: since < store.complete, Gone: !store.left.IsZero(),
	}
	for part, change := range store.parts {
		tokens := store.kept.Parts[part]
		if state.Whole && tokens > 0 || !state.Whole && change > since {
			state.Parts = append(state.Parts, &wire.KeptPart{Salt: part.Salt, Id: part.ID, Tokens: int64(tokens)})
		}
	}
	return state
}

// hasNews reports whether a watcher with some marks is to be told now.
func (f *storesFeed) hasNews(change uint64, until time.Duration) bool {
	return f.change > change || f.newest >= until+untilStep
}
