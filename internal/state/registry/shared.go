package registry

// maxNames limits the names that are kept for sharing: of services, failure domains and models.
const maxNames = 4096

// sharedWeightsSize is the number of maps of weights versions that are kept for sharing. A few models
// have two versions each while they are updated.
const sharedWeightsSize = 8

// shared holds values that thousands of instances have in common, so that each is in memory once. The
// zero value is empty.
type shared struct {
	names map[string]string
	// versions holds the maps of weights versions that were used last, the latest first.
	versions [sharedWeightsSize]map[string]uint64
}

// name returns the shared copy of a name.
func (s *shared) name(name string) string {
	known, ok := s.names[name]
	if ok {
		return known
	}
	if s.names == nil || len(s.names) >= maxNames {
		s.names = map[string]string{}
	}
	s.names[name] = name
	return name
}

// weights returns a map of the estimated versions, which must not be modified. Equal maps are shared.
func (s *shared) weights(estimates []modelEstimate) map[string]uint64 {
	for i, versions := range s.versions {
		if versions != nil && equalVersions(versions, estimates) {
			s.moveToFront(i)
			return versions
		}
	}
	versions := make(map[string]uint64, len(estimates))
	for _, e := range estimates {
		versions[e.model] = e.current.version
	}
	s.versions[len(s.versions)-1] = versions
	s.moveToFront(len(s.versions) - 1)
	return versions
}

// moveToFront makes the map at an index the latest one.
func (s *shared) moveToFront(i int) {
	latest := s.versions[i]
	copy(s.versions[1:i+1], s.versions[:i])
	s.versions[0] = latest
}

func equalVersions(versions map[string]uint64, estimates []modelEstimate) bool {
	if len(versions) != len(estimates) {
		return false
	}
	for _, e := range estimates {
		version, ok := versions[e.model]
		if !ok || version != e.current.version {
			return false
		}
	}
	return true
}
