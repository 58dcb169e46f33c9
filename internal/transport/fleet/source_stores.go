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
	// untilStep is how far newestUntil must advance for polls to be answered when nothing else has
	// changed: a store's contents are used for a second after they were announced.
	untilStep = 300 * time.Millisecond
	// tombstoneRetention is how long removed parts and stores are remembered, so that pollers that
	// knew them learn of the removal. A poller that comes back later receives everything anew.
	tombstoneRetention = 30 * time.Second
)

// storesFeed is what a Source publishes about stores. The zero value is an empty feed.
type storesFeed struct {
	stores map[string]*storeFeed
	// log numbers the changes of all stores except those of Until, and holds the changes of parts.
	log changes.Log[storedPart]
	// forgottenChange is the newest change whose tombstone has expired. Pollers that have not
	// received it must receive everything anew.
	forgottenChange uint64
	// lastNumber is the number of the store added last, and newestUntil the latest Until of any
	// store.
	lastNumber  uint32
	newestUntil time.Duration
}

// storedPart is a part in one store.
type storedPart struct {
	store *storeFeed
	part  keeping.Part
}

// storeFeed is the state of one store.
type storeFeed struct {
	address  string
	contents keeping.StoreContents
	number   uint32
	// change is the newest change of anything but Until.
	change uint64
	// partChanges holds the newest change of each part, including removed parts. tombstones holds
	// the removed parts, with the time of their removal.
	partChanges map[keeping.Part]uint64
	tombstones  map[keeping.Part]time.Time
	// firstChange is the change with which the store was added.
	firstChange uint64
	// removedAt is set when the store has been removed from the configuration.
	removedAt time.Time
}

// PublishStore sets the contents of a store. Entries receive them with the next batch of changes,
// so that many stores do not wake all entries many times a second.
func (s *Source) PublishStore(address string, contents keeping.StoreContents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	contents.ReceivedAt = now
	s.own.stores.publish(address, contents, now)
	s.own.pending = true
}

// ForgetStore removes a store that is no longer in the configuration.
func (s *Source) ForgetStore(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.stores.remove(address, clock.Now())
	s.own.pending = true
}

func (f *storesFeed) publish(address string, contents keeping.StoreContents, now time.Time) {
	store := f.stores[address]
	if store == nil || !store.removedAt.IsZero() {
		store = f.addStore(address)
	}
	for part := range store.contents.Parts {
		if _, still := contents.Parts[part]; !still {
			f.recordChange(store, part)
			store.tombstones[part] = now
		}
	}
	for part, tokens := range contents.Parts {
		if store.contents.Parts[part] != tokens {
			f.recordChange(store, part)
			delete(store.tombstones, part)
		}
	}
	if store.contents.FreeTokens != contents.FreeTokens || store.contents.OpenEpoch != contents.OpenEpoch || store.contents.Epoch != contents.Epoch {
		store.change = f.log.Skip()
	}
	f.expireTombstones(store, now)
	store.contents = contents
	f.newestUntil = max(f.newestUntil, contents.Until)
}

// recordChange assigns a number to a change of a part.
func (f *storesFeed) recordChange(store *storeFeed, part keeping.Part) {
	store.change = f.log.Add(storedPart{store, part})
	store.partChanges[part] = store.change
}

// addStore adds a store. Pollers discard what they know of an earlier store at the same address.
func (f *storesFeed) addStore(address string) *storeFeed {
	if f.stores == nil {
		f.stores = map[string]*storeFeed{}
		f.log.Newest = func(p storedPart) uint64 { return p.store.partChanges[p.part] }
	}
	f.lastNumber++
	at := f.log.Skip()
	store := &storeFeed{
		address: address, number: f.lastNumber, change: at, firstChange: at,
		partChanges: map[keeping.Part]uint64{}, tombstones: map[keeping.Part]time.Time{},
	}
	f.stores[address] = store
	return store
}

// expireTombstones removes the tombstones older than tombstoneRetention.
func (f *storesFeed) expireTombstones(store *storeFeed, now time.Time) {
	for part, since := range store.tombstones {
		if now.Sub(since) > tombstoneRetention {
			f.forgottenChange = max(f.forgottenChange, store.partChanges[part])
			delete(store.partChanges, part)
			delete(store.tombstones, part)
		}
	}
}

