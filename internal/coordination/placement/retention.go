package placement

import "time"

const (
	// retentionGrowth is how fast a learned retention is doubted: by this part of
	// itself each minute, so that an engine with more memory is found out.
	retentionGrowth = 0.02
	// retentionStep is how far beyond the age of a surviving context it is raised.
	retentionStep = 1.25
	// retentionCut is how far a miss lowers it towards the missed context's age.
	retentionCut = 0.5
)

// retention is how long the engines of a model keep a context that nobody asks for.
// An engine that evicts by last use, under steady load, has one such time, and engines
// of one model that share their load have about the same. It is learned from what
// became of contexts whose age was known, so no eviction needs to be told.
type retention struct {
	// seconds is 0 until the first miss: everything is believed.
	seconds float64
	// since is when seconds was set.
	since time.Time
}

// at is the retention now, grown since it was learned.
func (r *retention) at(now time.Time) float64 {
	return r.seconds * (1 + retentionGrowth*now.Sub(r.since).Minutes())
}

// keeps reports whether a context of an age in seconds is probably still there.
func (r *retention) keeps(age float64, now time.Time) bool {
	return r.seconds == 0 || age <= r.at(now)
}

// learn takes what became of a context of an age.
func (r *retention) learn(age float64, survived bool, now time.Time) {
	present := r.at(now)
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

// distrust clears the hints to contexts that are older than their engine keeps.
func (b *Planner) distrust(now time.Time) {
	second := float64(now.Unix())
	for _, n := range b.found.Touched() {
		age := second - float64(b.found.Used[n])
		r, ok := b.retentions[b.upstreams[n].Model]
		if ok && !r.keeps(age, now) {
			b.found.Cached[n] = 0
		}
	}
}

// NoteReuse takes how many blocks an engine really reused for a plan.
func (b *Planner) NoteReuse(p Plan, blocks int, now time.Time) {
	if p.Cached == 0 || p.Fetch {
		return
	}
	age := float64(now.Unix()) - float64(p.CachedUsed)
	model := b.upstreams[p.Upstream].Model
	r, ok := b.retentions[model]
	if !ok {
		r = &retention{}
		b.retentions[model] = r
	}
	r.learn(age, blocks >= p.Cached, now)
}
