package fleet

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// storesKnown is what one source told of stores. The zero value knows none.
type storesKnown struct {
	stores map[string]keeping.Kept
	// addresses are by the source's numbers.
	addresses map[uint32]string
	// change and until are the marks of the last answer.
	change uint64
	until  time.Duration
}

// take joins what a source tells.
func (k *storesKnown) take(out *wire.FleetResponse, now time.Time) {
	k.change = out.StoreChange
	k.until = time.Duration(out.StoresUntil) * time.Millisecond
	for _, state := range out.Stores {
		k.takeState(state)
	}
	for i, number := range out.StoreNumbers {
		address, ok := k.addresses[number]
		if !ok || i >= len(out.StoreAges) {
			continue
		}
		kept := k.stores[address]
		until := k.until - time.Duration(out.StoreAges[i])*time.Millisecond
		if until > kept.Until {
			kept.At = now
		}
		kept.Until = until
		k.stores[address] = kept
	}
}

// takeState joins what changed at one store.
func (k *storesKnown) takeState(state *wire.StoreState) {
	if state.Gone {
		delete(k.stores, state.Address)
		delete(k.addresses, state.Number)
		return
	}
	if k.stores == nil {
		k.stores = map[string]keeping.Kept{}
		k.addresses = map[uint32]string{}
	}
	k.addresses[state.Number] = state.Address
	next := k.stores[state.Address]
	next.Open = int(state.OpenTokens)
	next.OpenEpoch = state.OpenEpoch
	if state.Whole {
		next.Parts = nil
	}
	if len(state.Parts) > 0 {
		next.Parts = withChanges(next.Parts, state.Parts)
	}
	k.stores[state.Address] = next
}

// withChanges returns parts as they are after some changes; the given map stays as it is.
func withChanges(parts map[keeping.Part]int, changes []*wire.KeptPart) map[keeping.Part]int {
	out := maps.Clone(parts)
	if out == nil {
		out = map[keeping.Part]int{}
	}
	for _, p := range changes {
		part := keeping.Part{Salt: p.Salt, ID: p.Id}
		if p.Tokens == 0 {
			delete(out, part)
			continue
		}
		out[part] = int(p.Tokens)
	}
	return out
}

// newestStores returns for each store what was told with the latest end.
func newestStores(sources map[string]*knownSource) map[string]keeping.Kept {
	out := map[string]keeping.Kept{}
	for _, src := range sources {
		for address, kept := range src.stores.stores {
			if kept.Until > out[address].Until {
				out[address] = kept
			}
		}
	}
	return out
}