func (f *storesFeed) remove(address string, now time.Time) {
	store := f.stores[address]
	if store == nil || !store.removedAt.IsZero() {
		return
	}
	store.removedAt = now
	store.change = f.log.Skip()
	store.partChanges, store.tombstones, store.contents = nil, nil, keeping.StoreContents{}
	maps.DeleteFunc(f.stores, func(_ string, other *storeFeed) bool {
		return !other.removedAt.IsZero() && now.Sub(other.removedAt) > tombstoneRetention
	})
}

// addTo adds what a poller lacks to an answer; until is the poller's cursor for the Until of
// stores.
func (f *storesFeed) addTo(since cursor, until time.Duration, p *page, out *wire.FleetResponse) {
	last := f.log.Last()
	whole := since.change < f.forgottenChange || since.change == 0
	t := &storesWriter{out: out, states: map[*storeFeed]*wire.StoreState{}}
	for _, address := range slices.Sorted(maps.Keys(f.stores)) {
		store := f.stores[address]
		if whole || store.change > since.change {
			t.state(store).Whole = whole || since.change < store.firstChange
		}
	}
	if whole {
		since = resyncFrom(last)
	}
	out.StoreChange = addChanges(p, f.log.After(since.change), since.change, last, t.add)
	out.StoreBacklog = addBacklog(p, f.log.UpTo(since.backlog), t.addBacklogPart)
	if out.StoreChange < last {
		// A removal may not be in this answer yet, so Until is not advanced for any part.
		out.StoresUntil = until.Milliseconds()
		return
	}
	f.addUntil(out)
}

// setUntil sets until when a store's parts may be fetched, and when that was received; nothing else
// has changed.
func (f *storesFeed) setUntil(store *storeFeed, until time.Duration, receivedAt time.Time) {
	store.contents.Until, store.contents.ReceivedAt = until, receivedAt
	f.newestUntil = max(f.newestUntil, until)
}

// addUntil adds the Until of each store, and how long ago it was received.
func (f *storesFeed) addUntil(out *wire.FleetResponse) {
	now := clock.Now()
	out.StoresUntil = f.newestUntil.Milliseconds()
	for _, address := range slices.Sorted(maps.Keys(f.stores)) {
		store := f.stores[address]
		if store.removedAt.IsZero() {
			out.StoreNumbers = append(out.StoreNumbers, store.number)
			out.StoreAges = append(out.StoreAges, uint32((f.newestUntil - store.contents.Until).Milliseconds()))
			out.StoreReceivedAges = append(out.StoreReceivedAges, uint32(now.Sub(store.contents.ReceivedAt).Milliseconds()))
		}
	}
}

// storesWriter adds stores and their parts to one answer.
type storesWriter struct {
	out    *wire.FleetResponse
	states map[*storeFeed]*wire.StoreState
}

// state returns the store's state in the answer, adding it if necessary. Its size does not count
// towards the page: many changed stores would otherwise leave no room for their parts in any
// answer.
func (t *storesWriter) state(store *storeFeed) *wire.StoreState {
	state := t.states[store]
	if state == nil {
		state = &wire.StoreState{
			Address: store.address, Number: store.number, FreeTokens: int64(store.contents.FreeTokens), OpenEpoch: store.contents.OpenEpoch, Epoch: store.contents.Epoch,
			Gone: !store.removedAt.IsZero(),
		}
		t.states[store] = state
		t.out.Stores = append(t.out.Stores, state)
	}
	return state
}

// add adds a part and returns its size in bytes.
func (t *storesWriter) add(p storedPart) int {
	state := t.state(p.store)
	part := &wire.KeptPart{Salt: p.part.Salt, Id: p.part.ID, Tokens: int64(p.store.contents.Parts[p.part])}
	state.Parts = append(state.Parts, part)
	return proto.Size(part)
}

// addBacklogPart adds a part unless it has been removed: a poller does not know any part in its
// backlog yet.
func (t *storesWriter) addBacklogPart(p storedPart) int {
	if p.store.contents.Parts[p.part] == 0 {
		return 0
	}
	return t.add(p)
}
