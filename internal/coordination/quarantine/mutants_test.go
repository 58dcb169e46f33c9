package quarantine_test

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// mutantPause is how long the mutants hold a request.
const mutantPause = 4 * time.Second

// holdAfterOneEnd holds a request after a single end.
type holdAfterOneEnd struct{ *quarantine.FactSet }

// Decide holds a request under which an instance ended.
func (m holdAfterOneEnd) Decide(subjects []quarantine.Digest, entries int, now time.Time) (quarantine.Verdict, quarantine.Digest) {
	for _, d := range subjects {
		c := m.Status(d, entries, now)
		if left := c.LastEnd.Add(mutantPause).Sub(now); c.Ends > 0 && left > 0 {
			return quarantine.Hold{RetryAfter: left, EndsInstances: true}, d
		}
	}
	return m.FactSet.Decide(subjects, entries, now)
}

// holdAllPresent holds every request that ran on the same instances as a held request.
type holdAllPresent struct {
	*quarantine.FactSet
	at    map[registry.Incarnation][]quarantine.Digest
	ended map[quarantine.Digest][]registry.Incarnation
}

func newHoldAllPresent(seed uint64) holdAllPresent {
	return holdAllPresent{quarantine.New(seed), map[registry.Incarnation][]quarantine.Digest{}, map[quarantine.Digest][]registry.Incarnation{}}
}

// Merge records which requests ran on which instance.
func (m holdAllPresent) Merge(f quarantine.Fact) bool {
	if e, ok := f.(quarantine.InstanceEnded); ok {
		m.at[e.Incarnation] = append(m.at[e.Incarnation], e.Digest)
		m.ended[e.Digest] = append(m.ended[e.Digest], e.Incarnation)
	}
	return m.FactSet.Merge(f)
}

// Decide holds a request that ran on the same instance as a held one.
func (m holdAllPresent) Decide(subjects []quarantine.Digest, entries int, now time.Time) (quarantine.Verdict, quarantine.Digest) {
	for _, d := range subjects {
		for _, of := range m.ended[d] {
			for _, other := range m.at[of] {
				if c := m.Status(other, entries, now); c.Held && now.Before(c.Until) {
					return quarantine.Hold{RetryAfter: c.Until.Sub(now), EndsInstances: true}, d
				}
			}
		}
	}
	return m.FactSet.Decide(subjects, entries, now)
}

// onlyRequests judges whole requests and no parts of prompts.
type onlyRequests struct{ *quarantine.FactSet }

// Decide leaves out all digests but the first, which is that of the request.
func (m onlyRequests) Decide(subjects []quarantine.Digest, entries int, now time.Time) (quarantine.Verdict, quarantine.Digest) {
	return m.FactSet.Decide(subjects[:1], entries, now)
}
