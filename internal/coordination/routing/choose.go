package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// crossDomainPenalty is the cost in seconds of sending a run to another failure domain: some
	// extra round trips, and a link that may be cut.
	crossDomainPenalty = 0.010
	// tieSeconds and tieShare bound the difference below which two scores count as equal, because
	// the estimates are not more accurate than that.
	tieSeconds = 0.002
	tieShare   = 0.05
	// fetchOverhead is the fixed cost of a fetch in seconds: two round trips and the verification
	// after the last byte.
	fetchOverhead = 0.004
	// minFetchTimeout is the shortest timeout of a fetch, in seconds.
	minFetchTimeout = 0.050
)

// Weights are the deployment's weights for the two costs of a placement.
type Weights struct {
	// FirstToken is the cost of one second until the first token.
	FirstToken float64
	// Recompute is what one recomputed token costs, in the same unit.
	Recompute float64
}

// Prompt holds the inputs of Choose that are specific to a prompt.
type Prompt struct {
	Model   string
	Version string
	// Tokens is the length of the prompt.
	Tokens int
	// Cached holds, for each upstream, how many leading blocks of the prompt its cache is expected
	// to hold; BlockTokens is the length of a block in tokens.
	Cached      []int32
	BlockTokens int
	// Stored is how many leading tokens of the prompt stores are expected to hold.
	Stored int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken float64
	// StoreRate is the bandwidth left on the store's link, in bytes per second.
	StoreRate float64
	Weights   Weights
	// Tried lists the upstreams that were already tried.
	Tried []int
	// Random is a random number, used to break ties.
	Random uint64
	// Scores is scratch space of one number per upstream, so that Choose does not allocate.
	Scores []float64
}

// Plan is the placement of a prompt.
type Plan struct {
	// Upstream is the index of the chosen upstream.
	Upstream int
	// Fetch is true if the stored KV cache is fetched before the run.
	Fetch bool
	// FetchTimeout bounds the fetch: the time it would take to recompute what is fetched, but no
	// less than a few round trips.
	FetchTimeout time.Duration
	// Estimate is the expected time to first token.
	Estimate time.Duration
	// Recompute is how many tokens the upstream is expected to compute.
	Recompute int
}

// estimate is the expected cost of running a prompt on one upstream.
type estimate struct {
	// seconds is the time to first token, and limit the timeout of a fetch.
	seconds, limit, score float64
	recompute             int
	fetch                 bool
}

// Choose returns the best plan; ok is false if no upstream is eligible. It does not allocate.
//
// Upstreams whose scores are about equal are chosen among by the power of two choices: two are
// drawn at random, and the one with fewer runs from this entry wins. This keeps entries that hold
// the same outdated load report from all picking the same upstream.
func Choose(upstreams []Upstream, p *Prompt, now time.Time) (plan Plan, ok bool) {
	best := math.Inf(1)
	for i := range upstreams {
		p.Scores[i] = math.Inf(1)
		u := &upstreams[i]
		if u.eligible(i, p, now) {
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
		// Upstreams in the entry's own failure domain win ties.
		tied = near
	}
	first := int(p.Random % uint64(tied))
	second := int(p.Random >> 32 % uint64(tied))
	winner := betterOfTwo(upstreams, p, limit, near > 0, first, second)
	e := upstreams[winner].estimate(winner, p)
	return Plan{
		Upstream: winner, Fetch: e.fetch, Recompute: e.recompute,
		Estimate:     time.Duration(e.seconds * float64(time.Second)),
		FetchTimeout: time.Duration(e.limit * float64(time.Second)),
	}, true
}

// betterOfTwo returns the one of the first-th and second-th tied upstreams that has fewer runs from
// this entry. If near is set, only upstreams of the entry's own failure domain are counted.
func betterOfTwo(upstreams []Upstream, p *Prompt, limit float64, near bool, first, second int) int {
	winner := -1
	nth := 0
	for i, score := range p.Scores {
		if score > limit || near && !upstreams[i].SameDomain {
			continue
		}
		if (nth == first || nth == second) && (winner < 0 || upstreams[i].ownRuns < upstreams[winner].ownRuns) {
			winner = i
		}
		nth++
	}
	return winner
}

// BackoffRemaining returns the shortest time until an upstream that is in backoff, but otherwise
// eligible for the prompt, accepts runs again; ok is false if there is none.
func BackoffRemaining(upstreams []Upstream, p *Prompt, now time.Time) (left time.Duration, ok bool) {
	for i := range upstreams {
		u := &upstreams[i]
		if !u.InBackoff(now) || !u.eligibleAfterBackoff(i, p, now) {
			continue
		}
		if d := u.backoffUntil.Sub(now); !ok || d < left {
			left, ok = d, true
		}
	}
	return left, ok
}

// eligible reports whether a prompt may be sent to the upstream now.
func (u *Upstream) eligible(i int, p *Prompt, now time.Time) bool {
	return !u.InBackoff(now) && u.eligibleAfterBackoff(i, p, now)
}

// eligibleAfterBackoff reports whether a prompt may be sent to the upstream, ignoring backoff. An
// upstream of unknown version is eligible, because it refuses a run that expects another version.
func (u *Upstream) eligibleAfterBackoff(i int, p *Prompt, now time.Time) bool {
	if u.Leaving() || u.Model != p.Model || u.Version != "" && u.Version != p.Version {
		return false
	}
	return !slices.Contains(p.Tried, i) && !u.Ejected(now)
}

// estimate returns the expected cost of the prompt on the upstream with index i.
func (u *Upstream) estimate(i int, p *Prompt) estimate {
	cached := int(p.Cached[i]) * p.BlockTokens
	e := estimate{recompute: p.Tokens - cached}
	e.seconds = float64(e.recompute) / u.PrefillRate
	if p.Stored > cached {
		e.limit = max(float64(p.Stored-cached)/u.PrefillRate, minFetchTimeout)
		remaining := p.Tokens - p.Stored
		rate := min(u.LinkRate, p.StoreRate)
		fetchSeconds := fetchOverhead + float64(p.Stored-cached)*p.BytesPerToken/rate + float64(remaining)/u.PrefillRate
		if p.Weights.cost(fetchSeconds, remaining) < p.Weights.cost(e.seconds, e.recompute) {
			e.seconds = fetchSeconds
			e.recompute = remaining
			e.fetch = true
		}
	}
	e.seconds += u.expectedWait()
	if !u.SameDomain {
		e.seconds += crossDomainPenalty
	}
	e.score = p.Weights.cost(e.seconds, e.recompute)
	return e
}

// cost returns the weighted cost of a time to first token, in seconds, and of the tokens to
// compute.
func (w Weights) cost(seconds float64, recompute int) float64 {
	return seconds*w.FirstToken + float64(recompute)*w.Recompute
}
