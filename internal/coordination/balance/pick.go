package balance

import (
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/residency"
)

const (
	// loadFactor is how far above the mean an instance may be loaded before the next one in rank is
	// chosen: consistent hashing with bounded loads (Mirrokni et al., 2018) shows that a quarter
	// more keeps most keys in place.
	loadFactor = 1.25
	// loadSlack allows one more request at small loads, where a quarter is less than one.
	loadSlack = 1.0
	// failedBase is slightly more than 1, so that the wait of an instance whose latest requests all
	// failed is finite, twenty times that of a healthy one, and it is tried now and then.
	failedBase = 1.05
	// newWeightsFactor limits the share of requests that goes to instances with new weights during
	// a weight update, as a multiple of their share of the instances: they are preferred, but not
	// overloaded while there are few of them.
	newWeightsFactor = 1.5
)

// PickInfo describes a request and the state of the fleet for the choice of an instance.
type PickInfo struct {
	// Key is the hash of the shared prefix, or 0 for requests that run equally well on any
	// instance.
	Key uint64
	// Retryable says that the request may be sent to another instance if the first does not answer.
	Retryable bool
	// Tried holds the instances to which the request was sent before.
	Tried []registry.Incarnation
	// Failing holds the instances that accept requests and fail them; they get only probes.
	Failing map[registry.Incarnation]bool
	// Busy holds the instances that are chosen only when there are no others.
	Busy map[registry.Incarnation]bool
	// Tokens is the memory that the request takes at most, and Memory the memory of each engine,
	// both in tokens; both are 0 for requests that take none.
	Tokens, Memory int
	// Loads holds the loads that engines reported, as far as they are known.
	Loads map[registry.Incarnation]EngineLoad
	// LoadsInterval is how often engines are polled for their loads; 0 stands for the default.
	LoadsInterval time.Duration
	// Entries is the number of entries that send requests to these instances, at least 1, and Rank
	// the position of this entry among them, from 0.
	Entries, Rank int
	// Cold is the capacity of a cold instance for the requests of all entries.
	Cold Capacity
	// ColdFor is for how long instances count as cold after an evacuation has ended.
	ColdFor time.Duration
	// Evacuated holds the failure domains whose instances get no requests, and Returned when the
	// evacuation of others ended; both by name, and nil for none.
	Evacuated, Returned map[string]time.Time
	// Unreachable holds the failure domains that the own one can't reach, each with since when.
	Unreachable map[string]time.Time
	// Residency is in which regions the request's data may be, and Regions the region of each
	// failure domain.
	Residency residency.Policy
	Regions   residency.Regions
	// Model and Weights, if set, name the version of the weights that is preferred.
	Model   string
	Weights uint64

	// fragility is that of the service, and nil if it has no refusal limits.
	fragility *fragility
	// lastSign is when any available instance was last active, and now unless several are silent and no other is
	// available.
	lastSign time.Time
}

// tried reports whether the request was sent to an instance before.
func (info PickInfo) tried(in *registry.Instance) bool {
	return len(info.Tried) > 0 && slices.Contains(info.Tried, in.Incarnation())
}

// Pick chooses an instance; ok is false when there is no eligible one. The slice must not be
// modified afterwards.
func (b *Balancer) Pick(instances []registry.Instance, info PickInfo, now time.Time) (chosen registry.Instance, ok bool) {
	set := b.candidateSet(instances, now)
	b.prepare(set, &info, now)
	best, ok := b.pickFromShortlist(set, info, now)
	if !ok {
		best = b.pickFromAll(set, info, now)
	}
	if best == nil {
		return registry.Instance{}, false
	}
	best.load = b.load(best.in.Incarnation())
	if best == b.scratch.probe {
		best.load.nextProbe = now.Add(failingProbeInterval)
	} else {
		best.recordColdSend(info, now)
	}
	best.recordLimitedSend(info, now)
	best.recordWindowSend(info, now)
	return *best.in, true
}

// prepare marks the failure domains that the request must not be sent to or that are cut off, and completes
// the request's description.
func (b *Balancer) prepare(set *candidateSet, info *PickInfo, now time.Time) {
	set.markExcluded(*info)
	info.lastSign = set.lastSign(*info, now)
	b.markPartitioned(set, *info, now)
	info.fragility = b.fragility(set, *info, now)
}

// pickFromAll evaluates all candidates and returns the chosen one, or nil if none is eligible.
func (b *Balancer) pickFromAll(set *candidateSet, info PickInfo, now time.Time) *candidate {
	eligible := b.eligible(set, info, now)
	switch {
	case b.scratch.probe != nil:
		return b.scratch.probe
	case len(eligible) == 0:
		return nil
	}
	eligible = b.preferNewWeights(eligible, info)
	if info.Key == 0 {
		return b.pickByWait(eligible)
	}
	return b.pickByKey(b.withRoom(eligible, info, now), info.Key)
}

// eligibility is whether a request may be sent to a candidate.
type eligibility int

