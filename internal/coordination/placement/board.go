// Package placement holds what one entry knows of upstreams, stores and kept
// context, and makes each prompt's plan from it: where it runs, what is fetched
// first, and what is kept afterwards.
//
// It joins the directory's hints with the routing estimate. It is a pure state
// machine and not safe for concurrent use.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/routing"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// store is what the board knows of one store instance.
type store struct {
	name, address string
	linkRate      float64
	near          bool
	declared      bool
	// transfers counts the fetches that callers wait for now.
	transfers int
	// copies counts background copies now.
	copies int
	// incarnations lists the blank starts seen, oldest first.
	incarnations []string
	// observed is the rate of late fetches in bytes a second, as of observedAt; 0
	// before the first.
	observed   float64
	observedAt time.Time
	// fullUntil is when a store that had no space may be tried again.
	fullUntil time.Time
}

// Planner is the state. Make one with New.
type Planner struct {
	domain string
	// upstreams and names have the same length; a number once given to an
	// upstream stays its own, so that hints keep their meaning.
	upstreams []routing.Upstream
	names     []string
	addresses []string
	numbers   map[string]int
	stores    []store
	directory *directory.Directory
	found     directory.Found
	// teams numbers the teams whose contexts were noted, and shares holds their declared
	// shares by number.
	teams  map[string]uint16
	shares []float64
	// retentions holds what was learned for each model.
	retentions map[string]*retention
	// scores is as long as upstreams; it saves an allocation for each decision.
	scores  []float64
	weights routing.Weights
	random  *rand.Rand
	// superseded holds, for each model, the weight version declared before the one in force.
	superseded map[string]string
	// postponed holds copies that wait for their store's link, oldest first, at
	// most maxPostponed.
	postponed []PostponedCopy
}

// New returns a board for an entry in a failure domain.
func New(domain string, contexts int, seed uint64) *Planner {
	return &Planner{
		domain:     domain,
		numbers:    map[string]int{},
		teams:      map[string]uint16{},
		retentions: map[string]*retention{},
		directory:  directory.New(contexts),
		random:     rand.New(rand.NewPCG(seed, 0xb0a2d)),
	}
}

// ApplyDeclared makes the board agree with the declared state. Only upstreams and stores of
// the entry's own region are used.
func (b *Planner) ApplyDeclared(s *declared.State) {
	b.superseded = s.AllSuperseded()
	b.weights = routing.Weights{FirstToken: s.Control().FirstTokenWeight(), Recompute: s.Control().RecomputeWeight()}
	present := map[string]bool{}
	for _, u := range s.UpstreamsNear(b.domain) {
		present[u.Name()] = true
		b.declareUpstream(u, s.Evacuated(u.FailureDomain()))
	}
	for i, name := range b.names {
		if !present[name] {
			b.upstreams[i].NoteLeaving(true)
			b.upstreams[i].Model = ""
		}
	}
	b.declareStores(s)
	b.declareTeams(s)
}

func (b *Planner) declareUpstream(u declared.Upstream, evacuated bool) {
	n, ok := b.numbers[u.Name()]
	if !ok {
		n = len(b.names)
		b.numbers[u.Name()] = n
		b.names = append(b.names, u.Name())
		b.addresses = append(b.addresses, "")
		b.upstreams = append(b.upstreams, routing.Upstream{})
		b.scores = append(b.scores, 0)
	}
	known := &b.upstreams[n]
	if b.addresses[n] != u.Address() {
		b.addresses[n] = u.Address()
		known.Version = ""
		known.ClearBackoff()
		b.directory.ForgetUpstream(n)
	}
	known.Slots = u.Slots()
	known.PrefillRate = u.PrefillRate()
	known.LinkRate = u.LinkRate()
	known.Model = u.Model()
	known.SameDomain = u.FailureDomain() == b.domain
	known.NoteLeaving(u.Leaving() || evacuated)
}

func (b *Planner) declareStores(state *declared.State) {
	for i := range b.stores {
		b.stores[i].declared = false
	}
	for _, s := range state.Stores() {
		if !state.SameRegion(s.FailureDomain(), b.domain) {
			continue
		}
		n := b.storeNumber(s.Address())
		known := &b.stores[n]
		known.name = s.Name()
		known.linkRate = s.LinkRate()
		known.near = s.FailureDomain() == b.domain
		known.declared = true
	}
}

