package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// maxCandidateSets bounds the number of cached candidate sets, and maxServiceSets those of one service:
// one holds all instances, and one leaves some out. A set takes more memory than all else that is known
// of its instances.
const (
	maxCandidateSets = 8
	maxServiceSets   = 2
)

// candidate is an instance with its state, so that a choice among thousands needs few map lookups.
type candidate struct {
	in     *registry.Instance
	load   *load
	domain *domain
	// hash is the hash of the instance's id.
	hash uint64
}

// candidateSet is a list of instances, prepared for choices among them. Invariant: its loads and
// domains are those of the balancer.
type candidateSet struct {
	// instances must not be modified.
	instances  []registry.Instance
	candidates []candidate
	// domains holds the distinct failure domains of the instances.
	domains []*domain
}

// matches reports whether a candidate set was made from this very slice; an equal slice does not
// match.
func (set *candidateSet) matches(instances []registry.Instance) bool {
	return len(set.instances) == len(instances) && &set.instances[0] == &instances[0]
}

// candidateSet returns the candidate set of some instances. The slice must not be modified
// afterwards.
func (b *Balancer) candidateSet(instances []registry.Instance, now time.Time) *candidateSet {
	if len(instances) == 0 {
		return &candidateSet{}
	}
	for _, set := range b.candidateSets {
		if set.matches(instances) {
			return set
		}
	}
	set := &candidateSet{instances: instances, candidates: make([]candidate, len(instances))}
	for i := range instances {
		in := &instances[i]
		l := b.load(in.Incarnation())
		l.lastListed = now
		l.domain = in.FailureDomain
		d := b.domain(in.FailureDomain)
		if !slices.Contains(set.domains, d) {
			set.domains = append(set.domains, d)
		}
		set.candidates[i] = candidate{in: in, load: l, domain: d, hash: xxhash.Sum64String(in.ID)}
	}
	b.candidateSets = append(b.candidateSets, set)
	b.dropOldSets(set.service())
	return set
}

// dropOldSets drops the oldest candidate sets that exceed the limits, after one of the given service
// was added.
func (b *Balancer) dropOldSets(service string) {
	sameService := func(set *candidateSet) bool { return set.service() == service }
	count := 0
	for _, set := range b.candidateSets {
		if sameService(set) {
			count++
		}
	}
	if count > maxServiceSets {
		oldest := slices.IndexFunc(b.candidateSets, sameService)
		b.candidateSets = slices.Delete(b.candidateSets, oldest, oldest+1)
	}
	if len(b.candidateSets) > maxCandidateSets {
		b.candidateSets = slices.Delete(b.candidateSets, 0, 1)
	}
}

// service returns the service that the instances belong to.
func (set *candidateSet) service() string { return set.instances[0].Service }

// scratch holds the slices of the choice in progress; their memory is used again by the next one.
type scratch struct {
	healthy, fallback, newWeights, fitting, shortQueued []*candidate
	// probe is a failing instance that the request may be sent to as a probe, or nil.
	probe *candidate
}
