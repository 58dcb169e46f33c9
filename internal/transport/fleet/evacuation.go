package fleet

import (
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/evacuation"
)

// appliedEvacuation is a failure domain's state as a control instance applied it, and since when.
type appliedEvacuation struct {
	evacuation.Domain
	since time.Time
}

// PublishEvacuations sets the evacuations of failure domains that this control instance has applied
// from the log.
func (s *Source) PublishEvacuations(domains []evacuation.Domain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	before := s.evacuationRevision
	known := map[evacuation.Domain]time.Time{}
	for _, d := range s.evacuations {
		known[d.Domain] = d.since
	}
	s.evacuations = nil
	for _, d := range domains {
		since, ok := known[d]
		if !ok {
			since = now
		}
		s.evacuations = append(s.evacuations, appliedEvacuation{d, since})
		s.evacuationRevision = max(s.evacuationRevision, d.Revision)
	}
	if s.evacuationRevision > before {
		s.notifyNow()
	}
}

// addEvacuations adds all evacuations if any is newer than those that the poller has in force; mu
// must be held.
func (s *Source) addEvacuations(known uint64, out *wire.FleetResponse) {
	if s.evacuationRevision > known {
		out.Evacuations = s.evacuationStates()
	}
}

func (s *Source) evacuationStates() []*wire.EvacuationState {
	now := clock.Now()
	var out []*wire.EvacuationState
	for _, d := range s.evacuations {
		out = append(out, &wire.EvacuationState{
			Domain: d.Name, Evacuated: d.Evacuated, Revision: d.Revision, AgeMilliseconds: uint64(now.Sub(d.since).Milliseconds()),
		})
	}
	return out
}

// EvacuationStatus returns the evacuations applied here, and the revision that each entry that polls
// this control instance has in force.
func (s *Source) EvacuationStatus() ([]*wire.EvacuationState, []*wire.EntryReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.expire(clock.Now())
	var entries []*wire.EntryReport
	for _, name := range s.entries.names {
		entries = append(entries, &wire.EntryReport{Name: name, Evacuations: s.entries.polled[name].evacuations})
	}
	return s.evacuationStates(), entries
}

// applyEvacuations merges the evacuations in a source's answer; mu must be held.
func (f *Follower) applyEvacuations(address string, out *wire.FleetResponse, now time.Time) {
	for _, in := range out.Evacuations {
		d := evacuation.Domain{Name: in.Domain, Evacuated: in.Evacuated, Revision: in.Revision}
		age := time.Duration(in.AgeMilliseconds) * time.Millisecond
		if f.evacuations.Merge(d, age, now) {
			f.Log.Info().Str("event", "evacuation_in_force").Str("failure_domain", d.Name).Bool("evacuated", d.Evacuated).
				Uint64("revision", d.Revision).Dur("age_ms", age).Str("from", address).Msg("")
		}
	}
}
