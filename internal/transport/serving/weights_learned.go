package serving

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// learnedWeights holds the engines that refused the weight version that they were believed to have, while no
// control instance was reachable to report which one they have. Without it, a process that was cut off
// before it learned that its engines had loaded newer weights requested the older ones in each attempt, and all
// attempts were refused until it was connected again.
type learnedWeights map[registry.Incarnation]learnedVersion

// learnedVersion is the version of a model's weights that an engine is taken to have.
type learnedVersion struct {
	model   string
	version uint64
}

// learn records the end of the current attempt. An engine that refused the version that the attempt was pinned
// to is taken to have the newest one that was announced; if it refuses that one too, what was known before
// holds again.
func (l learnedWeights) learn(j *job, end retry.Result, view *fleet.View, now time.Time) {
	_, misdirected := end.(retry.Misdirected)
	if !misdirected || j.weights.pinned == 0 || !view.Contact.Unreachable(now) {
		return
	}
	of, newest := j.instance.Incarnation(), j.weights.history.Newest()
	if j.weights.pinned >= newest {
		delete(l, of)
		return
	}
	l[of] = learnedVersion{j.request.Prompt.Model, newest}
	j.server.Log.Info().Str("event", "weights_learned").Str("instance", of.ID).Int64("start", int64(of.Start)).Uint64("refused", j.weights.pinned).Uint64("version", newest).Msg("")
}

// apply returns an engine with the version that was learned.
func (l learnedWeights) apply(in registry.Instance) registry.Instance {
	learned, ok := l[in.Incarnation()]
	if !ok || in.Weights[learned.model] >= learned.version {
		return in
	}
	in.Weights = maps.Clone(in.Weights)
	in.Weights[learned.model] = learned.version
	return in
}

// prune drops everything once control instances report the versions again.
func (l learnedWeights) prune(view *fleet.View, now time.Time) {
	if !view.Contact.Unreachable(now) {
		clear(l)
	}
}
