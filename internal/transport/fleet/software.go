package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
)

// updateSoftwareVersions records the software versions of all services; mu must be held.
func (f *Follower) updateSoftwareVersions(now time.Time) {
	known, changed := f.merged.SoftwareVersions()
	if !changed {
		return
	}
	next := make(map[string]streamorigin.Versions, len(known))
	for service, counts := range known {
		versions, changed := f.softwareVersions[service].Update(maps.Keys(counts), now)
		next[service] = versions
		if !changed {
			continue
		}
		f.Log.Info().Str("event", "software_versions").Str("service", service).Strs("versions", slices.Sorted(maps.Keys(versions))).Msg("")
		if len(versions) > 1 && f.OnVersionAdded != nil {
			go f.OnVersionAdded(service)
		}
	}
	f.softwareVersions = next
}

// replicas returns the addresses of all control instances that the sources list, or of the sources while they list
// none, in order; mu must be held.
func (f *Follower) replicas() []string {
	set := map[string]bool{}
	for _, s := range f.sources {
		for _, address := range s.control {
			set[address] = true
		}
	}
	if len(set) == 0 {
		return slices.Sorted(maps.Keys(f.sources))
	}
	return slices.Sorted(maps.Keys(set))
}
