// Package evacuation holds which failure domains are evacuated: no request is to begin at their
// upstreams. The control log holds a Book; whoever sends requests joins what control instances tell
// in a Known.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Domain is a failure domain that was evacuated at least once. It is a plain value.
type Domain struct {
	Name      string
	Evacuated bool
	// Revision numbers its last change among the changes of all domains, from 1.
	Revision uint64
}

// Table is the state in the control log; its zero value has no domain. It is not safe for concurrent
// use.
type Table struct {
	domains map[string]Domain
	// revision is the newest of all domains.
	revision uint64
}

// Restore returns the book that holds some domains.
func Restore(domains []Domain) *Table {
	b := &Table{domains: map[string]Domain{}}
	for _, d := range domains {
		b.domains[d.Name] = d
		b.revision = max(b.revision, d.Revision)
	}
	return b
}

// Change starts or ends the evacuation of a domain, unless that is so already or the domain has
// changed since the revision that was seen: a command that comes late, after the operator has
// changed the domain again, changes nothing. It returns the domain as it is then.
func (b *Table) Change(name string, end bool, seen uint64) Domain {
	d := b.Domain(name)
	if d.Evacuated != end || d.Revision != seen {
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

// View is what one process was told of evacuations; its zero value knows of none. It is not safe
// for concurrent use.
type View struct {
	// domains are by name. Of a domain the highest revision holds, whoever tells it and when.
	domains map[string]known
}

type known struct {
	Domain
	// since is when the first control instance learned of the revision, as far as is known.
	since time.Time
}

// Merge joins what one control instance tells of a domain, for how long it has known it; it reports
// whether the domain changed here.
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
		k.domains = map[string]known{}
	}
	k.domains[d.Name] = known{d, since}
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

// Evacuated returns the domains that are evacuated, each with since when; nil for none.
func (k *View) Evacuated() map[string]time.Time { return k.which(true) }

// Ended returns the domains whose evacuation was ended, each with since when; nil for none.
func (k *View) Ended() map[string]time.Time { return k.which(false) }

func (k *View) which(evacuated bool) map[string]time.Time {
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
