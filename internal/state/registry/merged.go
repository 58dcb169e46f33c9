package registry

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Merged joins the reports of several registries. It is not safe for concurrent use.
type Merged struct {
	// Grace is how long an instance that no source vouches for any more is kept, so
	// that a source that came back empty makes nobody forget it.
	Grace time.Duration
	// Declared, when set, says which services there are. An instance of another one takes no
	// address from theirs.
	Declared func(service string) bool

	// instances holds the incarnations of each id, the latest start last. Those before it are
	// over; they are remembered for a while, as what they said may come late.
	instances map[string][]*merged
	// lives counts how often each source began anew.
	lives map[string]int
	// births counts the incarnations heard of so far.
	births int
}

// merged is one incarnation as several sources know it.
type merged struct {
	newest Instance
	// weights holds what is believed of each model; newest has it as of the last call of Live.
	weights map[string]*belief
	// unsettled is true while the weights of newest may not be what is believed.
	unsettled bool
	left      bool
	// first is when any source first heard of the instance, and order numbers the instances
	// as they came here, to tell those of the same time apart.
	first time.Time
	order int
	// sources vouch for the instance, each with its life in which it last did; since is when
	// the last one ceased to.
	sources map[string]int
	since   time.Time
}

// Merge notes what one source reports.
func (m *Merged) Merge(source string, reports []Report, now time.Time) {
	if m.instances == nil {
		m.instances = map[string][]*merged{}
	}
	for _, r := range reports {
		if r.Left && r.Start == 0 {
			m.endBefore(r, now)
		}
		k := m.incarnation(r, now)
		for _, other := range m.instances[r.ID] {
			if other != k {
				// A source vouches for one incarnation of an id.
				other.drop(source, now)
			}
		}
		k.take(source, m.lives[source], r, now.Add(-m.Grace))
	}
}

// incarnation returns the incarnation of a report.
func (m *Merged) incarnation(r Report, now time.Time) *merged {
	of := m.instances[r.ID]
	i, ok := slices.BinarySearchFunc(of, r.Start, func(k *merged, s Start) int { return cmp.Compare(k.newest.Start, s) })
	if ok {
		return of[i]
	}
	m.births++
	k := &merged{newest: r.Instance, weights: map[string]*belief{}, first: now, order: m.births, sources: map[string]int{}, since: now}
	m.instances[r.ID] = slices.Insert(of, i, k)
	return k
}

// endBefore ends the incarnations of an id that were heard of before it left without a word of
// its start.
func (m *Merged) endBefore(left Report, now time.Time) {
	for _, k := range m.instances[left.ID] {
		if left.FirstSeen.IsZero() || !k.first.After(left.FirstSeen) {
			k.left = true
			clear(k.sources)
			k.since = now.Add(-m.Grace)
		}
	}
}

// take notes what a source reports in one of its lives; gone is since when an instance that it
// calls silent or gone is not vouched for.
func (k *merged) take(source string, life int, r Report, gone time.Time) {
	if !r.FirstSeen.IsZero() && r.FirstSeen.Before(k.first) {
		k.first = r.FirstSeen
	}
	k.learn(r.Instance)
	if r.Sequence > k.newest.Sequence {
		k.newest = r.Instance
	}
	k.left = k.left || r.Left
	if r.Silent || r.Left {
		// It was given several heartbeats already: no grace on top.
		k.drop(source, gone)
		return
	}
	k.sources[source] = life
}

