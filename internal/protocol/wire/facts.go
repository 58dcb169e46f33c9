package wire

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// maxRefusals bounds the refusals in one fact.
const maxRefusals = 1 << 20

// FromFacts gives the wire form of facts, with their ages.
func FromFacts(facts []quarantine.Fact, now time.Time) []*RequestFact {
	var out []*RequestFact
	for _, f := range facts {
		m := &RequestFact{AgeMilliseconds: age(f.When(), now)}
		switch f := f.(type) {
		case quarantine.InstanceEnded:
			m.Kind = RequestFact_ENDED
			m.Digest = f.Digest[:]
			m.Instance, m.Start = f.Incarnation.ID, int64(f.Incarnation.Start)
			m.Address = f.Address
			m.SentAgeMilliseconds = age(f.Sent, now)
		case quarantine.RequestSucceeded:
			m.Kind = RequestFact_ANSWERED
			m.Digest = f.Digest[:]
		case quarantine.InstanceResponded:
			m.Kind = RequestFact_HEARD
			m.Instance, m.Start = f.Incarnation.ID, int64(f.Incarnation.Start)
		case quarantine.InstanceRefused:
			m.Kind = RequestFact_REFUSED
			m.Instance, m.Start = f.Incarnation.ID, int64(f.Incarnation.Start)
			m.By, m.Refusals, m.RefusalLimit = f.By, uint32(f.Count), f.Limit
		}
		out = append(out, m)
	}
	return out
}

// ToFacts is the inverse of FromFacts; what is no fact is left out.
func ToFacts(in []*RequestFact, now time.Time) []quarantine.Fact {
	var out []quarantine.Fact
	for _, m := range in {
		if f, ok := toFact(m, now); ok {
			out = append(out, f)
		}
	}
	return out
}

func toFact(m *RequestFact, now time.Time) (quarantine.Fact, bool) {
	at := before(now, m.AgeMilliseconds)
	of := registry.Incarnation{ID: m.Instance, Start: registry.Start(m.Start)}
	named := len(m.Digest) == quarantine.DigestSize
	switch {
	case m.Kind == RequestFact_ENDED && named && m.Instance != "":
		sent := before(now, max(m.SentAgeMilliseconds, m.AgeMilliseconds))
		return quarantine.InstanceEnded{Digest: quarantine.Digest(m.Digest), Incarnation: of, Address: m.Address, Sent: sent, At: at}, true
	case m.Kind == RequestFact_ANSWERED && named:
		return quarantine.RequestSucceeded{Digest: quarantine.Digest(m.Digest), At: at}, true
	case m.Kind == RequestFact_HEARD && m.Instance != "":
		return quarantine.InstanceResponded{Incarnation: of, At: at}, true
	case m.Kind == RequestFact_REFUSED && m.Instance != "" && m.By != 0 && m.RefusalLimit >= 0:
		count := int(min(m.Refusals, maxRefusals))
		return quarantine.InstanceRefused{Incarnation: of, By: m.By, Count: count, Limit: m.RefusalLimit, At: at}, true
	}
	return nil, false
}

// age returns how many milliseconds ago something was.
func age(at, now time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

// before returns a time that lies some milliseconds back, a day at most: what is older is forgotten.
func before(now time.Time, milliseconds uint64) time.Time {
	return now.Add(-time.Duration(min(milliseconds, uint64((24*time.Hour).Milliseconds()))) * time.Millisecond)
}
