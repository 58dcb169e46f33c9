package serving

import (
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// minKeptTokens is the number of shared tokens from which the parts of a prompt are kept in stores.
// Fewer are computed again in less time (19 ms at 54 tokens/ms) than a transfer takes to
// set up (8 ms), plus a slow store's first byte (6 ms), plus their queues. With a minimum of 192
// tokens, fewer tokens were recomputed but fewer requests were served in time.
const minKeptTokens = 1024

// planContext sets the weight version and the cache salt of a prompt, and the stores of its shared
// parts. The engine fetches parts that are complete in a store unless it has them itself, and
// saves the others to a store.
func (j *job) planContext(a *exchange.Attempt, p *exchange.Prompt) {
	salt := j.salt(p, j.instance.Weights[p.Model])
	a.Salt = salt.String()
	if j.mustPin(p.Model, salt.Version) {
		a.Weights = salt.Version
	}
	stores := j.stores()
	j.fetchParts, j.saveParts = 0, 0
	shared := p.Parts[:max(len(p.Parts)-1, 0)]
	if totalTokens(shared) < minKeptTokens {
		return
	}
	for i, part := range shared {
		key := keeping.Part{Salt: a.Salt, ID: part.ID}
		if address, kept, ok := stores.Holder(key); ok {
			j.fetchParts++
			a.Fetch = setPart(a.Fetch, p, i, exchange.PartLocation{Address: address, Tokens: kept.Parts[key]})
			if a.FetchUntil == 0 || kept.Until < a.FetchUntil {
				a.FetchUntil = kept.Until
			}
		} else if address, ok := stores.Place(key, part.Tokens, j.instance.FailureDomain); ok {
			j.saveParts++
			a.Save = setPart(a.Save, p, i, exchange.PartLocation{Address: address, Tokens: part.Tokens})
		}
	}
	if a.Fetch != nil || a.Save != nil {
		// If the engine ran another version, the context would be stored under the wrong salt.
		a.Weights = salt.Version
	}
}

// salt returns the salt of a prompt's context under a weight version.
func (j *job) salt(p *exchange.Prompt, version uint64) keeping.Salt {
	salt := keeping.Salt{Model: p.Model, Version: version, Residency: j.residency}
	if j.team.Isolated {
		salt.Team = j.team.Name
	}
	return salt
}

// unreadTokens returns how many tokens of a prompt no store holds under a weight version.
func (j *job) unreadTokens(p *exchange.Prompt, version uint64) int {
	shared := p.Parts[:max(len(p.Parts)-1, 0)]
	if totalTokens(shared) < minKeptTokens {
		return p.Tokens
	}
	stores, salt := j.stores(), j.salt(p, version).String()
	unread := p.Tokens
	for _, part := range shared {
		if _, _, ok := stores.Holder(keeping.Part{Salt: salt, ID: part.ID}); ok {
			unread -= part.Tokens
		}
	}
	return max(unread, 0)
}

// stores returns the current state of the stores.
func (j *job) stores() keeping.Stores {
	view := j.server.View()
	return keeping.Stores{
		Contents: view.Stores, Declared: view.Config.Stores(), Now: clock.Now(), Residency: j.residency, Regions: j.server.Regions,
	}
}

func totalTokens(parts []exchange.Part) int {
	n := 0
	for _, part := range parts {
		n += part.Tokens
	}
	return n
}

func setPart(list []exchange.PartLocation, p *exchange.Prompt, i int, place exchange.PartLocation) []exchange.PartLocation {
	if list == nil {
		list = make([]exchange.PartLocation, len(p.Parts))
	}
	list[i] = place
	return list
}
