package registry

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Merged merges the reports of several registries, its sources. It is not safe for concurrent use. The
// work for a report does not depend on the number of instances.
type Merged struct {
	// Grace is how long an instance is kept after the last source stopped reporting it as alive, so
	// that a source that comes back without state does not remove it.
	Grace time.Duration
	// Declared, if set, reports whether a service is declared. An instance of an undeclared service does
	// not take over an address from an instance of a declared one. If its results change, Redeclare must
	// be called.
	Declared func(service string) bool
	// TrackChanges says that Changed is called.
	TrackChanges bool

	instances map[string]*known
	// addresses holds the incarnations that reported each address.
	addresses map[string][]*merged
	// sourceNumbers numbers the sources in the order in which they were first seen, and epochs counts
	// the restarts of each, by its number.
	sourceNumbers map[string]uint32
	epochs        []uint32
	// incarnationCount is the number of incarnations seen so far.
	incarnationCount int
	// orphans holds the incarnations that no source reports as alive, and unsettled those with a version
	// estimate that changes with time.
	orphans, unsettled map[*merged]struct{}
	// changed holds the ids whose report may have changed since the last call of Changed.
	changed map[string]struct{}
	// dirty holds the ids whose entry in live may have to change. live holds the instances in use of each
	// service, in the order of their ids; its slices are never modified.
	dirty map[string]struct{}
	live  map[string][]Instance
	// versions counts the incarnations by service and software version, and versionsChanged is true if a version has
	// come or gone since the last call of SoftwareVersions.
	versions        map[string]map[string]int
	versionsChanged bool
	// departures holds the incarnations in use of which a departure was learned since the last call of TakeDepartures.
	departures []Report
	shared     shared
}

// known is what is known of one id.
type known struct {
	// incarnations are in the order of their starts. All but the last have ended; they are retained for a
	// while, as their heartbeats may arrive late.
	incarnations []*merged
	// listed is the service whose list in Merged.live contains the id, or empty.
	listed string
}

// sourceEpoch is a source, by its number, and one of its epochs.
type sourceEpoch struct{ source, epoch uint32 }

// modelEstimate is the estimate of the version of one model's weights.
type modelEstimate struct {
	model string
	versionEstimate
}

// merged is the merged state of one incarnation. There is one for each instance in every process, so
// it holds slices where they take less memory than maps.
type merged struct {
	newest Instance
	// weights holds the estimate for each model; newest.Weights holds their results as of the last
	// call of resolveWeights.
	weights []modelEstimate
	// weightsStale is true while newest.Weights may differ from the estimates.
	weightsStale bool
	left         bool
	// departedAt is when a control instance first heard of the departure, or zero.
	departedAt time.Time
	// firstSeen is when any source first heard of the incarnation. order numbers the incarnations
	// in the order in which this process learned of them, to break ties of firstSeen.
	firstSeen time.Time
	order     int
	// sources holds the sources that report the incarnation as alive, each with its epoch at the last
	// such report. orphanedSince is when the last one stopped doing so.
	sources       []sourceEpoch
	orphanedSince time.Time
	// expired is true once the incarnation has been noted as silent.
	expired bool
}

func (m *Merged) init() {
	if m.instances != nil {
		return
	}
	m.instances = map[string]*known{}
	m.addresses = map[string][]*merged{}
	m.sourceNumbers = map[string]uint32{}
	m.orphans = map[*merged]struct{}{}
	m.unsettled = map[*merged]struct{}{}
	m.changed = map[string]struct{}{}
	m.dirty = map[string]struct{}{}
	m.live = map[string][]Instance{}
	m.versions = map[string]map[string]int{}
}

// Merge merges reports of one source.
func (m *Merged) Merge(source string, reports []Report, now time.Time) {
	m.init()
	from := m.currentEpoch(source)
	for _, r := range reports {
		r.Service, r.FailureDomain, r.SoftwareVersion = m.shared.name(r.Service), m.shared.name(r.FailureDomain), m.shared.name(r.SoftwareVersion)
		if r.Left && r.Start == 0 {
			m.endEarlier(r, now)
		}
		before := m.incarnationCount
		k := m.incarnationOf(r, now)
		wasInUse := before == m.incarnationCount && !k.left && !k.newest.Leaving
		for _, other := range m.instances[r.ID].incarnations {
			if other != k {
				// A source reports only one incarnation of an id as alive.
				m.dropSource(other, from.source, now)
			}
		}
		m.merge(k, from, r, now.Add(-m.Grace))
		if wasInUse && (k.left || k.newest.Leaving) {
			m.departures = append(m.departures, m.report(k, now))
		}
	}
}

