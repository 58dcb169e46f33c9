package quarantine_test

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// mutantPause is how long the mutants hold a request.
const mutantPause = 4 * time.Second

// oneEnd takes one end for proof.
type oneEnd struct{ *quarantine.FactSet }

// Decide holds what an instance ended under.
func (m oneEnd) Decide(d quarantine.Digest, entries int, now time.Time) quarantine.Verdict {
	c := m.Status(d, entries, now)
	if left := c.LastEnd.Add(mutantPause).Sub(now); c.Ends > 0 && left > 0 {
		return quarantine.Hold{RetryAfter: left, EndsInstances: true}
	}
	return m.FactSet.Decide(d, entries, now)
}

// allThere takes all that was at the instances of a request that is held for as guilty as it is.
type allThere struct {
	*quarantine.FactSet
	at    map[registry.Incarnation][]quarantine.Digest
	ended map[quarantine.Digest][]registry.Incarnation
}

func newAllThere(seed uint64) allThere {
	return allThere{quarantine.New(seed), map[registry.Incarnation][]quarantine.Digest{}, map[quarantine.Digest][]registry.Incarnation{}}
}

// Merge notes who was where.
func (m allThere) Merge(f quarantine.Fact) bool {
	if e, ok := f.(quarantine.InstanceEnded); ok {
		m.at[e.Incarnation] = append(m.at[e.Incarnation], e.Digest)
		m.ended[e.Digest] = append(m.ended[e.Digest], e.Incarnation)
	}
	return m.FactSet.Merge(f)
}

// Decide holds what was where a held request was.
func (m allThere) Decide(d quarantine.Digest, entries int, now time.Time) quarantine.Verdict {
	for _, of := range m.ended[d] {
		for _, other := range m.at[of] {
			if c := m.Status(other, entries, now); c.Held && now.Before(c.Until) {
				return quarantine.Hold{RetryAfter: c.Until.Sub(now), EndsInstances: true}
			}
		}
	}
	return m.FactSet.Decide(d, entries, now)
}
