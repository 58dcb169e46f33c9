package streamorigin

import (
	"iter"
	"time"
)

// Versions holds the software versions of one service that an entry knows of, each with the time since when. Those
// whose instances have all ended are included for a while. It is never modified.
type Versions map[string]time.Time

// Update returns the versions now that those of known are known, each given once, and whether that differs from before.
func (v Versions) Update(known iter.Seq[string], now time.Time) (next Versions, changed bool) {
	next = Versions{}
	for version := range known {
		since, ok := v[version]
		if !ok {
			since, changed = now, true
		}
		next[version] = since
	}
	if !changed && len(next) == len(v) {
		return v, false
	}
	return next, true
}

// Sole returns the only version; ok is false unless there is exactly one.
func (v Versions) Sole() (version string, ok bool) {
	if len(v) != 1 {
		return "", false
	}
	for version = range v {
		break
	}
	return version, true
}

// Settled reports whether streams may begin at a version, as far as there is a choice: it has been known for
// SettleTime, during which this entry was connected to the control log.
func (v Versions) Settled(version string, connectedSince, now time.Time) bool {
	if len(v) < 2 {
		return true
	}
	since, ok := v[version]
	if since.Before(connectedSince) {
		since = connectedSince
	}
	return ok && now.Sub(since) >= SettleTime
}

// Source is from where an entry knows the origin of a stream that a caller resumes.
type Source string

// The sources of an origin: this entry has a record of its own, a control instance has one, or the service has a
// single version. Without any, the origin is unknown.
const (
	OwnRecord    Source = "own_record"
	SharedRecord Source = "shared_record"
	SoleVersion  Source = "sole_version"
	Unknown      Source = "unknown"
)

// Known is what an entry knows when a caller resumes a stream.
type Known struct {
	// Service is the one that the request's route leads to, and Versions are its software versions.
	Service  string
	Versions Versions
	// Current is true if the entry would know of any version at which streams have begun.
	Current bool
	// Own and Shared are the records, nil if there are none.
	Own, Shared *Origin
}

// Resolve returns where a resumed stream began.
func Resolve(k Known) (o Origin, from Source) {
	for _, record := range []struct {
		origin *Origin
		source Source
	}{{k.Own, OwnRecord}, {k.Shared, SharedRecord}} {
		if record.origin == nil {
			continue
		}
		if *record.origin == (Origin{}) {
			return Origin{}, Unknown
		}
		return *record.origin, record.source
	}
	if version, ok := k.Versions.Sole(); ok && k.Current {
		return Origin{k.Service, version}, SoleVersion
	}
	return Origin{}, Unknown
}
