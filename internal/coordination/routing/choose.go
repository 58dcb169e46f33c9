package routing

import (
	"math"
	"time"
)

const (
	// farPenalty is what crossing to another failure domain costs, in seconds:
	// some round trips, and a link that may be cut.
	farPenalty = 0.010
	// tieSeconds and tieShare say how close two scores are to count as equal:
	// estimates are not better than that.
	tieSeconds = 0.002
	tieShare   = 0.05
	// fetchOverhead is the fixed cost of a fetch in seconds: two round trips and
	// the check after the last byte.
	fetchOverhead = 0.004
	// minFetchLimit is the shortest time that a fetch is given, in seconds.
	minFetchLimit = 0.050
)

// Weights say what the deployment cares for.
type Weights struct {
	// FirstToken is what one second to the first token costs.
	FirstToken float64
	// Recompute is what one recomputed token costs, in the same unit.
	Recompute float64
}

// Prompt is what the choice depends on besides the upstreams.
type Prompt struct {
	Model   string
	Version string
	// Tokens is the length of the prompt.
	Tokens int
	// Cached holds, for each upstream, how many leading tokens it may have.
	Cached func(upstream int) int
	// Stored is how many leading tokens stores may have.
	Stored int
	// BytesPerToken is the size of kept context.
	BytesPerToken float64
	// StoreRate is the bandwidth that the store's link has left, in bytes a second.
	StoreRate float64
	Weights   Weights
	// Excluded reports whether an upstream was tried already.
	Excluded func(upstream int) bool
	// Random is any number; it breaks ties.
	Random uint64
}

// Plan says where a prompt runs.
type Plan struct {
	// Upstream is the number of the chosen upstream.
	Upstream int
	// Fetch is true when its kept context is fetched from the store first.
	Fetch bool
	// FetchLimit is how long a fetch may take: as long as it would take to compute
	// what it brings, and no less than a few round trips.
	FetchLimit time.Duration
	// Estimate is the expected time to the first token.
	Estimate time.Duration
	// Recompute is how many tokens are expected to be computed.
	Recompute int
}

// option is the plan for one upstream with its score.
type option struct {
	plan  Plan
	score float64
	own   int
}

// Choose returns the best plan; ok is false when no upstream may run the prompt.
// It does not allocate.
//
// Upstreams whose scores are about equal are chosen among by the power of two
// choices: two are drawn at random, and the one with fewer of this entry's own
// runs wins. So entries that hold the same old report do not all pick the same.
func Choose(upstreams []Upstream, p *Prompt, now time.Time) (plan Plan, ok bool) {
	best := math.Inf(1)
	for i := range upstreams {
		o, ok := evaluate(upstreams, i, p, now)
		if ok && o.score < best {
			best = o.score
		}
	}
	if math.IsInf(best, 1) {
		return Plan{}, false
	}
	limit := best + max(tieSeconds*p.Weights.FirstToken, best*tieShare)
	tied := 0
	for i := range upstreams {
		o, ok := evaluate(upstreams, i, p, now)
		if ok && o.score <= limit {
			tied++
		}
	}
	first := int(p.Random % uint64(tied))
	second := int(p.Random >> 32 % uint64(tied))
	return drawn(upstreams, p, now, limit, first, second), true
}

// drawn returns the better of the first-th and second-th tied options.
func drawn(upstreams []Upstream, p *Prompt, now time.Time, limit float64, first, second int) Plan {
	var winner option
	found := false
	nth := 0
	for i := range upstreams {
		o, ok := evaluate(upstreams, i, p, now)
		if !ok || o.score > limit {
			continue
		}
		if nth == first || nth == second {
			if !found || o.own < winner.own {
				winner = o
				found = true
			}
		}
		nth++
	}
	return winner.plan
}

// evaluate makes the plan for one upstream.
func evaluate(upstreams []Upstream, i int, p *Prompt, now time.Time) (option, bool) {
	u := &upstreams[i]
	// An upstream whose version is not known yet may be tried: it refuses a run
	// that expects another one.
	wrong := u.Model != p.Model || u.Version != "" && u.Version != p.Version
	if wrong || u.leaving || u.Ejected(now) || p.Excluded(i) {
		return option{}, false
	}
	cached := p.Cached(i)
	recompute := p.Tokens - cached
	seconds := float64(recompute) / u.PrefillRate
	fetch := false
	limit := max(float64(p.Stored-cached)/u.PrefillRate, minFetchLimit)
	if p.Stored > cached {
		rate := min(u.LinkRate, p.StoreRate)
		fetched := fetchOverhead + float64(p.Stored-cached)*p.BytesPerToken/rate
		rest := p.Tokens - p.Stored
		with := fetched + float64(rest)/u.PrefillRate
		if with*p.Weights.FirstToken+float64(rest)*p.Weights.Recompute < seconds*p.Weights.FirstToken+float64(recompute)*p.Weights.Recompute {
			seconds = with
			recompute = rest
			fetch = true
		}
	}
	seconds += u.wait()
	if !u.Near {
		seconds += farPenalty
	}
	score := seconds*p.Weights.FirstToken + float64(recompute)*p.Weights.Recompute
	plan := Plan{Upstream: i, Fetch: fetch, Estimate: time.Duration(seconds * float64(time.Second)), Recompute: recompute}
	plan.FetchLimit = time.Duration(limit * float64(time.Second))
	return option{plan: plan, score: score, own: u.own}, true
}
