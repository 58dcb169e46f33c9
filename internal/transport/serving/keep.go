package serving

import (
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// leastKept is how many shared tokens a prompt has whose parts are kept in stores:
// reading fewer again takes an engine less time (19 ms at 54 tokens a ms) than the
// setting up of a move (8 ms) and a slow store's first byte (6 ms) and their waits in
// turn. From 192 tokens on, less was read again, and fewer were served in time.
const leastKept = 1024

// keep sets the weights and the salt of a prompt, and the stores of its shared parts: those
// that are whole in a store are taken from there, as far as the engine does not have them
// itself, and the others are brought to one.
func (j *job) keep(a *exchange.Attempt, p *exchange.Prompt) {
	salt := keeping.Salt{Model: p.Model, Version: j.instance.Weights[p.Model]}
	if j.team.Isolated {
		salt.Team = j.team.Name
	}
	a.Salt = salt.String()
	if j.mustName(p.Model, salt.Version) {
		a.Weights = salt.Version
	}
	stores := j.stores()
	j.fetch, j.save = 0, 0
	shared := p.Parts[:max(len(p.Parts)-1, 0)]
	if total(shared) < leastKept {
		return
	}
	for i, part := range shared {
		key := keeping.Part{Salt: a.Salt, ID: part.ID}
		if address, kept, ok := stores.Holder(key); ok {
			j.fetch++
			a.Fetch = at(a.Fetch, p, i, exchange.PartAt{Address: address, Tokens: kept.Parts[key]})
			if a.FetchUntil == 0 || kept.Until < a.FetchUntil {
				a.FetchUntil = kept.Until
			}
		} else if address, ok := stores.Place(key, part.Tokens, j.instance.FailureDomain); ok {
			j.save++
			a.Save = at(a.Save, p, i, exchange.PartAt{Address: address, Tokens: part.Tokens})
		}
	}
	if a.Fetch != nil || a.Save != nil {
		// Under other weights, the context would be kept under a wrong salt.
		a.Weights = salt.Version
	}
}

// stores is what is known of stores now.
func (j *job) stores() keeping.Stores {
	view := j.server.View()
	return keeping.Stores{Contents: view.Stores, Declared: view.Config.Stores(), Now: clock.Now()}
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