func (b *Planner) storeNumber(address string) int {
	for i, s := range b.stores {
		if s.address == address {
			return i
		}
	}
	b.stores = append(b.stores, store{address: address})
	return len(b.stores) - 1
}

// Upstream returns an upstream by number, to note what happened there.
func (b *Planner) Upstream(n int) *routing.Upstream { return &b.upstreams[n] }

// UpstreamNumber returns the number of an upstream.
func (b *Planner) UpstreamNumber(name string) (int, bool) {
	n, ok := b.numbers[name]
	return n, ok
}

// UpstreamCount returns how many upstreams have ever been declared.
func (b *Planner) UpstreamCount() int { return len(b.upstreams) }

// Name returns an upstream's name.
func (b *Planner) Name(n int) string { return b.names[n] }

// Address returns an upstream's "ip:port".
func (b *Planner) Address(n int) string { return b.addresses[n] }

// Directory returns the board's directory.
func (b *Planner) Directory() *directory.Directory { return b.directory }

// Weights returns the deployment's declared weights.
func (b *Planner) Weights() routing.Weights { return b.weights }

// ServingVersion returns the weight version under which a new prompt should run: the
// one in force as soon as enough upstreams serve it, and until then the one before it, if more
// upstreams serve that. What upstreams serve besides these two was not declared, or no longer
// is, and nothing runs on it, whoever else is known. Only upstreams that may take the prompt
// count: not those that leave, rest, are ejected or were tried. While a rollout goes on both are served, each to its own
// prompts; their kept contexts never meet, because the version is part of every key.
func (b *Planner) ServingVersion(m declared.Model, tried []int, now time.Time) string {
	wanted := m.WeightVersion()
	before, ok := b.superseded[m.Name()]
	if !ok {
		return wanted
	}
	counts := map[string]int{}
	for i := range b.upstreams {
		u := &b.upstreams[i]
		if u.Model == m.Name() && u.Version != "" && !u.Leaving() && !u.Ejected(now) && !u.InBackoff(now) && !slices.Contains(tried, i) {
			counts[u.Version]++
		}
	}
	enough := m.MinServing() > 0 && counts[wanted] >= m.MinServing()
	if counts[wanted] >= counts[before] || enough {
		return wanted
	}
	return before
}

// Prompt is a request to be placed.
type Prompt struct {
	Model   declared.Model
	Version string
	Keys    []prefix.Key
	// Tokens is the length of the prompt.
	Tokens int
	// Tried lists the upstreams that have been tried.
	Tried []int
	// Hints is what the owner of the prompt's part of the directory knows; when
	// nil, this board's own directory is asked.
	Hints *Hints
}

// Plan says where a prompt runs. It is a plain value.
type Plan struct {
	routing.Plan
	// Name and Address are those of the upstream.
	Name, Address string
	// Store, Refs and FetchBlocks say what to fetch first, when Fetch is true.
	Store       string
	Refs        []StoredObject
	FetchBlocks int
	// Cached is how many leading blocks the upstream is thought to have, as was last
	// known at CachedUsed, in seconds.
	Cached     int
	CachedUsed uint32
	// Kept is how many leading blocks the store at KeptAt is thought to hold.
	Kept   int
	KeptAt string
}

// Place makes the plan for a prompt; ok is false when no upstream may run it.
func (b *Planner) Place(p Prompt, now time.Time) (Plan, bool) {
	if p.Hints != nil {
		b.take(p.Hints)
	} else {
		b.directory.Match(p.Keys, len(b.upstreams), &b.found)
	}
	b.distrust(now)
	stored, rate, storeNumber := b.fetchable(now)
	q := routing.Prompt{
		Model:         p.Model.Name(),
		Version:       p.Version,
		Tokens:        p.Tokens,
		Cached:        b.found.Cached,
		BlockTokens:   prefix.BlockTokens,
		Stored:        stored * prefix.BlockTokens,
		BytesPerToken: float64(p.Model.BytesPerToken()),
		StoreRate:     rate,
		Weights:       b.weights,
		Tried:         p.Tried,
		Random:        b.random.Uint64(),
		Scores:        b.scores[:len(b.upstreams)],
	}
	plan, ok := routing.Choose(b.upstreams, &q, now)
	if !ok {
		return Plan{}, false
	}
	out := Plan{Plan: plan, Name: b.names[plan.Upstream], Address: b.addresses[plan.Upstream]}
	out.Cached = int(b.found.Cached[plan.Upstream])
	out.CachedUsed = b.found.Used[plan.Upstream]
	out.Kept = stored
	if stored > 0 {
		out.KeptAt = b.stores[storeNumber].address
	}
	if plan.Fetch {
		out.Store = b.stores[storeNumber].address
		out.FetchBlocks = stored
		out.Refs = b.refs()
	}
	return out, true
}