// TakeDepartures returns the incarnations that were in use and of which a departure was learned since the last call.
func (m *Merged) TakeDepartures() []Report {
	out := m.departures
	m.departures = nil
	return out
}

// currentEpoch returns the number of a source and its current epoch.
func (m *Merged) currentEpoch(source string) sourceEpoch {
	m.init()
	number, ok := m.sourceNumbers[source]
	if !ok {
		number = uint32(len(m.epochs))
		m.sourceNumbers[source] = number
		m.epochs = append(m.epochs, 0)
	}
	return sourceEpoch{number, m.epochs[number]}
}

// incarnationOf returns the incarnation that a report describes, and adds it if it is new.
func (m *Merged) incarnationOf(r Report, now time.Time) *merged {
	id := m.instances[r.ID]
	if id == nil {
		id = &known{}
		m.instances[r.ID] = id
	}
	i, ok := slices.BinarySearchFunc(id.incarnations, r.Start, func(k *merged, s Start) int { return cmp.Compare(k.newest.Start, s) })
	if ok {
		return id.incarnations[i]
	}
	m.incarnationCount++
	k := &merged{newest: r.Instance, weightsStale: true, firstSeen: now, order: m.incarnationCount, orphanedSince: now}
	k.left = id.leftWithoutStart(r)
	id.incarnations = slices.Insert(id.incarnations, i, k)
	m.orphans[k] = struct{}{}
	m.addAddress(k)
	m.countVersion(k.newest, 1)
	return k
}

// leftWithoutStart reports whether the incarnation of a report was seen before a departure without a start, which ends it
// in whatever order the two become known.
func (id *known) leftWithoutStart(r Report) bool {
	if len(id.incarnations) == 0 || r.Start == 0 || r.FirstSeen.IsZero() {
		return false
	}
	departed := id.incarnations[0]
	return departed.newest.Start == 0 && departed.left && !r.FirstSeen.After(departed.firstSeen)
}

// endEarlier ends the incarnations of an id that were seen before it left without reporting a
// start.
func (m *Merged) endEarlier(left Report, now time.Time) {
	id := m.instances[left.ID]
	if id == nil {
		return
	}
	for _, k := range id.incarnations {
		if left.FirstSeen.IsZero() || !k.firstSeen.After(left.FirstSeen) {
			if !k.left && !k.newest.Leaving {
				m.departures = append(m.departures, Report{Instance: k.newest, Left: true, DepartedAt: left.DepartedAt})
			}
			k.left = true
			k.sources = nil
			k.orphanedSince = now.Add(-m.Grace)
			m.orphans[k] = struct{}{}
		}
	}
	m.touchID(left.ID)
}

// merge merges a report of a source in its current epoch into an incarnation. If the source reports the
// incarnation as silent or left, the source counts as having dropped it at droppedAt.
func (m *Merged) merge(k *merged, from sourceEpoch, r Report, droppedAt time.Time) {
	if !r.FirstSeen.IsZero() && r.FirstSeen.Before(k.firstSeen) {
		k.firstSeen = r.FirstSeen
		m.touchAddress(k.newest.Address)
	}
	m.addClaims(k, r.Instance)
	if r.Sequence > k.newest.Sequence {
		m.replaceNewest(k, r.Instance)
	}
	if r.Left && !k.left {
		k.left = true
		m.touch(k)
	}
	if k.departedAt.IsZero() || !r.DepartedAt.IsZero() && r.DepartedAt.Before(k.departedAt) {
		k.departedAt = r.DepartedAt
	}
	if r.Silent || r.Left {
		// The source has already waited for several heartbeats, so Grace is not added.
		m.dropSource(k, from.source, droppedAt)
		return
	}
	m.addSource(k, from)
}

// replaceNewest replaces the newest state of an incarnation, except for the weights, which follow from
// the estimates.
func (m *Merged) replaceNewest(k *merged, in Instance) {
	in.Weights, in.WeightsProvenance = k.newest.Weights, k.newest.WeightsProvenance
	m.countVersion(k.newest, -1)
	m.countVersion(in, 1)
	if in.Address != k.newest.Address || in.Service != k.newest.Service {
		m.removeAddress(k)
		k.newest = in
		m.addAddress(k)
		return
	}
	if !sameStatus(k.newest, in) {
		m.touch(k)
	}
	k.newest = in
}

// addSource records that a source reports an incarnation as alive.
func (m *Merged) addSource(k *merged, from sourceEpoch) {
	i := k.indexOf(from.source)
	if i >= 0 {
		k.sources[i] = from
		return
	}
	k.sources = append(k.sources, from)
	if len(k.sources) == 1 {
		delete(m.orphans, k)
		k.expired = false
		m.touch(k)
	}
}

