package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
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

// PublishRecordedVersions sets the software versions of services that this control instance has applied from the log.
func (s *Source) PublishRecordedVersions(versions map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordedVersions != nil && maps.EqualFunc(s.recordedVersions, versions, slices.Equal) {
		return
	}
	s.recordedVersions = versions
	s.notifyNow()
}

// addRecordedVersions adds the recorded software versions; mu must be held.
func (s *Source) addRecordedVersions(out *wire.FleetResponse) {
	out.VersionsRecorded = s.recordedVersions != nil
	for _, service := range slices.Sorted(maps.Keys(s.recordedVersions)) {
		out.RecordedVersions = append(out.RecordedVersions, &wire.ServiceVersions{Service: service, SoftwareVersions: s.recordedVersions[service]})
	}
}

// RecordedVersions holds the software versions of services that the control log holds. It is nil if no control instance
// sends them.
type RecordedVersions map[string][]string

// Allow reports whether streams may begin at a software version of a service. Until any is recorded, they may at all.
func (r RecordedVersions) Allow(service, version string) bool {
	return len(r[service]) == 0 || slices.Contains(r[service], version)
}

// recordedVersions merges what the sources sent; mu must be held. What any of them has applied is committed.
func (f *Follower) recordedVersions() RecordedVersions {
	var out RecordedVersions
	for _, s := range f.sources {
		if s.recordedVersions == nil {
			continue
		}
		if out == nil {
			out = RecordedVersions{}
		}
		for service, versions := range s.recordedVersions {
			for _, version := range versions {
				if !slices.Contains(out[service], version) {
					out[service] = append(out[service], version)
				}
			}
		}
	}
	return out
}

// toRecordedVersions returns the recorded software versions of an answer, or nil if it has none.
func toRecordedVersions(out *wire.FleetResponse) RecordedVersions {
	if !out.VersionsRecorded {
		return nil
	}
	versions := RecordedVersions{}
	for _, v := range out.RecordedVersions {
		versions[v.Service] = v.SoftwareVersions
	}
	return versions
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