const (
	// ineligible candidates were tried, are excluded by their failure domain, leaving or resting, or have
	// no capacity left for this entry.
	ineligible eligibility = iota
	// fallback candidates are failing, busy, unresponsive, full, backed off or in a failure domain that is cut
	// off. They are chosen only when there are no others.
	fallback
	// full candidates are healthy, but have a refusal limit and no room for this entry.
	full
	healthy
)

// eligibility returns whether a request may be sent to a candidate. The choice must have been prepared.
func (c *candidate) eligibility(info PickInfo, now time.Time) eligibility {
	switch {
	case c.domain.excluded:
		return ineligible
	case info.tried(c.in), c.load.leaving, c.load.resting(now):
		return ineligible
	case !c.acceptsCold(info, now), !c.withinLimit(info, now):
		return ineligible
	}
	healthyNow, hasRoom := c.healthy(info, now), c.withinWindow(info, now)
	switch {
	case healthyNow && hasRoom:
		return healthy
	case healthyNow:
		return full
	case hasRoom:
		return fallback
	}
	return ineligible
}

// healthy reports whether nothing is known to be wrong with a candidate.
func (c *candidate) healthy(info PickInfo, now time.Time) bool {
	switch {
	case info.isFailing(c.in), info.isBusy(c.in):
		return false
	case c.domain.partitioned, now.Before(c.load.avoidUntil), now.Before(c.load.fullUntil):
		return false
	}
	return !c.load.unresponsive(now) || c.load.silentLike(info.lastSign)
}

// isFailing reports whether an instance accepts requests and fails them.
func (info PickInfo) isFailing(in *registry.Instance) bool {
	return len(info.Failing) > 0 && info.Failing[in.Incarnation()]
}

// isBusy reports whether an instance is chosen only when there are no others.
func (info PickInfo) isBusy(in *registry.Instance) bool {
	return len(info.Busy) > 0 && info.Busy[in.Incarnation()]
}

// eligible returns the healthy candidates for a request, or else the fallback candidates, unless others are only full: it
// is better to wait for these. The slice is valid until the next choice.
func (b *Balancer) eligible(set *candidateSet, info PickInfo, now time.Time) []*candidate {
	well, others := b.scratch.healthy[:0], b.scratch.fallback[:0]
	b.scratch.probe = nil
	anyFull := false
	for i := range set.candidates {
		c := &set.candidates[i]
		switch c.eligibility(info, now) {
		case healthy:
			well = append(well, c)
		case fallback:
			others = append(others, c)
			if info.isFailing(c.in) && c.mayProbe(info, now) {
				b.scratch.probe = c
			}
		case full:
			anyFull = true
		case ineligible:
		}
	}
	b.scratch.healthy, b.scratch.fallback = well, others
	if len(well) > 0 || anyFull {
		return well
	}
	return others
}

// preferNewWeights returns the candidates with the preferred weights, for most requests.
func (b *Balancer) preferNewWeights(eligible []*candidate, info PickInfo) []*candidate {
	if info.Weights == 0 {
		return eligible
	}
	newWeights := b.scratch.newWeights[:0]
	for _, c := range eligible {
		if c.in.Weights[info.Model] >= info.Weights {
			newWeights = append(newWeights, c)
		}
	}
	b.scratch.newWeights = newWeights
	share := newWeightsFactor * float64(len(newWeights)) / float64(len(eligible))
	if len(newWeights) == 0 || b.random.Float64() >= share {
		return eligible
	}
	return newWeights
}

// pickByKey chooses the candidate with the highest score for the key among those within the load
// bound.
func (b *Balancer) pickByKey(eligible []*candidate, key uint64) *candidate {
	total := 0
	for _, c := range eligible {
		total += c.load.inFlight
	}
	bound := loadFactor*float64(total+1)/float64(len(eligible)) + loadSlack
	var best *candidate
	var bestScore uint64
	for _, c := range eligible {
		if float64(c.load.inFlight+1) > bound {
			continue
		}
		if s := Score(c.hash, key); best == nil || s > bestScore {
			best, bestScore = c, s
		}
	}
	if best == nil {
		return b.pickByWait(eligible)
	}
	return best
}

// Score is the rendezvous hash of a key and the hash of an instance: the highest score is chosen first.
func Score(hash, key uint64) uint64 {
	x := hash ^ key
	// The finaliser of splitmix64 mixes the bits of the two.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickByWait chooses the candidate with the shortest expected wait, which grows with the share of
// failures.
func (b *Balancer) pickByWait(eligible []*candidate) *candidate {
	offset := b.random.IntN(len(eligible))
	best := math.Inf(1)
	var chosen *candidate
	for i := range eligible {
		c := eligible[(i+offset)%len(eligible)]
		l := c.load
		slots := float64(max(c.in.Slots, 1))
		wait := l.latency * (1 + float64(l.inFlight)/slots) * (1 + float64(l.inFlight)) / (failedBase - l.failureRate)
		if wait < best {
			best = wait
			chosen = c
		}
	}
	return chosen
}
