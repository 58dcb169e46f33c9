package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// OldWeightsGrace returns for how long requests may begin on old weights by this view, at a time and
// when a bound is declared.
func (v *View) OldWeightsGrace(bound time.Duration, now time.Time) weights.GracePolicy {
	return weights.GracePolicy{Period: bound, LastUnreachable: v.Contact.LastUnreachable, Unreachable: v.Contact.Unreachable(now)}
}

// newestOf returns the newest version of each model.
func newestOf(named map[string]weights.History) map[string]uint64 {
	out := make(map[string]uint64, len(named))
	for model, h := range named {
		out[model] = h.Newest()
	}
	return out
}

// dueOf returns the version of each model that is required for certain.
func dueOf(named map[string]weights.History) map[string]uint64 {
	out := map[string]uint64{}
	for model, h := range named {
		if h.Enforced() > 0 {
			out[model] = h.Enforced()
		}
	}
	return out
}

// fromNamed lists the namings of each model, with their ages.
func fromNamed(named map[string]weights.History, now time.Time) []*wire.WeightNaming {
	var out []*wire.WeightNaming
	for _, model := range slices.Sorted(maps.Keys(named)) {
		for _, n := range named[model].Announcements() {
			out = append(out, &wire.WeightNaming{Model: model, Version: n.Version, AgeMilliseconds: uint64(now.Sub(n.At).Milliseconds())})
		}
	}
	return out
}

// takeNamed joins what a source knows of the versions of weights that were named; mu must be
// held. One that does not tell when counts as if it had just heard of them.
func (f *Follower) takeNamed(address string, out *wire.FleetResponse, now time.Time) {
	for _, n := range out.Named {
		f.name(address, n.Model, weights.Announcement{Version: n.Version, At: before(now, n.AgeMilliseconds)}, now)
	}
	for _, w := range out.Due {
		f.named[w.Model] = f.named[w.Model].Enforce(w.Version)
	}
	for _, w := range out.Weights {
		if w.Version > f.named[w.Model].Newest() {
			f.name(address, w.Model, weights.Announcement{Version: w.Version, At: now}, now)
		}
	}
}

// name takes one naming; mu must be held.
func (f *Follower) name(address, model string, n weights.Announcement, now time.Time) {
	known := f.named[model]
	f.named[model] = known.Announce(n)
	if n.Version > known.Newest() {
		f.Log.Info().Str("event", "weights_named").Str("model", model).Uint64("version", n.Version).Str("from", address).Dur("age_ms", now.Sub(n.At)).Msg("")
	}
}
