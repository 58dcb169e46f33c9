package serving

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// leastKept is how many shared tokens a prompt has whose parts are kept in stores:
	// reading fewer again takes an engine less time (19 ms at 54 tokens a ms) than the
	// setting up of a move (8 ms) and a slow store's first byte (6 ms) and their waits in
	// turn. From 192 tokens on, less was read again, and fewer were served in time.
	leastKept = 1024
	// freshFor is how long what a store keeps is gone by after it was told; after that, a
	// fetch would be thrown away before it ends more often than not.
	freshFor = keeping.NamedFor / 2
)

// keep sets the salt of a prompt, and the stores of its shared parts: those that are whole
// in a store are taken from there, as far as the engine does not have them itself, and the
// others are brought to one.
func (j *job) keep(a *exchange.Attempt, p *exchange.Prompt) {
	salt := keeping.Salt{Model: p.Model, Version: j.instance.Weights[p.Model]}
	if j.team.Isolated {
		salt.Team = j.team.Name
	}
	a.Salt = salt.String()
	stores := j.server.View().Stores
	j.fetch, j.save = 0, 0
	shared := p.Parts[:max(len(p.Parts)-1, 0)]
	if total(shared) < leastKept {
		return
	}
	for i, part := range shared {
		key := keeping.Part{Salt: a.Salt, ID: part.ID}
		if address, kept, ok := holder(stores, key); ok {
			j.fetch++
			a.Fetch = at(a.Fetch, p, i, exchange.PartAt{Address: address, Tokens: kept.Parts[key]})
			if a.FetchUntil == 0 || kept.Until < a.FetchUntil {
				a.FetchUntil = kept.Until
			}
		} else if address, ok := room(stores, key, part.Tokens); ok {
			j.save++
			a.Save = at(a.Save, p, i, exchange.PartAt{Address: address, Tokens: part.Tokens})
		}
	}
	if a.Fetch != nil || a.Save != nil {
		// Under other weights, the context would be kept under a wrong salt.
		a.Weights = salt.Version
	}
}

func total(parts []exchange.Part) int {
	n := 0
	for _, part := range parts {
		n += part.Tokens
	}
	return n
}

func at(list []exchange.PartAt, p *exchange.Prompt, i int, place exchange.PartAt) []exchange.PartAt {
	if list == nil {
		list = make([]exchange.PartAt, len(p.Parts))
	}
	list[i] = place
	return list
}

// holder returns a store that holds a part, the one that is named longest.
func holder(stores map[string]fleet.Kept, part keeping.Part) (address string, kept fleet.Kept, ok bool) {
	for name, k := range stores {
		if k.Parts[part] > 0 && time.Since(k.At) < freshFor && k.Until > kept.Until {
			address, kept, ok = name, k, true
		}
	}
	return address, kept, ok
}

// room chooses the store for a new part: by rendezvous hashing, so that all entries choose
// the same, weighted by what is open.
func room(stores map[string]fleet.Kept, part keeping.Part, tokens int) (address string, ok bool) {
	best := 0.0
	for _, name := range slices.Sorted(maps.Keys(stores)) {
		k := stores[name]
		if k.Open < 2*tokens || time.Since(k.At) >= freshFor {
			continue
		}
		draw := float64(xxhash.Sum64String(name+"/"+part.ID)>>11) / (1 << 53)
		if weight := draw * float64(k.Open); weight > best {
			best, address, ok = weight, name, true
		}
	}
	return address, ok
}
