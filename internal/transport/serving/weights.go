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

// Two checks prevent requests from beginning on old weights after their grace period: this process
// decides before each attempt, from the times at which it knows newer versions to have been
// announced, and the engine refuses a version that it does not have. The progress of the rollout only
// decides how many engines can serve.

const (
	// weightsMargin is how long before the end of their grace period old weights are no longer used.
	// It covers the delay with which this process learns of an announcement, and the time that a
	// request or its cancellation takes to reach an engine. weightsMarginDivisor limits the margin to
	// a fraction of a short grace period.
	weightsMargin        = 1500 * time.Millisecond
	weightsMarginDivisor = 4
	// weightsRetryAfter is the Retry-After when no engine has the required weights: about the time
	// in which an engine loads them.
	weightsRetryAfter = time.Second
)

// oldWeightsGrace returns how long after the announcement of newer weights this process uses older ones.
func (s *Server) oldWeightsGrace() time.Duration {
	return s.OldWeightsGrace - min(weightsMargin, s.OldWeightsGrace/weightsMarginDivisor)
}

// requiredWeights returns the oldest weight version of a model on which a request may begin.
func (s *Server) requiredWeights(view *fleet.View, model string, now time.Time) uint64 {
	return view.WeightHistories[model].Required(now, view.OldWeightsGrace(s.oldWeightsGrace(), now))
}

// weightsExpiry returns the time until which a request may begin on a version of a model. ok is false
// while none is known.
func (s *Server) weightsExpiry(view *fleet.View, model string, version uint64, now time.Time) (expiry time.Time, ok bool) {
	return view.WeightHistories[model].AllowedUntil(version, view.OldWeightsGrace(s.oldWeightsGrace(), now))
}

// usable returns the instances of the service at which the request may begin or go on: those with fitting
// weights and software. The server's mu must be held.
func (j *job) usable(view *fleet.View, now time.Time) []registry.Instance {
	all := view.Instances[j.service]
	unusable := j.unusable(view, now)
	if unusable == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), unusable)
}

// unusable returns a function that reports whether the request may not begin or go on at an instance because of
// its weights or its software, or nil if that applies to none. The server's mu must be held.
func (j *job) unusable(view *fleet.View, now time.Time) func(registry.Instance) bool {
	tooOld, wrongVersion := j.weightsTooOld(view, now), j.wrongVersion(view, now)
	switch {
	case tooOld == nil:
		return wrongVersion
	case wrongVersion == nil:
		return tooOld
	}
	return func(in registry.Instance) bool { return tooOld(in) || wrongVersion(in) }
}

// weightsTooOld returns a function that reports whether the request may no longer begin on an engine's
// weights, or nil if that applies to none. A streamed request is expected to begin within the route's objective. The beginning of
// any other request cannot be observed, so its deadline must be before the expiry. The server's mu must be
// held.
func (j *job) weightsTooOld(view *fleet.View, now time.Time) func(registry.Instance) bool {
	if !j.needsWeights(view) {
		return nil
	}
	by := now.Add(j.route.Objective)
	if j.route.Kind != deployment.Stream {
		by = j.deadline
	}
	model := j.request.Prompt.Model
	tooOld := func(version uint64) bool {
		expiry, expires := j.server.weightsExpiry(view, model, version, now)
		return expires && !by.Before(expiry)
	}
	if !slices.ContainsFunc(j.server.balancer.WeightVersions(view.Instances[j.service], model, now), tooOld) {
		return nil
	}
	return func(in registry.Instance) bool { return tooOld(in.Weights[model]) }
}

// needsWeights reports whether the request is a prompt for a service of engines.
func (j *job) needsWeights(view *fleet.View) bool {
	return j.request.Prompt != nil && view.Config.Services[j.service].Engine != nil
}

// mustPin reports whether an attempt must carry the weight version that its engine is believed to
// have, so that the engine refuses it under any other version. It must, unless that version expires
// at the same time as the oldest one: then the engine may run the request on whatever version it
// has until that time. Pinning the version in that case would make an engine refuse requests
// until this process knows that it has loaded newer weights, and each refusal costs a resend.
func (j *job) mustPin(model string, version uint64) bool {
	view, now := j.server.View(), clock.Now()
	expiry, expires := j.server.weightsExpiry(view, model, version, now)
	oldest, _ := j.server.weightsExpiry(view, model, 0, now)
	return !expires || !expiry.Equal(oldest)
}

// noWeights returns the outcome of a request when the weights of every engine are too old.
func (j *job) noWeights() outcome.Outcome {
	if j.attemptNumber > 0 {
		return j.attempts.GiveUp()
	}
	return outcome.NotRun{RetryAfter: weightsRetryAfter, Reason: outcome.ReasonOldWeights}
}

// reportRequired updates the weights metrics, and logs the required version of each model when it
// rises. mu must be held.
func (s *Server) reportRequired(now time.Time) {
	view := s.View()
	for model, named := range view.WeightHistories {
		required := s.requiredWeights(view, model, now)
		newest, older := named.Newest(), 0
		for _, instances := range view.Instances {
			for _, in := range instances {
				if version, ok := in.Weights[model]; ok && version < newest {
					older++
				}
			}
		}
		s.Metrics.setWeights(model, newest, required, older)
		if required <= s.requiredLogged[model] {
			continue
		}
		s.requiredLogged[model] = required
		s.Log.Info().Str("event", "weights_required").Str("model", model).Uint64("version", required).Uint64("newest", newest).Int("engines_older", older).Msg("")
	}
}