// indexOf returns the index of a source in sources, or -1.
func (k *merged) indexOf(source uint32) int {
	return slices.IndexFunc(k.sources, func(s sourceEpoch) bool { return s.source == source })
}

func (m *Merged) dropSource(k *merged, source uint32, now time.Time) {
	i := k.indexOf(source)
	if i < 0 {
		return
	}
	k.sources = slices.Delete(k.sources, i, i+1)
	if len(k.sources) == 0 {
		k.orphanedSince = now
		m.orphans[k] = struct{}{}
	}
}

// all iterates over the incarnations in no particular order.
func (m *Merged) all() iter.Seq[*merged] {
	return func(yield func(*merged) bool) {
		for _, id := range m.instances {
			for _, k := range id.incarnations {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// DropSource drops all reports of a source that came back without state or is gone.
func (m *Merged) DropSource(source string, now time.Time) {
	number := m.currentEpoch(source).source
	for k := range m.all() {
		m.dropSource(k, number, now)
	}
}

// BeginResync notes that a source restarted. Its earlier reports hold until
// EndResync, as it may take many calls to Merge until it has sent all of them again.
func (m *Merged) BeginResync(source string) {
	m.epochs[m.currentEpoch(source).source]++
}

// EndResync notes that a source has sent all its reports since it restarted, and drops those that it
// did not repeat.
func (m *Merged) EndResync(source string, now time.Time) {
	current := m.currentEpoch(source)
	for k := range m.all() {
		i := k.indexOf(current.source)
		if i >= 0 && k.sources[i] != current {
			m.dropSource(k, current.source, now)
		}
	}
}

// addClaims merges the weights versions that a report contains into an incarnation.
func (m *Merged) addClaims(k *merged, in Instance) {
	for model := range in.Weights {
		c := in.claim(model)
		i := slices.IndexFunc(k.weights, func(e modelEstimate) bool { return e.model == model })
		if i < 0 {
			k.weights = append(k.weights, modelEstimate{m.shared.name(model), versionEstimate{current: c}})
			m.unsettle(k)
			continue
		}
		e := &k.weights[i]
		before := *e
		e.add(c)
		if e.current.version != before.current.version || e.downgrade != before.downgrade {
			m.unsettle(k)
		}
		k.weightsStale = true
	}
}

// unsettle notes that the weights of an incarnation may have changed.
func (m *Merged) unsettle(k *merged) {
	k.weightsStale = true
	m.unsettled[k] = struct{}{}
	m.touchID(k.newest.ID)
}

// resolveWeights updates the weights in an incarnation's newest state from the estimates.
func (m *Merged) resolveWeights(k *merged, now time.Time) {
	if !k.weightsStale {
		return
	}
	k.weightsStale = false
	k.newest.WeightsProvenance = Provenance{}
	for i := range k.weights {
		e := &k.weights[i]
		c := e.resolve(now)
		if c.provenance.At.After(k.newest.WeightsProvenance.At) {
			k.newest.WeightsProvenance = c.provenance
		}
		k.weightsStale = k.weightsStale || e.downgrade != nil
	}
	k.newest.Weights = m.shared.weights(k.weights)
}

// silent reports whether no source has reported an incarnation as alive within Grace.
func (m *Merged) silent(k *merged, now time.Time) bool {
	return len(k.sources) == 0 && now.Sub(k.orphanedSince) >= m.Grace
}

// Report returns the merged state of an id's latest incarnation, as one report of all sources
// together. ok is false if the id is not known.
func (m *Merged) Report(id string, now time.Time) (r Report, ok bool) {
	of := m.instances[id]
	if of == nil {
		return Report{}, false
	}
	return m.report(of.latest(), now), true
}

// report returns the merged state of an incarnation.
func (m *Merged) report(k *merged, now time.Time) Report {
	m.resolveWeights(k, now)
	return Report{Instance: k.newest, Silent: m.silent(k, now), Left: k.left, FirstSeen: k.firstSeen, DepartedAt: k.departedAt}
}

// latest returns the incarnation that started last.
func (id *known) latest() *merged { return id.incarnations[len(id.incarnations)-1] }

// Changed returns the ids whose Report may have changed since the last call, including those that are not
// known any more, and by the passage of time up to the last call of LiveByService.
func (m *Merged) Changed() []string {
	m.init()
	ids := slices.Collect(maps.Keys(m.changed))
	clear(m.changed)
	return ids
}
