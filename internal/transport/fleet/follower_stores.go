package fleet

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// copyGrowth limits how often the parts of a store are copied for the view while they arrive in
// many answers: whenever their number has grown by 1/copyGrowth. That makes about five copies of
// each part in all. A copy for each answer would take minutes of CPU time with millions of parts.
const copyGrowth = 4

// storesState is what one source has sent about stores. The zero value is empty.
type storesState struct {
	stores map[string]keeping.StoreContents
	// addresses holds the address of each store by the source's number for it.
	addresses map[uint32]string
	// parts holds the parts of each store by its address.
	parts map[string]*storeParts
	// change, backlog and until are the cursors of the last answer.
	change, backlog uint64
	until           time.Duration
}

// storeParts holds the parts of one store. Readers use the copy in storesState.stores, which may
// lag behind while there is a backlog.
type storeParts struct {
	tokens map[keeping.Part]int
	// stale is true while the copy lacks changes.
	stale bool
}

// apply merges a source's answer.
func (k *storesState) apply(out *wire.FleetResponse, now time.Time) {
	k.change = out.StoreChange
	k.backlog = out.StoreBacklog
	k.until = time.Duration(out.StoresUntil) * time.Millisecond
	for _, state := range out.Stores {
		k.applyState(state)
	}
	for address, parts := range k.parts {
		if parts.stale && k.backlog == 0 {
			k.snapshot(address, parts)
		}
	}
	for i, number := range out.StoreNumbers {
		address, ok := k.addresses[number]
		if !ok || i >= len(out.StoreAges) {
			continue
		}
		contents := k.stores[address]
		until := k.until - time.Duration(out.StoreAges[i])*time.Millisecond
		if until > contents.Until {
			contents.ReceivedAt = now.Add(-receivedAge(out, i))
		}
		contents.Until = until
		k.stores[address] = contents
	}
}

// receivedAge returns how long before an answer the leader had read the store at an index of
// StoreNumbers. Control instances of the version before do not send it.
func receivedAge(out *wire.FleetResponse, i int) time.Duration {
	if i >= len(out.StoreReceivedAges) {
		return 0
	}
	return time.Duration(out.StoreReceivedAges[i]) * time.Millisecond
}

// applyState merges the changes of one store.
func (k *storesState) applyState(state *wire.StoreState) {
	if state.Gone {
		delete(k.stores, state.Address)
		delete(k.addresses, state.Number)
		delete(k.parts, state.Address)
		return
	}
	if k.stores == nil {
		k.stores = map[string]keeping.StoreContents{}
		k.addresses = map[uint32]string{}
		k.parts = map[string]*storeParts{}
	}
	k.addresses[state.Number] = state.Address
	next := k.stores[state.Address]
	// Control instances of earlier software send OpenTokens, and record no saves.
	next.FreeTokens = int(state.FreeTokens)
	next.OpenEpoch, next.Epoch = state.OpenEpoch, state.Epoch
	parts := k.parts[state.Address]
	if state.Whole || parts == nil {
		parts = &storeParts{tokens: map[keeping.Part]int{}}
		k.parts[state.Address] = parts
		next.Parts = nil
	}
	k.stores[state.Address] = next
	if len(state.Parts) == 0 {
		return
	}
	parts.stale = true
	if parts.merge(state.Parts) || len(parts.tokens) >= len(next.Parts)+len(next.Parts)/copyGrowth {
		k.snapshot(state.Address, parts)
	}
}

// snapshot replaces the copy of a store's parts that readers use. A copy is never modified.
func (k *storesState) snapshot(address string, parts *storeParts) {
	contents := k.stores[address]
	contents.Parts = maps.Clone(parts.tokens)
	k.stores[address] = contents
	parts.stale = false
}

// merge merges changes. It reports whether any known part has changed or was removed, which readers
// must see at once. New parts may be shown to them late, which costs them only a computation.
func (p *storeParts) merge(changes []*wire.KeptPart) (knownChanged bool) {
	for _, c := range changes {
		part := keeping.Part{Salt: c.Salt, ID: c.Id}
		before, known := p.tokens[part]
		knownChanged = knownChanged || known && before != int(c.Tokens)
		if c.Tokens == 0 {
			delete(p.tokens, part)
			continue
		}
		p.tokens[part] = int(c.Tokens)
	}
	return knownChanged
}

// newestStores returns, for each store, the contents with the latest Until.
func newestStores(sources map[string]*sourceState) map[string]keeping.StoreContents {
	out := map[string]keeping.StoreContents{}
	for _, src := range sources {
		for address, contents := range src.stores.stores {
			if contents.Until > out[address].Until {
				out[address] = contents
			}
		}
	}
	return out
}
