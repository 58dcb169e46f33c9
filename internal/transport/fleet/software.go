package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
)

// updateSoftwareVersions records the software versions of all services; mu must be held.
func (f *Follower) updateSoftwareVersions(now time.Time) {
	next := map[string]streamorigin.Versions{}
	anyChanged := false
	for service, known := range f.merged.SoftwareVersions() {
		before := f.softwareVersions[service]
		versions, changed := before.Update(known, now)
		next[service] = versions
		if !changed {
			continue
		}
		anyChanged = true
		f.Log.Info().Str("event", "software_versions").Str("service", service).Strs("versions", slices.Sorted(maps.Keys(versions))).Msg("")
		if len(versions) > 1 && f.OnVersionAdded != nil {
			go f.OnVersionAdded(service)
		}
	}
	if anyChanged || len(next) != len(f.softwareVersions) {
		f.softwareVersions = next
	}
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
