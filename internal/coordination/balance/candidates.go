package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// mostRosters bounds the lists of instances that are kept prepared: one for each service, and a
// few that leave some instances out.
const mostRosters = 8

// candidate is an instance with what is known of it, so that a choice among thousands looks little
// into maps.
type candidate struct {
	in     *registry.Instance
	load   *load
	domain *domain
	// hash is that of the instance's id.
	hash uint64
}

// roster is a list of instances, prepared for choices among them. Invariant: its loads and domains
// are those of the board.
type roster struct {
	// instances is never written to.
	instances  []registry.Instance
	candidates []candidate
	// domains holds each failure domain of the instances once.
	domains []*domain
}

// of reports whether a roster is that of some instances: the same list, not one that is alike.
func (r *roster) of(instances []registry.Instance) bool {
	return len(r.instances) == len(instances) && &r.instances[0] == &instances[0]
}

// roster returns some instances prepared for choices. The list must not be written to later.
func (b *Balancer) roster(instances []registry.Instance, now time.Time) *roster {
	if len(instances) == 0 {
		return &roster{}
	}
	for _, r := range b.rosters {
		if r.of(instances) {
			return r
		}
	}
	r := &roster{instances: instances, candidates: make([]candidate, len(instances))}
	for i := range instances {
		in := &instances[i]
		l := b.load(in.Incarnation())
		l.listed = now
		l.domain = in.FailureDomain
		d := b.domain(in.FailureDomain)
		if !slices.Contains(r.domains, d) {
			r.domains = append(r.domains, d)
		}
		r.candidates[i] = candidate{in: in, load: l, domain: d, hash: xxhash.Sum64String(in.ID)}
	}
	if len(b.rosters) == mostRosters {
		b.rosters = slices.Delete(b.rosters, 0, 1)
	}
	b.rosters = append(b.rosters, r)
	return r
}

// scratch holds the lists of a choice that is under way, which are used again by the next one.
type scratch struct {
	sound, rest, newer, roomy, calm []*candidate
	// probe is a failing instance that the request may try, or nil.
	probe *candidate
}
