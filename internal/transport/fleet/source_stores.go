package fleet

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/changes"
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
	// log numbers the changes of all stores, but for those of Until, and holds those of parts.
	log changes.Log[storedPart]
	// forgotten is the newest change that is not remembered any more: watchers who were not
	// told of it must be told everything anew.
	forgotten uint64
	// numbers counts the stores that ever were, and newest is the latest Until of any.
	numbers uint32
	newest  time.Duration
}

// storedPart is a part in one store.
type storedPart struct {
	store *storeFeed
	part  keeping.Part
}

// storeFeed is one store.
type storeFeed struct {
	address string
	kept    keeping.StoreContents
	number  uint32
	// change is the newest change of anything but Until.
	change uint64
	// parts holds the newest change of each part, also of those in gone, which the store
	// does not hold any more since then.
	parts map[keeping.Part]uint64
	gone  map[keeping.Part]time.Time
	// began is the change with which the store became known.
	began uint64
	// left is set once the store is not part of the configuration any more.
	left time.Time
}

// PublishStore sets what a store holds. Entries are told with the other stores' news, so
// that many stores do not wake all entries many times a second.
func (s *Source) PublishStore(address string, kept keeping.StoreContents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.publish(address, kept, clock.Now())
	s.news = true
}

// ForgetStore drops a store that is not part of the configuration any more.
func (s *Source) ForgetStore(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.forget(address, clock.Now())
	s.news = true
}

func (f *storesFeed) publish(address string, kept keeping.StoreContents, now time.Time) {
	store := f.stores[address]
	if store == nil || !store.left.IsZero() {
		store = f.add(address)
	}
	for part := range store.kept.Parts {
		if _, still := kept.Parts[part]; !still {
			f.note(store, part)
			store.gone[part] = now
		}
	}
	for part, tokens := range kept.Parts {
		if store.kept.Parts[part] != tokens {
			f.note(store, part)
			delete(store.gone, part)
		}
	}
	if store.kept.FreeTokens != kept.FreeTokens || store.kept.OpenEpoch != kept.OpenEpoch {
		store.change = f.log.Skip()
	}
	f.forgetGone(store, now)
	store.kept = kept
	f.newest = max(f.newest, kept.Until)
}

// note numbers the change of a part.
func (f *storesFeed) note(store *storeFeed, part keeping.Part) {
	store.change = f.log.Add(storedPart{store, part})
	store.parts[part] = store.change
}

// add begins to tell of a store; what watchers knew of an earlier one there does not hold.
func (f *storesFeed) add(address string) *storeFeed {
	if f.stores == nil {
		f.stores = map[string]*storeFeed{}
		f.log.Newest = func(p storedPart) uint64 { return p.store.parts[p.part] }
	}
	f.numbers++
	at := f.log.Skip()
	store := &storeFeed{
		address: address, number: f.numbers, change: at, began: at,
		parts: map[keeping.Part]uint64{}, gone: map[keeping.Part]time.Time{},
	}
	f.stores[address] = store
	return store
}

// forgetGone forgets parts that are gone for long.
func (f *storesFeed) forgetGone(store *storeFeed, now time.Time) {
	for part, since := range store.gone {
		if now.Sub(since) > goneFor {
			f.forgotten = max(f.forgotten, store.parts[part])
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
	store.change = f.log.Skip()
	store.parts, store.gone, store.kept = nil, nil, keeping.StoreContents{}
	maps.DeleteFunc(f.stores, func(_ string, other *storeFeed) bool {
		return !other.left.IsZero() && now.Sub(other.left) > goneFor
	})
}

// tell adds what a watcher lacks; until is its mark for the times until which parts are named.
func (f *storesFeed) tell(since progress, until time.Duration, p *page, out *wire.FleetResponse) {
	last := f.log.Last()
	whole := since.change < f.forgotten || since.change == 0
	t := &storesTeller{out: out, states: map[*storeFeed]*wire.StoreState{}}
	for _, address := range slices.Sorted(maps.Keys(f.stores)) {
		store := f.stores[address]
		if whole || store.change > since.change {
			t.state(store).Whole = whole || since.change < store.began
		}
	}
	if whole {
		since = anew(last)
	}
	out.StoreChange = addNews(p, f.log.After(since.change), since.change, last, t.add)
	out.StoreBacklog = addBacklog(p, f.log.UpTo(since.backlog), t.addKept)
	if out.StoreChange < last {
		// A part that is gone may not be among those told: none is named for longer yet.
		out.StoresUntil = until.Milliseconds()
		return
	}
	f.tellUntil(out)
}

// tellUntil adds until when each store's parts are named.
func (f *storesFeed) tellUntil(out *wire.FleetResponse) {
	out.StoresUntil = f.newest.Milliseconds()
	for _, address := range slices.Sorted(maps.Keys(f.stores)) {
		store := f.stores[address]
		if store.left.IsZero() {
			out.StoreNumbers = append(out.StoreNumbers, store.number)
			out.StoreAges = append(out.StoreAges, uint32((f.newest - store.kept.Until).Milliseconds()))
		}
	}
}

// storesTeller adds stores and their parts to one answer.
type storesTeller struct {
	out    *wire.FleetResponse
	states map[*storeFeed]*wire.StoreState
}

// state returns what is told of a store, which is added if it was not. It does not count into
// the page: many changed stores would leave no room for their parts in any answer.
func (t *storesTeller) state(store *storeFeed) *wire.StoreState {
	state := t.states[store]
	if state == nil {
		state = &wire.StoreState{
			Address: store.address, Number: store.number, OpenTokens: int64(store.kept.FreeTokens), OpenEpoch: store.kept.OpenEpoch,
			Gone: !store.left.IsZero(),
		}
		t.states[store] = state
		t.out.Stores = append(t.out.Stores, state)
	}
	return state
}

// add adds a part, and returns its bytes.
func (t *storesTeller) add(p storedPart) int {
	state := t.state(p.store)
	part := &wire.KeptPart{Salt: p.part.Salt, Id: p.part.ID, Tokens: int64(p.store.kept.Parts[p.part])}
	state.Parts = append(state.Parts, part)
	return proto.Size(part)
}

// addKept adds a part unless it is gone: a watcher knows no part of its backlog.
func (t *storesTeller) addKept(p storedPart) int {
	if p.store.kept.Parts[p.part] == 0 {
		return 0
	}
	return t.add(p)
}
