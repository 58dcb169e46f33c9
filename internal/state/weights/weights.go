// Package weights decides which version of a model's weights a request must run on at least.
//
// An operator announces versions, and engines are updated to the newest one by one, which may take
// long or never finish. During a grace period after the announcement a request may still begin on an
// older version, and afterwards no longer. A History holds the state for that decision: when each version
// was announced, and up to which version the grace period has certainly ended. A process that sends
// requests decides by its own History at the moment of sending, so old weights go out of use without
// depending on the progress of any other process.
//
// Times are those of the process's own clock. Other processes send ages instead of times, and merging
// histories keeps the stricter of the two.
package weights

import (
	"slices"
	"time"
)

// maxAnnouncements bounds the versions of one model whose announcement times are kept. If more are
// announced within the grace period, the oldest are merged.
const maxAnnouncements = 16

// GracePolicy determines how long requests may begin on old weights.
type GracePolicy struct {
	// Period is the grace period after the announcement of a newer version; 0 means no end.
	Period time.Duration
	// LastUnreachable, if set, is when this process last could not reach the control instances, which update
	// engines to new weights. Grace periods then end no sooner than if the versions had been announced
	// at that time.
	LastUnreachable time.Time
	// Unreachable is true while it cannot reach them. No version is required then, so that a partitioned
	// process continues with the weights that its engines have.
	Unreachable bool
}

// graceEnd returns when the grace period of the versions before one that was announced at the given time ends.
func (a GracePolicy) graceEnd(at time.Time) time.Time {
	if at.Before(a.LastUnreachable) {
		at = a.LastUnreachable
	}
	return at.Add(a.Period)
}

// Announcement is the announcement of a version.
type Announcement struct {
	Version uint64
	// At is when the version was committed to the control log, or later by the time that it took
	// this process to learn of it.
	At time.Time
}

// History holds the known versions of one model. Its zero value is empty. It is an immutable
// value: its methods return a changed copy.
type History struct {
	// enforced is the newest version whose grace period has certainly ended.
	enforced uint64
	// announcements is ordered by version, and by time as well: a version that was announced no earlier
	// than a newer one is superfluous and is dropped.
	announcements []Announcement
}

// Announce adds an announcement. A known version keeps its earliest time.
func (h History) Announce(n Announcement) History {
	out := History{enforced: h.enforced}
	for _, known := range h.announcements {
		if known.Version == n.Version && known.At.Before(n.At) {
			n.At = known.At
		}
	}
	for _, known := range h.announcements {
		if known.Version != n.Version {
			out.announcements = append(out.announcements, known)
		}
	}
	out.announcements = append(out.announcements, n)
	return out.normalized()
}

// Enforce records that the grace period of a version has ended, whenever it was announced.
func (h History) Enforce(version uint64) History {
	h.enforced = max(h.enforced, version)
	return h.normalized()
}

// Merge adds the state of another history.
func (h History) Merge(other History) History {
	out := h.Enforce(other.enforced)
	for _, n := range other.announcements {
		out = out.Announce(n)
	}
	return out
}

// normalized drops announcements that affect no result, and merges the oldest ones when there are too many:
// the grace period of the newer version then counts from the older one's time, which is stricter.
func (h History) normalized() History {
	announcements := slices.Clone(h.announcements)
	slices.SortFunc(announcements, func(a, b Announcement) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	kept := announcements[:0]
	for i, n := range announcements {
		superseded := slices.ContainsFunc(announcements[i+1:], func(later Announcement) bool { return !later.At.After(n.At) })
		if n.Version > h.enforced && !superseded {
			kept = append(kept, n)
		}
	}
	for len(kept) > maxAnnouncements {
		kept[1].At = kept[0].At
		kept = kept[1:]
	}
	return History{enforced: h.enforced, announcements: kept}
}

// Newest returns the newest version, or 0.
func (h History) Newest() uint64 {
	if len(h.announcements) == 0 {
		return h.enforced
	}
	return h.announcements[len(h.announcements)-1].Version
}

// NewestAnnouncedAt returns when the newest version was announced; ok is false when that is no longer
// known because its grace period has ended.
func (h History) NewestAnnouncedAt() (at time.Time, ok bool) {
	if len(h.announcements) == 0 {
		return time.Time{}, false
	}
	return h.announcements[len(h.announcements)-1].At, true
}

// Enforced returns the newest version whose grace period has certainly ended.
func (h History) Enforced() uint64 { return h.enforced }

// Announcements returns the announcements in the order of versions.
func (h History) Announcements() []Announcement { return slices.Clone(h.announcements) }

// Required returns the oldest version on which a request may begin at now; 0 means any version.
func (h History) Required(now time.Time, a GracePolicy) uint64 {
	if a.Unreachable {
		return 0
	}
	required := uint64(0)
	if !now.Before(h.enforcedGraceEnd(a)) {
		required = h.enforced
	}
	for _, n := range h.announcements {
		if a.Period > 0 && !now.Before(a.graceEnd(n.At)) {
			required = max(required, n.Version)
		}
	}
	return required
}

// AllowedUntil returns until when a request may begin on a version; ok is false when no end is known.
func (h History) AllowedUntil(version uint64, a GracePolicy) (end time.Time, ok bool) {
	if a.Unreachable {
		return time.Time{}, false
	}
	if version < h.enforced {
		return h.enforcedGraceEnd(a), true
	}
	for _, n := range h.announcements {
		if a.Period > 0 && n.Version > version {
			return a.graceEnd(n.At), true
		}
	}
	return time.Time{}, false
}

// enforcedGraceEnd returns when the grace period of the versions before the enforced one ends: one Period after
// LastUnreachable if that is set, and the zero time otherwise, as it has certainly ended.
func (h History) enforcedGraceEnd(a GracePolicy) time.Time {
	if a.LastUnreachable.IsZero() {
		return time.Time{}
	}
	return a.LastUnreachable.Add(a.Period)
}
