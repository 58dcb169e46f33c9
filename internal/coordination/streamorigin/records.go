package streamorigin

import (
	"slices"
	"time"
)

// Watched is for how long a process has known of every software version that instances had.
type Watched struct {
	For time.Duration
	// FromStart is true if no stream has begun before it started.
	FromStart bool
}

// versionRetention is how long versions are known after their last instance has ended.
const versionRetention = time.Minute

// DueRecords returns the software versions to record by their services, and none for services that are not in the
// configuration any more. known holds those of each declared service.
//
// A version is added as soon as it is known. The first record of a service implies that streams have begun nowhere else,
// and a version is removed when no stream that began there can go on: both need a process that would know.
func DueRecords(recorded, known map[string][]string, watched Watched) map[string][]string {
	due := map[string][]string{}
	for service, versions := range known {
		before, ok := recorded[service]
		if !ok {
			if len(versions) > 0 && (watched.FromStart || watched.For >= Retention) {
				due[service] = versions
			}
			continue
		}
		next := slices.Concat(before, versions)
		if watched.For >= versionRetention+Retention && len(versions) > 0 {
			next = slices.Clone(versions)
		}
		slices.Sort(next)
		next = slices.Compact(next)
		if !slices.Equal(next, before) {
			due[service] = next
		}
	}
	for service := range recorded {
		if _, declared := known[service]; !declared {
			due[service] = nil
		}
	}
	return due
}
