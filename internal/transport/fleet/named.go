package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// OldWeightsGrace returns the grace period in which requests may still begin on old weights,
// according to this view at the time now; period is the configured duration.
func (v *View) OldWeightsGrace(period time.Duration, now time.Time) weights.GracePolicy {
	return weights.GracePolicy{Period: period, LastUnreachable: v.Contact.LastUnreachable, Unreachable: v.Contact.Unreachable(now)}
}

// newestVersions returns the newest version of each model.
func newestVersions(histories map[string]weights.History) map[string]uint64 {
	out := make(map[string]uint64, len(histories))
	for model, h := range histories {
		out[model] = h.Newest()
	}
	return out
}

// enforcedVersions returns the version of each model for which the grace period of older versions
// is certainly over.
func enforcedVersions(histories map[string]weights.History) map[string]uint64 {
	out := map[string]uint64{}
	for model, h := range histories {
		if h.Enforced() > 0 {
			out[model] = h.Enforced()
		}
	}
	return out
}

// fromHistories lists the announced versions of each model, with the ages of the announcements.
func fromHistories(histories map[string]weights.History, now time.Time) []*wire.WeightNaming {
	var out []*wire.WeightNaming
	for _, model := range slices.Sorted(maps.Keys(histories)) {
		for _, n := range histories[model].Announcements() {
			out = append(out, &wire.WeightNaming{Model: model, Version: n.Version, AgeMilliseconds: uint64(now.Sub(n.At).Milliseconds())})
		}
	}
	return out
}

// applyAnnouncements merges the announced weight versions in a source's answer; mu must be held. A
// version without the age of its announcement counts as announced now.
func (f *Follower) applyAnnouncements(address string, out *wire.FleetResponse, now time.Time) {
	for _, n := range out.Named {
		f.applyAnnouncement(address, n.Model, weights.Announcement{Version: n.Version, At: ago(now, n.AgeMilliseconds)}, now)
	}
	for _, w := range out.Due {
		f.weightHistories[w.Model] = f.weightHistories[w.Model].Enforce(w.Version)
	}
	for _, w := range out.Weights {
		if w.Version > f.weightHistories[w.Model].Newest() {
			f.applyAnnouncement(address, w.Model, weights.Announcement{Version: w.Version, At: now}, now)
		}
	}
}

// applyAnnouncement merges one announced version; mu must be held.
func (f *Follower) applyAnnouncement(address, model string, n weights.Announcement, now time.Time) {
	known := f.weightHistories[model]
	f.weightHistories[model] = known.Announce(n)
	if n.Version > known.Newest() {
		f.Log.Info().Str("event", "weights_named").Str("model", model).Uint64("version", n.Version).Str("from", address).Dur("age_ms", now.Sub(n.At)).Msg("")
	}
}
