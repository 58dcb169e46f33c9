package serving

import (
	"context"
	"strconv"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Saves records saves with the leader before they are ordered: what a store holds is fetched only when nothing may be
// written under the same name any more.
type Saves interface {
	// Begin asks for saves and sets their holder. Only those that are granted may be ordered, and End must be called
	// if there are any.
	Begin(ctx context.Context, saves []keeping.Save) (holder string, results []keeping.SaveResult, err error)
	// End reports the end of a holder's attempt. It does not wait.
	End(holder string, end keeping.SaveEnd)
	// Denial returns how a save of a part to a store was denied lately; ok is false if it was not.
	Denial(store string, part keeping.Part) (result keeping.SaveResult, ok bool)
}

// planContext sets the weight version and the cache salt of a prompt, and the stores of its shared
// parts. The engine fetches parts that are complete in a store unless it has them itself, and
// saves the others to a store.
func (j *job) planContext(ctx context.Context, a *exchange.Attempt, p *exchange.Prompt) {
	scope := j.contextScope()
	salt := scope.salt(j.server.View().Config)
	j.sharedSince = salt.SharedSince
	a.Salt = salt.String()
	if j.mustPin(p.Model, salt.Version) {
		a.Weights = salt.Version
	}
	j.planStores(ctx, a, p)
	j.computed = computedTokens(p, a.Fetch)
	if a.Fetch != nil || a.Save != nil {
		// If the engine ran another version, the context would be stored under the wrong salt.
		a.Weights = salt.Version
	}
}

// contextScope is what determines, with a configuration, whose cached context a prompt may use.
type contextScope struct {
	model     string
	version   uint64
	team      string
	residency residency.Policy
}

// contextScope returns the scope of the prompt at the current attempt's instance.
func (j *job) contextScope() contextScope {
	model := j.request.Prompt.Model
	return contextScope{model: model, version: j.instance.Weights[model], team: j.team.Name, residency: j.residency}
}

// salt returns the cache salt under a configuration, which may be newer than the one that admitted the request.
func (s contextScope) salt(config *deployment.Config) keeping.Salt {
	out := keeping.Salt{Model: s.model, Version: s.version, Residency: s.residency}
	if config.SharesContext(s.team) {
		out.SharedSince = config.SharedSince
	} else {
		out.Team = s.team
	}
	return out
}

// planStores names the stores of the prompt's shared parts, if the prompt shares enough tokens for each.
func (j *job) planStores(ctx context.Context, a *exchange.Attempt, p *exchange.Prompt) {
	j.fetchParts, j.saveParts, j.saveHolder, j.fetchEpochs = 0, 0, "", nil
	view := j.server.View()
	lowest, minimum := j.keptMinimum(view)
	shared := p.Parts[:max(len(p.Parts)-1, 0)]
	tokens := totalTokens(shared)
	if tokens < lowest {
		return
	}
	stores := j.stores(view)
	var saves []keeping.Save
	var savedParts []int
	for i, part := range shared {
		key := keeping.Part{Salt: a.Salt, ID: part.ID}
		if address, kept, ok := stores.Holder(key); ok {
			if tokens < minimum(address) {
				continue
			}
			j.fetchParts++
			j.fetchEpochs = append(j.fetchEpochs, address+"/"+strconv.FormatUint(kept.Epoch, 10))
			a.Fetch = setPart(a.Fetch, p, i, exchange.PartLocation{Address: address, Tokens: kept.Parts[key]})
			if a.FetchUntil == 0 || kept.Until < a.FetchUntil {
				a.FetchUntil = kept.Until
			}
		} else if address, ok := stores.Place(key, part.Tokens, j.instance.FailureDomain); ok && tokens >= minimum(address) && !j.isSaveDenied(address, key) {
			saves = append(saves, keeping.Save{
				Store: address, Part: key, Tokens: part.Tokens, Request: j.request.ID, Engine: j.instance.Incarnation(), EngineAddress: j.instance.Address,
				Remaining: clock.Until(j.deadline) + deadlineGrace,
			})
			savedParts = append(savedParts, i)
		}
	}
	for i, result := range j.beginSaves(ctx, saves) {
		if result == keeping.SaveGranted {
			j.saveParts++
			a.Save = setPart(a.Save, p, savedParts[i], exchange.PartLocation{Address: saves[i].Store, Tokens: saves[i].Tokens})
		}
	}
}

// isSaveDenied reports whether the leader is not to be asked for a save now.
func (j *job) isSaveDenied(store string, part keeping.Part) bool {
	if j.server.Saves == nil {
		return true
	}
	_, denied := j.server.Saves.Denial(store, part)
	return denied
}

// beginSaves asks for the saves of the attempt, and sets its holder if any is granted.
func (j *job) beginSaves(ctx context.Context, saves []keeping.Save) []keeping.SaveResult {
	if len(saves) == 0 {
		return nil
	}
	began := clock.Now()
	holder, results, err := j.server.Saves.Begin(ctx, saves)
	j.saveTook = clock.Since(began)
	if err != nil {
		j.server.Metrics.saves.WithLabelValues("failed").Inc()
		return nil
	}
	for _, result := range results {
		j.server.Metrics.saves.WithLabelValues(result.String()).Inc()
		if result == keeping.SaveGranted {
			j.saveHolder = holder
		}
	}
	return results
}

// endSaves reports how an attempt has ended that had saves granted. What the instance was still working on when the
// attempt was given up may be saved later.
func (j *job) endSaves(holder string, end retry.Result) {
	if holder == "" {
		return
	}
	switch end.(type) {
	case retry.Completed:
		j.server.Saves.End(holder, keeping.SaveEnded)
	case retry.Refused, retry.Misdirected, retry.Unreached:
		j.server.Saves.End(holder, keeping.SaveNotOrdered)
	default:
		j.server.Saves.End(holder, keeping.SaveEndUnknown)
	}
}

// addStores adds to a log line by what the last attempt fetched parts, as addresses and epochs of stores, and as which
// holder it saved some.
func (j *job) addStores(line *log.Entry) *log.Entry {
	if len(j.fetchEpochs) > 0 {
		line = line.Strs("fetch_epochs", j.fetchEpochs)
	}
	if j.saveTook > 0 {
		line = line.Dur("save_ms", j.saveTook)
	}
	if j.saveHolder != "" {
		line = line.Str("save_holder", j.saveHolder)
	}
	return line
}

// stores returns the state of the stores.
func (j *job) stores(view *fleet.View) keeping.Stores {
	return keeping.Stores{
		Contents: view.Stores, Declared: view.Config.Stores(), Now: clock.Now(), Residency: j.residency, Regions: j.server.Regions,
		IsBlocked: j.isSaveUnresolved,
	}
}

// isSaveUnresolved reports whether it may never be known when an earlier save of a part to a store ends.
func (j *job) isSaveUnresolved(store string, part keeping.Part) bool {
	if j.server.Saves == nil {
		return false
	}
	result, denied := j.server.Saves.Denial(store, part)
	return denied && result == keeping.SaveUnresolved
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