// all lists the incarnations.
func (m *Merged) all() iter.Seq[*merged] {
	return func(yield func(*merged) bool) {
		for _, of := range m.instances {
			for _, k := range of {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// DropSource notes that a source knows nothing any more: it came back empty, or it is gone.
func (m *Merged) DropSource(source string, now time.Time) {
	for k := range m.all() {
		k.drop(source, now)
	}
}

// BeginResync notes that a source began anew. What it vouched for before holds until
// EndResync, as it may take many calls to Merge until it has told everything again.
func (m *Merged) BeginResync(source string) {
	if m.lives == nil {
		m.lives = map[string]int{}
	}
	m.lives[source]++
}

// EndResync notes that a source told everything since it began anew, so that what it does
// not vouch for again is gone.
func (m *Merged) EndResync(source string, now time.Time) {
	for k := range m.all() {
		if k.sources[source] != m.lives[source] {
			k.drop(source, now)
		}
	}
}

// learn takes what a source says of the weights.
func (k *merged) learn(in Instance) {
	k.unsettled = true
	for model := range in.Weights {
		c := in.claim(model)
		if known := k.weights[model]; known != nil {
			known.take(c)
			continue
		}
		k.weights[model] = &belief{held: c}
	}
}

// believe puts what is believed of the weights into newest.
func (k *merged) believe(now time.Time) {
	if !k.unsettled {
		return
	}
	k.unsettled = false
	k.newest.Weights = make(map[string]uint64, len(k.weights))
	k.newest.WeightsProvenance = Provenance{}
	for model, b := range k.weights {
		c := b.at(now)
		k.newest.Weights[model] = c.version
		if c.word.At.After(k.newest.WeightsProvenance.At) {
			k.newest.WeightsProvenance = c.word
		}
		k.unsettled = k.unsettled || b.doubt != nil
	}
}

func (k *merged) drop(source string, now time.Time) {
	if _, ok := k.sources[source]; !ok {
		return
	}
	delete(k.sources, source)
	if len(k.sources) == 0 {
		k.since = now
	}
}

// Live returns the instances that are neither gone nor leaving nor left, in the order
// of their ids, and forgets those that nobody vouched for during Grace. Of an id only the latest
// start counts, also after it has gone: a heartbeat of an earlier one may come late. An address
// belongs to the youngest incarnation: one that crashed says nothing, and its successor reports
// long before it counts as silent. The order in which they are heard of here says nothing: who
// starts late may hear of the successor first.
func (m *Merged) Live(now time.Time) []Instance {
	m.forget(now)
	var out []Instance
	owners := m.owners()
	for _, of := range m.instances {
		k := of[len(of)-1]
		unvouched := len(k.sources) == 0
		if k.left || k.newest.Leaving || k.newest.Address == "" || unvouched && now.Sub(k.since) >= m.Grace {
			continue
		}
		if owners[k.newest.Address] != k {
			continue
		}
		k.believe(now)
		out = append(out, k.newest)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// forget drops the incarnations that nobody vouched for lately.
func (m *Merged) forget(now time.Time) {
	for id, of := range m.instances {
		of = slices.DeleteFunc(of, func(k *merged) bool {
			return len(k.sources) == 0 && now.Sub(k.since) > max(m.Grace, leftFor)
		})
		m.instances[id] = of
		if len(of) == 0 {
			delete(m.instances, id)
		}
	}
}

// owners returns the youngest incarnation at each address. One that has ended counts as well: if
// it had the address after another one, that one is gone too.
func (m *Merged) owners() map[string]*merged {
	out := make(map[string]*merged, len(m.instances))
	for k := range m.all() {
		if other := out[k.newest.Address]; other == nil || m.owns(k, other) {
			out[k.newest.Address] = k
		}
	}
	return out
}

// owns reports whether an incarnation has an address rather than another one that told it.
func (m *Merged) owns(k, other *merged) bool {
	if m.Declared != nil {
		declared := m.Declared(k.newest.Service)
		if declared != m.Declared(other.newest.Service) {
			return declared
		}
	}
	return k.younger(other)
}

// younger compares two incarnations at one address by their starts, and where these are not
// told by when they were first heard of, which a late heartbeat of the older one may mislead.
func (k *merged) younger(other *merged) bool {
	if k.newest.Start != 0 && other.newest.Start != 0 && k.newest.Start != other.newest.Start {
		return k.newest.Start > other.newest.Start
	}
	if k.first.Equal(other.first) {
		return k.order > other.order
	}
	return k.first.After(other.first)
}
