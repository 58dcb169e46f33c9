package declared

import "slices"

// Evacuated reports whether a failure domain is evacuated: its upstreams get no new work.
func (s *State) Evacuated(failureDomain string) bool {
	return slices.Contains(s.evacuated, failureDomain)
}

// EvacuatedDomains returns the evacuated failure domains, sorted by name.
func (s *State) EvacuatedDomains() []string { return slices.Clone(s.evacuated) }

// Evacuate replaces the set of evacuated failure domains, and increments the revision as any
// other change does.
func (s *State) Evacuate(failureDomains []string) {
	s.SetEvacuatedDomains(failureDomains)
	s.revision++
}

// SetEvacuatedDomains copies the result of EvacuatedDomains at a control replica, without a new
// revision; it is for processes that follow the replica and receive its whole state.
func (s *State) SetEvacuatedDomains(failureDomains []string) {
	s.evacuated = slices.Sorted(slices.Values(failureDomains))
}
