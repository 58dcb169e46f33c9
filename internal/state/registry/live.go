package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Live returns the instances in use, in the order of their ids.
func (m *Merged) Live(now time.Time) []Instance {
	var out []Instance
	for _, instances := range m.LiveByService(now) {
		out = append(out, instances...)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// LiveByService returns the instances of each service that are neither leaving nor left and that a source
// has reported as alive within Grace, in the order of their ids. It evicts the others after the retention
// time. The slices are never modified; that of a service without changes is the same as before.
//
// Of an id only the latest start counts, even after it has gone, as a heartbeat of an earlier one may arrive late. An address
// belongs to the incarnation that started last: a crashed incarnation does not sign off, and its successor
// reports long before it counts as silent. The order in which this process learns of them is not used: a
// process that starts late may learn of the successor first.
func (m *Merged) LiveByService(now time.Time) map[string][]Instance {
	m.init()
	m.evict(now)
	m.touchExpired(now)
	edits := map[string][]edit{}
	for id := range m.dirty {
		m.edit(id, now, edits)
	}
	clear(m.dirty)
	for service, list := range edits {
		next := applyEdits(m.live[service], list)
		if len(next) == 0 {
			delete(m.live, service)
			continue
		}
		m.live[service] = next
	}
	return maps.Clone(m.live)
}

// SoftwareVersions returns how many incarnations of each service have each software version, including those that
// have ended and are still retained. changed is false if no version has come or gone since the last call. The
// result must not be modified, and is valid until the next call of another method.
func (m *Merged) SoftwareVersions() (versions map[string]map[string]int, changed bool) {
	changed = m.versionsChanged
	m.versionsChanged = false
	return m.versions, changed
}

// countVersion adds n to the number of incarnations with an instance's service and software version. Without a service,
// only the end of the incarnation is known.
func (m *Merged) countVersion(in Instance, n int) {
	if in.Service == "" {
		return
	}
	counts := m.versions[in.Service]
	if counts == nil {
		counts = map[string]int{}
		m.versions[in.Service] = counts
	}
	before := counts[in.SoftwareVersion]
	counts[in.SoftwareVersion] = before + n
	if before+n == 0 {
		delete(counts, in.SoftwareVersion)
	}
	if len(counts) == 0 {
		delete(m.versions, in.Service)
	}
	m.versionsChanged = m.versionsChanged || before == 0 || before+n == 0
}

// edit is a change of one id's entry in the list of a service. in is nil to remove it.
type edit struct {
	id string
	in *Instance
}

// edit adds the edits that an id's entry needs.
func (m *Merged) edit(id string, now time.Time, edits map[string][]edit) {
	of := m.instances[id]
	if of == nil {
		return
	}
	k := of.latest()
	service := ""
	if m.inUse(k, now) {
		service = k.newest.Service
	}
	if of.listed != "" && of.listed != service {
		edits[of.listed] = append(edits[of.listed], edit{id: id})
	}
	of.listed = service
	if service != "" {
		m.resolveWeights(k, now)
		edits[service] = append(edits[service], edit{id, &k.newest})
	}
}

// inUse reports whether the latest incarnation of an id is in use.
func (m *Merged) inUse(k *merged, now time.Time) bool {
	return !k.left && !k.newest.Leaving && k.newest.Address != "" && !m.silent(k, now) && m.owner(k.newest.Address) == k
}

// applyEdits returns a new list with edits applied.
func applyEdits(list []Instance, edits []edit) []Instance {
	slices.SortFunc(edits, func(a, b edit) int { return strings.Compare(a.id, b.id) })
	out := make([]Instance, 0, len(list)+len(edits))
	for _, e := range edits {
		i, found := slices.BinarySearchFunc(list, e.id, func(in Instance, id string) int { return strings.Compare(in.ID, id) })
		out = append(out, list[:i]...)
		list = list[i:]
		if found {
			list = list[1:]
		}
		if e.in != nil {
			out = append(out, *e.in)
		}
	}
	return append(out, list...)
}

// touch notes that the entry of an incarnation's id in the live instances may have to change, and those of
// the ids that reported the same address.
func (m *Merged) touch(k *merged) {
	m.touchID(k.newest.ID)
	m.touchAddress(k.newest.Address)
}

// touchID notes that an id's report and its entry in the live instances may have to change.
func (m *Merged) touchID(id string) {
	m.dirty[id] = struct{}{}
	if m.TrackChanges {
		m.changed[id] = struct{}{}
	}
}

// touchAddress does the same for all ids that reported an address.
func (m *Merged) touchAddress(address string) {
	for _, k := range m.addresses[address] {
		m.dirty[k.newest.ID] = struct{}{}
	}
}

// touchExpired touches the incarnations that have become silent, and those whose weights change with
// time.
func (m *Merged) touchExpired(now time.Time) {
	for k := range m.orphans {
		if !k.expired && m.silent(k, now) {
			k.expired = true
			m.touchID(k.newest.ID)
		}
	}
	for k := range m.unsettled {
		k.weightsStale = true
		m.resolveWeights(k, now)
		if !k.weightsStale {
			delete(m.unsettled, k)
		}
		m.touchID(k.newest.ID)
	}
}

// Redeclare notes that the results of Declared may have changed.
func (m *Merged) Redeclare() {
	m.init()
	for id := range m.instances {
		m.dirty[id] = struct{}{}
	}
}

// evict removes the incarnations that have counted as ended for the retention time. Until then they can
// be reported to others as ended.
func (m *Merged) evict(now time.Time) {
	for k := range m.orphans {
		if now.Sub(k.orphanedSince) <= m.Grace+endedRetention {
			continue
		}
		m.touch(k)
		m.removeAddress(k)
		m.countVersion(k.newest, -1)
		delete(m.orphans, k)
		delete(m.unsettled, k)
		id := m.instances[k.newest.ID]
		i := slices.Index(id.incarnations, k)
		id.incarnations = slices.Delete(id.incarnations, i, i+1)
		if len(id.incarnations) == 0 {
			delete(m.instances, k.newest.ID)
		}
	}
}

// addAddress records the address of an incarnation.
func (m *Merged) addAddress(k *merged) {
	m.addresses[k.newest.Address] = append(m.addresses[k.newest.Address], k)
	m.touch(k)
}

// removeAddress removes an incarnation from its address.
func (m *Merged) removeAddress(k *merged) {
	m.touch(k)
	address := k.newest.Address
	at := slices.DeleteFunc(m.addresses[address], func(other *merged) bool { return other == k })
	m.addresses[address] = at
	if len(at) == 0 {
		delete(m.addresses, address)
	}
}

// owner returns the incarnation that owns an address. Ended incarnations are included: if one had the
// address after another, the other has ended too.
func (m *Merged) owner(address string) *merged {
	var owner *merged
	for _, k := range m.addresses[address] {
		if owner == nil || m.ownsAddressOver(k, owner) {
			owner = k
		}
	}
	return owner
}

// ownsAddressOver reports whether k, rather than other, owns the address that both reported.
func (m *Merged) ownsAddressOver(k, other *merged) bool {
	if m.Declared != nil {
		declared := m.Declared(k.newest.Service)
		if declared != m.Declared(other.newest.Service) {
			return declared
		}
	}
	return k.startedAfter(other)
}

// startedAfter reports whether k, at the same address as other, started after it. If a start is
// not reported or both are equal, the times at which they were first seen decide, which can be wrong after
// a late heartbeat of the older one.
func (k *merged) startedAfter(other *merged) bool {
	if k.newest.Start != 0 && other.newest.Start != 0 && k.newest.Start != other.newest.Start {
		return k.newest.Start > other.newest.Start
	}
	if k.firstSeen.Equal(other.firstSeen) {
		return k.order > other.order
	}
	return k.firstSeen.After(other.firstSeen)
}
