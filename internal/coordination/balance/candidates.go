package balance

import (
	"slices"
	"strings"
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
	// instances must not be modified. sorted is true if they are in the order of their ids.
	instances  []registry.Instance
	sorted     bool
	candidates []candidate
	// hashes holds the hash of each candidate in a dense array, for the computation of thousands of scores.
	hashes []uint64
	// domains holds the distinct failure domains of the instances.
	domains []*domain
	// versions holds the distinct weight versions of each model, as far as they were asked for.
	versions map[string][]uint64
	// usedAt is the time of the last choice among the instances.
	usedAt time.Time
	// dealt is how the slots are dealt out, by the latest request that asked.
	dealt dealtSlots
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
			set.usedAt = now
			return set
		}
	}
	set := b.newCandidateSet(instances, now)
	b.candidateSets = append(b.candidateSets, set)
	b.dropOldSets(set.service())
	return set
}

func (b *Balancer) newCandidateSet(instances []registry.Instance, now time.Time) *candidateSet {
	set := &candidateSet{
		instances: instances, sorted: slices.IsSortedFunc(instances, compareIDs), candidates: make([]candidate, len(instances)),
		hashes: make([]uint64, len(instances)), versions: map[string][]uint64{}, usedAt: now,
	}
	for i := range instances {
		in := &instances[i]
		d := b.domain(in.FailureDomain)
		if !slices.Contains(set.domains, d) {
			set.domains = append(set.domains, d)
		}
		set.hashes[i] = Hash(in.ID)
		set.candidates[i] = candidate{in: in, load: b.unused, domain: d, hash: set.hashes[i]}
		b.carryRest(in, now)
		if l, ok := b.loads[in.Incarnation()]; ok {
			set.candidates[i].setLoad(l, now)
		}
	}
	return set
}

// Hash returns the hash of an instance's id, for Score.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

func compareIDs(a, b registry.Instance) int { return strings.Compare(a.ID, b.ID) }

// setLoad sets the state that the balancer keeps of the instance since it is used.
func (c *candidate) setLoad(l *load, listed time.Time) {
	c.load = l
	l.domain = c.in.FailureDomain
	l.lastListed = latest(l.lastListed, listed)
}

// find returns the candidate of an incarnation, or nil.
func (set *candidateSet) find(target registry.Incarnation) *candidate {
	c := set.findID(target.ID)
	if c == nil || c.in.Incarnation() != target {
		return nil
	}
	return c
}

// findID returns the candidate with an instance's ID, or nil.
func (set *candidateSet) findID(id string) *candidate {
	var i int
	if set.sorted {
		i, _ = slices.BinarySearchFunc(set.instances, id, func(in registry.Instance, id string) int { return strings.Compare(in.ID, id) })
	} else {
		i = slices.IndexFunc(set.instances, func(in registry.Instance) bool { return in.ID == id })
	}
	if i < 0 || i == len(set.instances) || set.instances[i].ID != id {
		return nil
	}
	return &set.candidates[i]
}

// WeightVersions returns the distinct weight versions of a model that some instances have. Neither the
// instances nor the result may be modified.
func (b *Balancer) WeightVersions(instances []registry.Instance, model string, now time.Time) []uint64 {
	return b.candidateSet(instances, now).weightVersions(model)
}

func (set *candidateSet) weightVersions(model string) []uint64 {
	versions, known := set.versions[model]
	if known || len(set.instances) == 0 {
		return versions
	}
	for i := range set.instances {
		version := set.instances[i].Weights[model]
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	set.versions[model] = versions
	return versions
}

// allHave reports whether all instances have at least a version of a model's weights.
func (set *candidateSet) allHave(model string, version uint64) bool {
	return version == 0 || !slices.ContainsFunc(set.weightVersions(model), func(v uint64) bool { return v < version })
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
	shortlist                                           shortlist
	// probe is a failing instance that the request may be sent to as a probe, or nil.
	probe *candidate
}
