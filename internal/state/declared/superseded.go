package declared

import "maps"

// recordSuperseded records the weight versions that have changed since before, the models
// declared earlier, and deletes the records of models that are no longer declared.
func (s *State) recordSuperseded(before map[string]Model) {
	for name := range s.superseded {
		if _, ok := s.index.models[name]; !ok {
			delete(s.superseded, name)
		}
	}
	for name, m := range s.index.models {
		if old, ok := before[name]; ok && old.WeightVersion() != m.WeightVersion() {
			s.superseded[name] = old.WeightVersion()
		}
	}
}

// SupersededVersions returns, by model, the weight version that was declared before the one in
// force; a model whose version never changed has no entry.
func (s *State) SupersededVersions() map[string]string { return maps.Clone(s.superseded) }

// SetSupersededVersions copies the result of SupersededVersions at a control replica; it is for
// processes that follow the replica and receive every document from it.
func (s *State) SetSupersededVersions(versions map[string]string) {
	s.superseded = map[string]string{}
	maps.Copy(s.superseded, versions)
}
