package serving

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// What keeps requests from beginning on old weights once their time is over is decided here, at
// each sending, by what this process knows by itself of when newer ones were named; and by the
// engine, which refuses a version that it does not have. How far the engines have been brought
// to the newest version decides only how many of them can serve.

const (
	// weightsMargin is how much before the end of their time old weights are left alone: it
	// covers how late this process heard of a naming, and how long what it sends, or takes
	// back, is on its way to an engine. weightsMarginShare bounds it to a part of short times.
	weightsMargin      = 1500 * time.Millisecond
	weightsMarginShare = 4
	// weightsRetryAfter is when a caller may come back for whom no engine has the weights that
	// are required: about the time in which one loads them.
	weightsRetryAfter = time.Second
)

// oldWeights is how long after a naming this process uses older weights.
func (s *Server) oldWeights() time.Duration {
	return s.OldWeightsGrace - min(weightsMargin, s.OldWeightsGrace/weightsMarginShare)
}

// requiredWeights returns the oldest version of a model on which a request may begin.
func (s *Server) requiredWeights(view *fleet.View, model string, now time.Time) uint64 {
	return view.Named[model].Required(now, view.OldWeights(s.oldWeights(), now))
}

// weightsEnd returns until when a request may begin on a version of a model; ok is false while
// no end of it is known.
func (s *Server) weightsEnd(view *fleet.View, model string, version uint64, now time.Time) (end time.Time, ok bool) {
	return view.Named[model].Until(version, view.OldWeights(s.oldWeights(), now))
}

// usable leaves out the engines on which the request may not begin any more. One whose answer
// is no stream is not seen to begin, so it must have ended before.
func (j *job) usable(view *fleet.View, now time.Time) []registry.Instance {
	all := view.Instances[j.service]
	if !j.needsWeights(view) {
		return all
	}
	by := now.Add(j.route.Objective)
	if j.route.Kind != deployment.Stream {
		by = j.deadline
	}
	model := j.request.Prompt.Model
	tooOld := func(in registry.Instance) bool {
		end, ends := j.server.weightsEnd(view, model, in.Weights[model], now)
		return ends && !by.Before(end)
	}
	if !slices.ContainsFunc(all, tooOld) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), tooOld)
}

// needsWeights reports whether the request is a prompt for engines.
func (j *job) needsWeights(view *fleet.View) bool {
	return j.request.Prompt != nil && view.Config.Services[j.service].Engine != nil
}

// mustName reports whether an attempt must name the version that its engine is believed to have,
// so that the engine refuses it on another: that is so unless the time of that version is over
// as soon as that of the oldest. Then the engine may run it on whatever it has, until that
// end; if it were asked for the version, it would refuse while it is not known yet that it has
// loaded newer ones, and each refusal is a repeated send.
func (j *job) mustName(model string, version uint64) bool {
	view, now := j.server.View(), clock.Now()
	end, ends := j.server.weightsEnd(view, model, version, now)
	oldest, _ := j.server.weightsEnd(view, model, 0, now)
	return !ends || !end.Equal(oldest)
}

// noWeights is the end of a request for which every engine's weights are too old.
func (j *job) noWeights() outcome.Outcome {
	if j.number > 0 {
		return j.tries.GiveUp()
	}
	return outcome.NotRun{RetryAfter: weightsRetryAfter, Reason: outcome.ReasonOldWeights}
}

// tellRequired logs what is required of each model when that rises; mu must be held.
func (s *Server) tellRequired(now time.Time) {
	view := s.View()
	for model, named := range view.Named {
		required := s.requiredWeights(view, model, now)
		newest, older := named.Newest(), 0
		for _, instances := range view.Instances {
			for _, in := range instances {
				if version, ok := in.Weights[model]; ok && version < newest {
					older++
				}
			}
		}
		s.Metrics.weights(model, newest, required, older)
		if required <= s.required[model] {
			continue
		}
		s.required[model] = required
		s.Log.Info().Str("event", "weights_required").Str("model", model).Uint64("version", required).Uint64("newest", newest).Int("engines_older", older).Msg("")
	}
}
