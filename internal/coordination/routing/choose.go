package routing

import (
	"math"
	"slices"
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
	// Cached holds, for each upstream, how many leading blocks it may have, and
	// BlockTokens the length of a block.
	Cached      []int32
	BlockTokens int
	// Stored is how many leading tokens stores may have.
	Stored int
	// BytesPerToken is the size of kept context.
	BytesPerToken float64
	// StoreRate is the bandwidth that the store's link has left, in bytes a second.
	StoreRate float64
	Weights   Weights
	// Tried lists the upstreams that were tried already.
	Tried []int
	// Random is any number; it breaks ties.
	Random uint64
	// Scores is room for one number for each upstream, to be used again.
	Scores []float64
}

// Plan says where a prompt runs.
type Plan struct {
	// Upstream is the number of the chosen upstream.
	Upstream int
	// Fetch is true when its kept context is fetched from the store first.
	Fetch bool
	// FetchTimeout is how long a fetch may take: as long as it would take to compute
	// what it brings, and no less than a few round trips.
	FetchTimeout time.Duration
	// Estimate is the expected time to the first token.
	Estimate time.Duration
	// Recompute is how many tokens are expected to be computed.
	Recompute int
}

// estimate is what is expected of one upstream.
type estimate struct {
	// seconds is the time to the first token, and limit what a fetch may take.
	seconds, limit, score float64
	recompute             int
	fetch                 bool
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
		p.Scores[i] = math.Inf(1)
		u := &upstreams[i]
		if u.mayRun(i, p, now) {
			p.Scores[i] = u.estimate(i, p).score
			best = min(best, p.Scores[i])
		}
	}
	if math.IsInf(best, 1) {
		return Plan{}, false
	}
	limit := best + max(tieSeconds*p.Weights.FirstToken, best*tieShare)
	tied, near := 0, 0
	for i, score := range p.Scores {
		if score > limit {
			continue
		}
		tied++
		if upstreams[i].SameDomain {
			near++
		}
	}
	if near > 0 {
		// Among equals only the own failure domain's count.
		tied = near
	}
	first := int(p.Random % uint64(tied))
	second := int(p.Random >> 32 % uint64(tied))
	winner := drawn(upstreams, p, limit, near > 0, first, second)
	e := upstreams[winner].estimate(winner, p)
	return Plan{
		Upstream: winner, Fetch: e.fetch, Recompute: e.recompute,
		Estimate:     time.Duration(e.seconds * float64(time.Second)),
		FetchTimeout: time.Duration(e.limit * float64(time.Second)),
	}, true
}

// drawn returns the better of the first-th and second-th tied upstreams, of the own
// failure domain only when near is set.
func drawn(upstreams []Upstream, p *Prompt, limit float64, near bool, first, second int) int {
	winner := -1
	nth := 0
	for i, score := range p.Scores {
		if score > limit || near && !upstreams[i].SameDomain {
			continue
		}
		if (nth == first || nth == second) && (winner < 0 || upstreams[i].own < upstreams[winner].own) {
			winner = i
		}
		nth++
	}
	return winner
}

// RestLeft returns for how long the first of the upstreams that rest still does, of those that may run the
// prompt otherwise; ok is false when there is none.
func RestLeft(upstreams []Upstream, p *Prompt, now time.Time) (left time.Duration, ok bool) {
	for i := range upstreams {
		u := &upstreams[i]
		if !u.InBackoff(now) || !u.mayRunLater(i, p, now) {
			continue
		}
		if d := u.restUntil.Sub(now); !ok || d < left {
			left, ok = d, true
		}
	}
	return left, ok
}

// mayRun reports whether a prompt may be sent to the upstream at all now.
func (u *Upstream) mayRun(i int, p *Prompt, now time.Time) bool {
	return !u.InBackoff(now) && u.mayRunLater(i, p, now)
}

// mayRunLater reports whether a prompt may be sent to the upstream once it does not rest. One whose
// version is not known yet may be tried: it refuses a run that expects another one.
func (u *Upstream) mayRunLater(i int, p *Prompt, now time.Time) bool {
	if u.Leaving() || u.Model != p.Model || u.Version != "" && u.Version != p.Version {
		return false
	}
	return !slices.Contains(p.Tried, i) && !u.Ejected(now)
}

// estimate works out what is expected of the upstream with number i.
func (u *Upstream) estimate(i int, p *Prompt) estimate {
	cached := int(p.Cached[i]) * p.BlockTokens
	e := estimate{recompute: p.Tokens - cached}
	e.seconds = float64(e.recompute) / u.PrefillRate
	if p.Stored > cached {
		e.limit = max(float64(p.Stored-cached)/u.PrefillRate, minFetchLimit)
		rest := p.Tokens - p.Stored
		rate := min(u.LinkRate, p.StoreRate)
		with := fetchOverhead + float64(p.Stored-cached)*p.BytesPerToken/rate + float64(rest)/u.PrefillRate
		if p.Weights.cost(with, rest) < p.Weights.cost(e.seconds, e.recompute) {
			e.seconds = with
			e.recompute = rest
			e.fetch = true
		}
	}
	e.seconds += u.wait()
	if !u.SameDomain {
		e.seconds += farPenalty
	}
	e.score = p.Weights.cost(e.seconds, e.recompute)
	return e
}

// cost weighs a time to the first token, in seconds, and tokens to compute.
func (w Weights) cost(seconds float64, recompute int) float64 {
	return seconds*w.FirstToken + float64(recompute)*w.Recompute
}
