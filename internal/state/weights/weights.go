// Package weights decides which version of a model's weights a request must run on at least.
//
// An operator names versions, and engines are brought to the newest one by one, which may take
// long or never end. Until a bound after its naming is over, a request may also begin on an
// older version; after it, on none. A History holds what that depends on: when each version
// was named, and up to which version the bound is certainly over. Whoever sends requests
// decides by its own History at the moment of sending, so that no progress elsewhere is needed
// for old weights to be left alone.
//
// Times are those of the process's own clock. What comes from another process comes as an age,
// and histories join to the stricter of what each knows.
package weights

import (
	"slices"
	"time"
)

// mostNamed bounds the versions of one model whose times are remembered: so many may be named
// within the bound and still be told apart.
const mostNamed = 16

// GracePolicy says how long requests may begin on old weights.
type GracePolicy struct {
	// Period is how long after the naming of newer ones; 0 is without an end.
	Period time.Duration
	// LastUnreachable, when set, is when this process was last out of reach of whoever brings engines to
	// new weights: no bound is over sooner than if the versions had been named then.
	LastUnreachable time.Time
	// Unreachable says that it is out of reach now: then no version is required, so that whoever is
	// cut off goes on with what there is.
	Unreachable bool
}

// end returns when the time of versions before one that was named at a time is over.
func (a GracePolicy) end(at time.Time) time.Time {
	if at.Before(a.LastUnreachable) {
		at = a.LastUnreachable
	}
	return at.Add(a.Period)
}

// Announcement is when a version was named.
type Announcement struct {
	Version uint64
	// At is when a majority of the control log had the version, or somewhat later: as much
	// as it took to hear of it.
	At time.Time
}

// History is what is known of the versions of one model. Its zero value knows none. It is a
// value: its methods leave it as it is.
type History struct {
	// due is the newest version of which it is certain that the bound is over.
	due uint64
	// named is in the order of versions, and of times too: a version that was named after a
	// newer one was heard of says nothing more.
	named []Announcement
}

// Announce adds a naming. A version that is known keeps its earliest time.
func (h History) Announce(n Announcement) History {
	out := History{due: h.due}
	for _, known := range h.named {
		if known.Version == n.Version && known.At.Before(n.At) {
			n.At = known.At
		}
	}
	for _, known := range h.named {
		if known.Version != n.Version {
			out.named = append(out.named, known)
		}
	}
	out.named = append(out.named, n)
	return out.settled()
}

// Enforce notes that the bound of a version is over, whatever its naming's time.
func (h History) Enforce(version uint64) History {
	h.due = max(h.due, version)
	return h.settled()
}

// Merge adds all that another history knows.
func (h History) Merge(other History) History {
	out := h.Enforce(other.due)
	for _, n := range other.named {
		out = out.Announce(n)
	}
	return out
}

// settled drops what changes no answer, and joins the oldest namings when there are too many:
// the newer version then counts from the older one's time, which is stricter.
func (h History) settled() History {
	named := slices.Clone(h.named)
	slices.SortFunc(named, func(a, b Announcement) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	kept := named[:0]
	for i, n := range named {
		newerWasEarlier := slices.ContainsFunc(named[i+1:], func(later Announcement) bool { return !later.At.After(n.At) })
		if n.Version > h.due && !newerWasEarlier {
			kept = append(kept, n)
		}
	}
	for len(kept) > mostNamed {
		kept[1].At = kept[0].At
		kept = kept[1:]
	}
	return History{due: h.due, named: kept}
}

// Newest returns the newest version, or 0.
func (h History) Newest() uint64 {
	if len(h.named) == 0 {
		return h.due
	}
	return h.named[len(h.named)-1].Version
}

// NewestAnnouncedAt returns when the newest version was named; ok is false when that is not known any
// more, because its bound is over.
func (h History) NewestAnnouncedAt() (at time.Time, ok bool) {
	if len(h.named) == 0 {
		return time.Time{}, false
	}
	return h.named[len(h.named)-1].At, true
}

// Enforced returns the newest version of which it is certain that its bound is over.
func (h History) Enforced() uint64 { return h.due }

// Announcements returns the namings in the order of versions.
func (h History) Announcements() []Announcement { return slices.Clone(h.named) }

// Required returns the oldest version on which a request may begin at a time. 0 is any.
func (h History) Required(now time.Time, a GracePolicy) uint64 {
	if a.Unreachable {
		return 0
	}
	required := uint64(0)
	if !now.Before(h.dueEnd(a)) {
		required = h.due
	}
	for _, n := range h.named {
		if a.Period > 0 && !now.Before(a.end(n.At)) {
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
	if version < h.due {
		return h.dueEnd(a), true
	}
	for _, n := range h.named {
		if a.Period > 0 && n.Version > version {
			return a.end(n.At), true
		}
	}
	return time.Time{}, false
}

// dueEnd returns when the time of versions before the one that is certainly due is over for
// who was out of reach, and long ago for others.
func (h History) dueEnd(a GracePolicy) time.Time {
	if a.LastUnreachable.IsZero() {
		return time.Time{}
	}
	return a.LastUnreachable.Add(a.Period)
}
