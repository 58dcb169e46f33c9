package serving

import (
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// weightsSnapshot is what was known about weight versions when an attempt was sent.
type weightsSnapshot struct {
	// pinned is the only version under which the engine may run the attempt, 0 for any.
	pinned uint64
	// believed is the version that the engine was believed to have, and source how that was known.
	believed uint64
	source   registry.Provenance
	// history holds the versions known to have been announced, and required is the oldest on which
	// a request might begin.
	history  weights.History
	required uint64
	at       time.Time
}

// snapshotWeights returns the weights state for the current attempt, which is pinned to a version.
func (j *job) snapshotWeights(pinned uint64) weightsSnapshot {
	model := j.request.Prompt.Model
	now := clock.Now()
	view := j.server.View()
	return weightsSnapshot{
		pinned: pinned, believed: j.instance.Weights[model], source: j.instance.WeightsProvenance,
		history: view.WeightHistories[model], required: j.server.requiredWeights(view, model, now), at: now,
	}
}

// addTo adds to a log line the version that the attempt was pinned to, the version that the engine was
// believed to have with the source and age of that report, and the announced versions. Ages are
// relative to the time of sending.
func (k weightsSnapshot) addTo(line *log.Entry) *log.Entry {
	if k.at.IsZero() {
		return line
	}
	by := "heartbeat"
	if k.source.Queried {
		by = "question"
	}
	line = line.Uint64("weights_sent", k.pinned).Uint64("weights_believed", k.believed).Str("weights_by", by).Str("weights_from", k.source.Via).
		Dur("weights_age_ms", k.at.Sub(k.source.At)).Uint64("weights_required", k.required).Uint64("weights_newest", k.history.Newest())
	if newestAt, ok := k.history.NewestAnnouncedAt(); ok {
		line = line.Dur("weights_newest_age_ms", k.at.Sub(newestAt))
	}
	return line
}
