package registry

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Merged merges the reports of several registries, its sources. It is not safe for concurrent use.
type Merged struct {
	// Grace is how long an instance is kept after the last source stopped reporting it as alive, so
	// that a source that comes back without state does not remove it.
	Grace time.Duration
	// Declared, if set, reports whether a service is declared. An instance of an undeclared service does
	// not take over an address from an instance of a declared one.
	Declared func(service string) bool

	// instances holds the incarnations of each id, the latest start last. The earlier ones
	// have ended; they are retained for a while, as their heartbeats may arrive late.
	instances map[string][]*merged
	// epochs counts the restarts of each source.
	epochs map[string]int
	// incarnationCount is the number of incarnations seen so far.
	incarnationCount int
}

// merged is the merged state of one incarnation.
type merged struct {
	newest Instance
	// weights holds the estimate for each model; newest.Weights holds their results as of the last
	// call of Live.
	weights map[string]*versionEstimate
	// weightsStale is true while newest.Weights may differ from the estimates.
	weightsStale bool
	left         bool
	// firstSeen is when any source first heard of the incarnation. order numbers the incarnations
	// in the order in which this process learned of them, to break ties of firstSeen.
	firstSeen time.Time
	order     int
	// sources holds the sources that report the incarnation as alive, each with its epoch at the last
	// such report. orphanedSince is when the last one stopped doing so.
	sources       map[string]int
	orphanedSince time.Time
}

// Merge merges reports of one source.
func (m *Merged) Merge(source string, reports []Report, now time.Time) {
	if m.instances == nil {
		m.instances = map[string][]*merged{}
	}
	for _, r := range reports {
		if r.Left && r.Start == 0 {
			m.endEarlier(r, now)
		}
		k := m.incarnationOf(r, now)
		for _, other := range m.instances[r.ID] {
			if other != k {
				// A source reports only one incarnation of an id as alive.
				other.dropSource(source, now)
			}
		}
		k.merge(source, m.epochs[source], r, now.Add(-m.Grace))
	}
}

// incarnationOf returns the incarnation that a report describes, and adds it if it is new.
func (m *Merged) incarnationOf(r Report, now time.Time) *merged {
	known := m.instances[r.ID]
	i, ok := slices.BinarySearchFunc(known, r.Start, func(k *merged, s Start) int { return cmp.Compare(k.newest.Start, s) })
	if ok {
		return known[i]
	}
	m.incarnationCount++
	k := &merged{newest: r.Instance, weights: map[string]*versionEstimate{}, firstSeen: now, order: m.incarnationCount, sources: map[string]int{}, orphanedSince: now}
	m.instances[r.ID] = slices.Insert(known, i, k)
	return k
}

// endEarlier ends the incarnations of an id that were seen before it left without reporting a
// start.
func (m *Merged) endEarlier(left Report, now time.Time) {
	for _, k := range m.instances[left.ID] {
		if left.FirstSeen.IsZero() || !k.firstSeen.After(left.FirstSeen) {
			k.left = true
			clear(k.sources)
			k.orphanedSince = now.Add(-m.Grace)
		}
	}
}

// merge merges a report of a source in one of its epochs. If the source reports the incarnation as
// silent or left, the source counts as having dropped it at droppedAt.
func (k *merged) merge(source string, epoch int, r Report, droppedAt time.Time) {
	if !r.FirstSeen.IsZero() && r.FirstSeen.Before(k.firstSeen) {
		k.firstSeen = r.FirstSeen
	}
	k.addClaims(r.Instance)
	if r.Sequence > k.newest.Sequence {
		k.newest = r.Instance
	}
	k.left = k.left || r.Left
	if r.Silent || r.Left {
		// The source has already waited for several heartbeats, so Grace is not added.
		k.dropSource(source, droppedAt)
		return
	}
	k.sources[source] = epoch
}

