package detour

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// probesPerRound is how many instances a round probes: enough that a few dead ones do not make a path look
// lost.
const probesPerRound = 3

// ProbeTargets draws the instances of the round of probes that has begun on p: those at which requests have not failed
// first, and of these different failure domains first. On a path that is not lost, instances that responded last come
// first: a missing response of theirs is stronger evidence. Instances of a round that left the path undecided come last.
func ProbeTargets(p *Path, instances []registry.Instance, random *rand.Rand) []registry.Instance {
	drawn := slices.Clone(instances)
	random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	if !p.lost {
		slices.SortStableFunc(drawn, func(a, b registry.Instance) int {
			return p.responses[b.Incarnation()].Compare(p.responses[a.Incarnation()])
		})
	}
	healthy, avoided := map[string]int{}, map[string]int{}
	rank := make(map[registry.Incarnation]int, len(drawn))
	for _, in := range drawn {
		repeated, last := healthy, 0
		if p.Failing(in.Incarnation()) || p.undecided && p.targets[in.Incarnation()] {
			repeated, last = avoided, len(drawn)
		}
		rank[in.Incarnation()] = last + repeated[in.FailureDomain]
		repeated[in.FailureDomain]++
	}
	slices.SortStableFunc(drawn, func(a, b registry.Instance) int {
		return cmp.Compare(rank[a.Incarnation()], rank[b.Incarnation()])
	})
	drawn = drawn[:min(probesPerRound, len(drawn))]
	p.targets = make(map[registry.Incarnation]bool, len(drawn))
	for _, in := range drawn {
		p.targets[in.Incarnation()] = true
	}
	return drawn
}

const (
	// sampleOwnDomain is the number of peers of the own failure domain in a sample, and sampleOthers the number
	// of those of other domains. They are few, so that this scales to any number of entries, and enough that one with
	// a path is among them while the control instances leave out those without.
	sampleOwnDomain = 4
	sampleOthers    = 4
)

// Sample returns the peers that an entry learns of, out of those with a path and, where these are too few, those
// that have lost theirs. It uses rendezvous hashing: each peer is in about as many samples, and a change of the set
// changes few samples.
func Sample(name, domain string, open, lost []Peer) []Peer {
	out := sampleOf(name, domain, open, sampleOwnDomain, sampleOthers)
	if missing := sampleOwnDomain + sampleOthers - len(out); missing > 0 {
		out = append(out, sampleOf(name, domain, lost, missing/2, missing-missing/2)...)
	}
	return out
}

// sampleOf returns a number of peers of the own failure domain and of others. Where there are too few of one, the
// other fills up.
func sampleOf(name, domain string, all []Peer, ownCount, othersCount int) []Peer {
	type scored struct {
		Peer
		score uint64
	}
	var own, others []scored
	for _, p := range all {
		s := scored{p, xxhash.Sum64String(name + "\x00" + p.Address)}
		if p.FailureDomain == domain {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	byScore := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address))
	}
	slices.SortFunc(own, byScore)
	slices.SortFunc(others, byScore)
	total := ownCount + othersCount
	fromOwn := min(len(own), max(ownCount, total-len(others)))
	fromOthers := min(len(others), total-fromOwn)
	var out []Peer
	for _, s := range slices.Concat(own[:fromOwn], others[:fromOthers]) {
		out = append(out, s.Peer)
	}
	return out
}
