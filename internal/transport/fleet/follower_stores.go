package fleet

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// shownStep bounds how often all parts of a store are copied to show more of them while they
// come in many answers: whenever there are a quarter more, which is about five copies of each
// part in all. A copy for each answer takes minutes of processor time with millions of parts.
const shownStep = 4

// storesKnown is what one source told of stores. The zero value knows none.
type storesKnown struct {
	stores map[string]keeping.StoreContents
	// addresses are by the source's numbers.
	addresses map[uint32]string
	// parts holds the parts of each store by its address.
	parts map[string]*partsKnown
	// change, backlog and until are the marks of the last answer.
	change, backlog uint64
	until           time.Duration
}

// partsKnown are the parts of one store. Others read those in storesKnown.stores, which are
// behind while there is a backlog.
type partsKnown struct {
	tokens map[keeping.Part]int
	// behind is true while others are not shown all of it.
	behind bool
}

// take joins what a source tells.
func (k *storesKnown) take(out *wire.FleetResponse, now time.Time) {
	k.change = out.StoreChange
	k.backlog = out.StoreBacklog
	k.until = time.Duration(out.StoresUntil) * time.Millisecond
	for _, state := range out.Stores {
		k.takeState(state)
	}
	for address, parts := range k.parts {
		if parts.behind && k.backlog == 0 {
			k.show(address, parts)
		}
	}
	for i, number := range out.StoreNumbers {
		address, ok := k.addresses[number]
		if !ok || i >= len(out.StoreAges) {
			continue
		}
		kept := k.stores[address]
		until := k.until - time.Duration(out.StoreAges[i])*time.Millisecond
		if until > kept.Until {
			kept.ReceivedAt = now
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
		delete(k.parts, state.Address)
		return
	}
	if k.stores == nil {
		k.stores = map[string]keeping.StoreContents{}
		k.addresses = map[uint32]string{}
		k.parts = map[string]*partsKnown{}
	}
	k.addresses[state.Number] = state.Address
	next := k.stores[state.Address]
	next.FreeTokens = int(state.OpenTokens)
	next.OpenEpoch = state.OpenEpoch
	parts := k.parts[state.Address]
	if state.Whole || parts == nil {
		parts = &partsKnown{tokens: map[keeping.Part]int{}}
		k.parts[state.Address] = parts
		next.Parts = nil
	}
	k.stores[state.Address] = next
	if len(state.Parts) == 0 {
		return
	}
	parts.behind = true
	if parts.join(state.Parts) || len(parts.tokens) >= len(next.Parts)+len(next.Parts)/shownStep {
		k.show(state.Address, parts)
	}
}

// show lets others read all that is known of a store's parts. What they read is never written.
func (k *storesKnown) show(address string, parts *partsKnown) {
	kept := k.stores[address]
	kept.Parts = maps.Clone(parts.tokens)
	k.stores[address] = kept
	parts.behind = false
}

// join joins changes; it reports whether any part that was known is another now, or gone, which
// others must know at once. New ones they may know late, at the price of a computation.
func (p *partsKnown) join(changes []*wire.KeptPart) (others bool) {
	for _, c := range changes {
		part := keeping.Part{Salt: c.Salt, ID: c.Id}
		before, known := p.tokens[part]
		others = others || known && before != int(c.Tokens)
		if c.Tokens == 0 {
			delete(p.tokens, part)
			continue
		}
		p.tokens[part] = int(c.Tokens)
	}
	return others
}

// newestStores returns for each store what was told with the latest end.
func newestStores(sources map[string]*knownSource) map[string]keeping.StoreContents {
	out := map[string]keeping.StoreContents{}
	for _, src := range sources {
		for address, kept := range src.stores.stores {
			if kept.Until > out[address].Until {
				out[address] = kept
			}
		}
	}
	return out
}