// all iterates over the incarnations in no particular order.
func (m *Merged) all() iter.Seq[*merged] {
	return func(yield func(*merged) bool) {
		for _, incarnations := range m.instances {
			for _, k := range incarnations {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// DropSource drops all reports of a source that came back without state or is gone.
func (m *Merged) DropSource(source string, now time.Time) {
	for k := range m.all() {
		k.dropSource(source, now)
	}
}

// BeginResync notes that a source restarted. Its earlier reports hold until
// EndResync, as it may take many calls to Merge until it has sent all of them again.
func (m *Merged) BeginResync(source string) {
	if m.epochs == nil {
		m.epochs = map[string]int{}
	}
	m.epochs[source]++
}

// EndResync notes that a source has sent all its reports since it restarted, and drops those that it
// did not repeat.
func (m *Merged) EndResync(source string, now time.Time) {
	for k := range m.all() {
		if k.sources[source] != m.epochs[source] {
			k.dropSource(source, now)
		}
	}
}

// addClaims merges the weights versions that a report contains.
func (k *merged) addClaims(in Instance) {
	k.weightsStale = true
	for model := range in.Weights {
		c := in.claim(model)
		if known := k.weights[model]; known != nil {
			known.add(c)
			continue
		}
		k.weights[model] = &versionEstimate{current: c}
	}
}

// resolveWeights updates the weights in newest from the estimates.
func (k *merged) resolveWeights(now time.Time) {
	if !k.weightsStale {
		return
	}
	k.weightsStale = false
	k.newest.Weights = make(map[string]uint64, len(k.weights))
	k.newest.WeightsProvenance = Provenance{}
	for model, b := range k.weights {
		c := b.resolve(now)
		k.newest.Weights[model] = c.version
		if c.provenance.At.After(k.newest.WeightsProvenance.At) {
			k.newest.WeightsProvenance = c.provenance
		}
		k.weightsStale = k.weightsStale || b.downgrade != nil
	}
}

func (k *merged) dropSource(source string, now time.Time) {
	if _, ok := k.sources[source]; !ok {
		return
	}
	delete(k.sources, source)
	if len(k.sources) == 0 {
		k.orphanedSince = now
	}
}

// Live returns the instances that are neither leaving nor left and that a source has reported as alive
// within Grace, in the order of their ids. It evicts the others after the retention time.
//
// Of an id only the latest start counts, even after it has gone, as a heartbeat of an earlier one may arrive late. An address
// belongs to the incarnation that started last: a crashed incarnation does not sign off, and its successor
// reports long before it counts as silent. The order in which this process learns of them is not used: a
// process that starts late may learn of the successor first.
func (m *Merged) Live(now time.Time) []Instance {
	m.evict(now)
	var out []Instance
	owners := m.addressOwners()
	for _, incarnations := range m.instances {
		k := incarnations[len(incarnations)-1]
		orphaned := len(k.sources) == 0
		if k.left || k.newest.Leaving || k.newest.Address == "" || orphaned && now.Sub(k.orphanedSince) >= m.Grace {
			continue
		}
		if owners[k.newest.Address] != k {
			continue
		}
		k.resolveWeights(now)
		out = append(out, k.newest)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// evict removes the incarnations that no source has reported as alive within the retention time.
func (m *Merged) evict(now time.Time) {
	for id, incarnations := range m.instances {
		incarnations = slices.DeleteFunc(incarnations, func(k *merged) bool {
			return len(k.sources) == 0 && now.Sub(k.orphanedSince) > max(m.Grace, endedRetention)
		})
		m.instances[id] = incarnations
		if len(incarnations) == 0 {
			delete(m.instances, id)
		}
	}
}

// addressOwners returns the incarnation that owns each address. Ended incarnations are included: if
// one had the address after another, the other has ended too.
func (m *Merged) addressOwners() map[string]*merged {
	out := make(map[string]*merged, len(m.instances))
	for k := range m.all() {
		if other := out[k.newest.Address]; other == nil || m.ownsAddressOver(k, other) {
			out[k.newest.Address] = k
		}
	}
	return out
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
