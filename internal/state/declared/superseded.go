package declared

import "maps"

// supersede notes which weight versions were replaced since some models were declared, and
// forgets models that are gone.
func (s *State) supersede(before map[string]Model) {
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

// SupersededVersions returns, by model, the weight version that was declared before the one in force;
// a model whose version never changed has none.
func (s *State) SupersededVersions() map[string]string { return maps.Clone(s.superseded) }

// SetSupersededVersions takes what AllSuperseded says where the state came from; it is for
// processes that follow a control replica and were told every document.
func (s *State) SetSupersededVersions(versions map[string]string) {
	s.superseded = map[string]string{}
	maps.Copy(s.superseded, versions)
}
