package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/evacuation"
)

// evacuated is a failure domain as a control instance has applied it, and since when.
type evacuated struct {
	evacuation.Domain
	since time.Time
}

// watcher is what an entry said of itself when it asked last.
type watcher struct {
	at time.Time
	// evacuations is the newest change of evacuations that it has in force.
	evacuations uint64
}

// PublishEvacuations sets the failure domains that were evacuated, as far as this control instance
// has applied the log.
func (s *Source) PublishEvacuations(domains []evacuation.Domain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	before := s.evacuated
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
		s.evacuations = append(s.evacuations, evacuated{d, since})
		s.evacuated = max(s.evacuated, d.Revision)
	}
	if s.evacuated > before {
		s.wake()
	}
}

// tellEvacuations adds all evacuations if any is newer than what the caller has in force; mu must be
// held.
func (s *Source) tellEvacuations(known uint64, out *wire.FleetResponse) {
	if s.evacuated > known {
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

// EvacuationStatus returns the evacuations that are applied here, and what entries said of themselves.
func (s *Source) EvacuationStatus() ([]*wire.EvacuationState, []*wire.EntryReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countEntries()
	var entries []*wire.EntryReport
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		entries = append(entries, &wire.EntryReport{Name: name, Evacuations: s.entries[name].evacuations})
	}
	return s.evacuationStates(), entries
}

// takeEvacuations joins the evacuations that a source told; mu must be held.
func (f *Follower) takeEvacuations(address string, out *wire.FleetResponse, now time.Time) {
	for _, in := range out.Evacuations {
		d := evacuation.Domain{Name: in.Domain, Evacuated: in.Evacuated, Revision: in.Revision}
		age := time.Duration(in.AgeMilliseconds) * time.Millisecond
		if f.evacuations.Merge(d, age, now) {
			f.Log.Info().Str("event", "evacuation_in_force").Str("failure_domain", d.Name).Bool("evacuated", d.Evacuated).
				Uint64("revision", d.Revision).Dur("age_ms", age).Str("from", address).Msg("")
		}
	}
}
