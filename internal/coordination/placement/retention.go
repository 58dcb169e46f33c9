package placement

import "time"

const (
	// retentionGrowth is the part by which a learned retention grows per minute, so that an
	// increase of an engine's memory is detected.
	retentionGrowth = 0.02
	// retentionStep is the factor between the age of a surviving context and the retention that is
	// learned from it.
	retentionStep = 1.25
	// retentionCut is the part of the difference to a missed context's age by which a miss lowers
	// the retention.
	retentionCut = 0.5
)

// retention is how long the engines of a model keep a context that is not used. An engine that
// evicts by last use under steady load has one such time, and engines of one model that share their
// load have about the same. It is learned from whether contexts of known age were still there, so
// it does not depend on eviction events.
type retention struct {
	// seconds is 0 until the first miss; until then every hint is trusted.
	seconds float64
	// since is when seconds was set.
	since time.Time
}

// current returns the retention now, including its growth since it was learned.
func (r *retention) current(now time.Time) float64 {
	return r.seconds * (1 + retentionGrowth*now.Sub(r.since).Minutes())
}

// retains reports whether a context of an age in seconds is probably still cached.
func (r *retention) retains(age float64, now time.Time) bool {
	return r.seconds == 0 || age <= r.current(now)
}

// update adjusts the retention to whether a context of an age was still cached.
func (r *retention) update(age float64, survived bool, now time.Time) {
	present := r.current(now)
	switch {
	case survived && (r.seconds == 0 || age*retentionStep <= present):
		return
	case survived:
		r.seconds = age * retentionStep
	case r.seconds == 0:
		r.seconds = age
	case age < present:
		r.seconds = present + retentionCut*(age-present)
	default:
		return
	}
	r.since = now
}

// dropExpired clears the hints to contexts that are older than their engine's retention.
func (pl *Planner) dropExpired(now time.Time) {
	second := float64(now.Unix())
	for _, n := range pl.found.Holders() {
		age := second - float64(pl.found.LastUsed[n])
		r, ok := pl.retentions[pl.upstreams[n].Model]
		if ok && !r.retains(age, now) {
			pl.found.Cached[n] = 0
		}
	}
}

// NoteReuse records how many blocks an engine actually reused for a plan.
func (pl *Planner) NoteReuse(p Plan, blocks int, now time.Time) {
	if p.Cached == 0 || p.Fetch {
		return
	}
	age := float64(now.Unix()) - float64(p.CachedAsOf)
	model := pl.upstreams[p.Upstream].Model
	r, ok := pl.retentions[model]
	if !ok {
		r = &retention{}
		pl.retentions[model] = r
	}
	r.update(age, blocks >= p.Cached, now)
}
