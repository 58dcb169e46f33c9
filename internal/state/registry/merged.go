package registry

import (
	"cmp"
	"slices"
	"time"
)

// Merged joins the reports of several registries. It is not safe for concurrent use.
type Merged struct {
	// Grace is how long an instance that no source vouches for any more is kept, so
	// that a source that came back empty makes nobody forget it.
	Grace time.Duration

	instances map[string]*merged
	// lives counts how often each source began anew.
	lives map[string]int
	// births counts the instances heard of so far.
	births int
}

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

// Take notes what one source reports.
func (m *Merged) Take(source string, reports []Report, now time.Time) {
	if m.instances == nil {
		m.instances = map[string]*merged{}
	}
	for _, r := range reports {
		k, ok := m.instances[r.ID]
		if !ok {
			m.births++
			k = &merged{newest: r.Instance, weights: map[string]*belief{}, first: now, order: m.births, sources: map[string]int{}, since: now}
			m.instances[r.ID] = k
		}
		if !r.First.IsZero() && r.First.Before(k.first) {
			k.first = r.First
		}
		k.learn(r.Instance)
		if r.Sequence > k.newest.Sequence {
			k.newest = r.Instance
		}
		k.left = k.left || r.Left
		if r.Silent || r.Left {
			// It was given several heartbeats already: no grace on top.
			k.drop(source, now.Add(-m.Grace))
			continue
		}
		k.sources[source] = m.lives[source]
	}
}

// Forget notes that a source knows nothing any more: it came back empty, or it is gone.
func (m *Merged) Forget(source string, now time.Time) {
	for _, k := range m.instances {
		k.drop(source, now)
	}
}

// Restart notes that a source began anew. What it vouched for before holds until
// ForgetEarlier, as it may take many calls to Take until it has told everything again.
func (m *Merged) Restart(source string) {
	if m.lives == nil {
		m.lives = map[string]int{}
	}
	m.lives[source]++
}

// ForgetEarlier notes that a source told everything since it began anew, so that what it does
// not vouch for again is gone.
func (m *Merged) ForgetEarlier(source string, now time.Time) {
	for _, k := range m.instances {
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
	k.newest.Told = Word{}
	for model, b := range k.weights {
		c := b.at(now)
		k.newest.Weights[model] = c.version
		if c.word.At.After(k.newest.Told.At) {
			k.newest.Told = c.word
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
// of their ids, and forgets those that nobody vouched for during Grace. An address belongs
// to the youngest incarnation: one that crashed says nothing, and its successor reports long
// before it counts as silent. The order in which they are heard of here says nothing: who
// starts late may hear of the successor first.
func (m *Merged) Live(now time.Time) []Instance {
	var out []Instance
	owners := m.owners()
	for id, k := range m.instances {
		unvouched := len(k.sources) == 0
		if unvouched && now.Sub(k.since) > max(m.Grace, leftFor) {
			delete(m.instances, id)
			continue
		}
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

// owners returns the youngest incarnation at each address.
func (m *Merged) owners() map[string]*merged {
	out := make(map[string]*merged, len(m.instances))
	for _, k := range m.instances {
		if other := out[k.newest.Address]; other == nil || k.younger(other) {
			out[k.newest.Address] = k
		}
	}
	return out
}

func (k *merged) younger(other *merged) bool {
	if k.first.Equal(other.first) {
		return k.order > other.order
	}
	return k.first.After(other.first)
}
