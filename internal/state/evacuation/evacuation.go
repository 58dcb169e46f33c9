// Package evacuation holds which failure domains are evacuated: no new requests are sent to their
// upstreams. The control log holds a Table; a process that sends requests merges the reports of the
// control instances in a View.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Domain is the state of a failure domain that was evacuated at least once.
type Domain struct {
	Name      string
	Evacuated bool
	// Revision is the number of its last change among the changes of all domains, from 1.
	Revision uint64
}

// Table is the replicated state in the control log; its zero value is empty. It is not safe for concurrent
// use.
type Table struct {
	domains map[string]Domain
	// revision is the highest revision of all domains.
	revision uint64
}

// Restore returns a table that holds the given domains.
func Restore(domains []Domain) *Table {
	b := &Table{domains: map[string]Domain{}}
	for _, d := range domains {
		b.domains[d.Name] = d
		b.revision = max(b.revision, d.Revision)
	}
	return b
}

// Change starts or ends the evacuation of a domain. It has no effect if the domain is in that state already
// or its revision is not expectedRevision, so that a delayed command does not undo a later change by the
// operator. It returns the resulting state of the domain.
func (b *Table) Change(name string, end bool, expectedRevision uint64) Domain {
	d := b.Domain(name)
	if d.Evacuated != end || d.Revision != expectedRevision {
		return d
	}
	b.revision++
	d = Domain{Name: name, Evacuated: !end, Revision: b.revision}
	if b.domains == nil {
		b.domains = map[string]Domain{}
	}
	b.domains[name] = d
	return d
}

// Domain returns a domain; one that was never evacuated has revision 0.
func (b *Table) Domain(name string) Domain {
	if d, ok := b.domains[name]; ok {
		return d
	}
	return Domain{Name: name}
}

// All returns the domains in the order of their names.
func (b *Table) All() []Domain {
	var out []Domain
	for _, name := range slices.Sorted(maps.Keys(b.domains)) {
		out = append(out, b.domains[name])
	}
	return out
}

// View is the state of evacuations as reported to one process; its zero value is empty. It is not safe
// for concurrent use.
type View struct {
	// domains are by name. The highest revision of a domain holds, regardless of the reporter and the order.
	domains map[string]viewEntry
}

type viewEntry struct {
	Domain
	// since is the earliest known time at which a control instance had the revision.
	since time.Time
}

// Merge merges the state of a domain that a control instance reports, where age is how long that instance has
// had it. It reports whether the domain changed in the view.
func (k *View) Merge(d Domain, age time.Duration, now time.Time) bool {
	before, ok := k.domains[d.Name]
	since := now.Add(-age)
	if ok && d.Revision < before.Revision {
		return false
	}
	if ok && d.Revision == before.Revision {
		if since.Before(before.since) {
			before.since = since
			k.domains[d.Name] = before
		}
		return false
	}
	if k.domains == nil {
		k.domains = map[string]viewEntry{}
	}
	k.domains[d.Name] = viewEntry{d, since}
	return true
}

// Revision returns the newest revision of any domain.
func (k *View) Revision() uint64 {
	newest := uint64(0)
	for _, d := range k.domains {
		newest = max(newest, d.Revision)
	}
	return newest
}

// Evacuated returns the evacuated domains with the times of the change; nil if there are none.
func (k *View) Evacuated() map[string]time.Time { return k.filter(true) }

// Ended returns the domains whose evacuation was ended, with the times of the change; nil if there are none.
func (k *View) Ended() map[string]time.Time { return k.filter(false) }

func (k *View) filter(evacuated bool) map[string]time.Time {
	var out map[string]time.Time
	for name, d := range k.domains {
		if d.Evacuated != evacuated {
			continue
		}
		if out == nil {
			out = map[string]time.Time{}
		}
		out[name] = d.since
	}
	return out
}