// BackoffRemaining returns for how long the first of the upstreams that rest still does, when a prompt finds none
// for that reason.
func (b *Planner) BackoffRemaining(p Prompt, now time.Time) (left time.Duration, ok bool) {
	q := routing.Prompt{Model: p.Model.Name(), Version: p.Version, Tried: p.Tried}
	return routing.BackoffRemaining(b.upstreams, &q, now)
}

// fetchable returns how many leading blocks one store holds, and the bandwidth a
// fetch would get there now.
func (b *Planner) fetchable(now time.Time) (blocks int, rate float64, storeNumber int) {
	if b.found.Stored == 0 {
		return 0, 0, 0
	}
	storeNumber = int(b.found.Objects[0].Store) - 1
	for _, o := range b.found.Objects {
		if int(o.Store)-1 != storeNumber {
			return 0, 0, 0
		}
	}
	s := &b.stores[storeNumber]
	if !s.declared {
		return 0, 0, 0
	}
	return b.found.Stored, s.rate(now) / float64(s.transfers+1), storeNumber
}

func (b *Planner) refs() []StoredObject {
	var refs []StoredObject
	for i, o := range b.found.Objects {
		refs = append(refs, *b.kept(o, int(b.found.Ends[i])))
	}
	return refs
}

// BeginFetch counts a fetch that a caller waits for.
func (b *Planner) BeginFetch(address string) { b.stores[b.storeNumber(address)].transfers++ }

// FetchResult says how a fetch ended. It is a plain value.
type FetchResult struct {
	// Blocks is how many arrived, and Took how long that was.
	Blocks int
	Took   time.Duration
	// Bytes went over the link; when the fetch was given up, it is what should have
	// gone in that time.
	Bytes int64
	// Aborted says that time ran out, which tells nothing about the objects.
	Aborted bool
}

// EndFetch ends a fetch of a plan's objects; keys are the prompt's. The plan then says what the store really
// holds. The notes that are returned drop the hints to objects that were refused.
func (b *Planner) EndFetch(p *Plan, keys []prefix.Key, f FetchResult, now time.Time) []Note {
	s := &b.stores[b.storeNumber(p.Store)]
	s.transfers--
	s.observe(f.Bytes, f.Took, now)
	if f.Aborted {
		return nil
	}
	var notes []Note
	kept := 0
	for _, ref := range p.Refs {
		if ref.End <= f.Blocks {
			kept = ref.End
			continue
		}
		notes = append(notes, Note{Key: keys[ref.End-1], Refused: true})
	}
	p.Kept = kept
	return notes
}

const (
	// observedLifetime is how long a measured rate stands before it is doubted: it
	// doubles each such time, until the declared rate is reached.
	observedLifetime = time.Minute
	// minObservedBytes is the shortest fetch that says anything about a link.
	minObservedBytes = 1 << 20
	// observedWeight is the weight of a new measurement.
	observedWeight = 0.3
)

// observe takes the rate of a fetch: what the link had left for it, whoever else
// used it.
func (s *store) observe(bytes int64, took time.Duration, now time.Time) {
	if bytes < minObservedBytes || took <= 0 {
		return
	}
	rate := float64(bytes) / took.Seconds()
	before := s.rate(now)
	s.observed = before + observedWeight*(rate-before)
	s.observedAt = now
}

// rate is what a fetch is expected to get from the link, in bytes a second.
func (s *store) rate(now time.Time) float64 {
	if s.observed == 0 {
		return s.linkRate
	}
	age := now.Sub(s.observedAt).Seconds() / observedLifetime.Seconds()
	return min(s.linkRate, s.observed*math.Exp2(age))
}
