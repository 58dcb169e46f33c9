package declared

import "slices"

// Evacuated reports whether no work is to begin at the upstreams of a failure domain.
func (s *State) Evacuated(failureDomain string) bool {
	return slices.Contains(s.evacuated, failureDomain)
}

// EvacuatedDomains returns the failure domains that are evacuated, in the order of their names.
func (s *State) EvacuatedDomains() []string { return slices.Clone(s.evacuated) }

// Evacuate sets the failure domains that are evacuated, which is a change as any other.
func (s *State) Evacuate(failureDomains []string) {
	s.SetEvacuatedDomains(failureDomains)
	s.revision++
}

// SetEvacuatedDomains takes what AllEvacuated says where the state came from; it is for processes that
// follow a control replica and were told everything.
func (s *State) SetEvacuatedDomains(failureDomains []string) {
	s.evacuated = slices.Sorted(slices.Values(failureDomains))
}
