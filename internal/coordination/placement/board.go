// Package placement holds the state that one entry has about upstreams, stores and stored KV cache,
// and plans each prompt with it: where it runs, what is fetched first, and what is stored
// afterwards.
//
// It combines the directory's hints with the routing estimate. It is a pure state machine and not
// safe for concurrent use.
//
// A context is the KV cache of a prompt's prefix, in whole blocks.
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

// store is the planner's state of one store instance.
type store struct {
	name, address string
	linkRate      float64
	sameDomain    bool
	declared      bool
	// activeFetches counts the fetches in flight that callers wait for.
	activeFetches int
	// activeCopies counts the background copies in flight.
	activeCopies int
	// incarnations lists the store's incarnations that were seen, oldest first. Each of them
	// started empty.
	incarnations []string
	// observedRate is the moving average of the rate of recent fetches in bytes per second, as of
	// observedAt; 0 before the first.
	observedRate float64
	observedAt   time.Time
	// fullUntil is when a store that had no space may be tried again.
	fullUntil time.Time
}

// Planner holds the state of one entry. Make one with New.
type Planner struct {
	domain string
	// upstreams and names have the same length. The number of an upstream is never reused, so that
	// hints stay valid.
	upstreams []routing.Upstream
	names     []string
	addresses []string
	numbers   map[string]int
	stores    []store
	directory *directory.Directory
	found     directory.MatchResult
	// teams assigns numbers to the teams that have contexts in the directory, and shares holds
	// their declared shares by number.
	teams  map[string]uint16
	shares []float64
	// retentions holds the learned retention for each model.
	retentions map[string]*retention
	// scores has the length of upstreams; reusing it saves an allocation per decision.
	scores  []float64
	weights routing.Weights
	random  *rand.Rand
	// superseded holds, for each model, the weight version that was declared before the current
	// one.
	superseded map[string]string
	// postponed holds copies that wait for their store's link, oldest first, at most maxPostponed
	// of them.
	postponed []PostponedCopy
}

// New returns a planner for an entry in a failure domain.
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

// ApplyDeclared updates the planner to the declared state. Only upstreams and stores of the entry's
// own region are used.
func (pl *Planner) ApplyDeclared(s *declared.State) {
	pl.superseded = s.SupersededVersions()
	pl.weights = routing.Weights{FirstToken: s.Control().FirstTokenWeight(), Recompute: s.Control().RecomputeWeight()}
	present := map[string]bool{}
	for _, u := range s.UpstreamsInRegionOf(pl.domain) {
		present[u.Name()] = true
		pl.applyUpstream(u, s.Evacuated(u.FailureDomain()))
	}
	for i, name := range pl.names {
		if !present[name] {
			pl.upstreams[i].NoteLeaving(true)
			pl.upstreams[i].Model = ""
		}
	}
	pl.applyStores(s)
	pl.applyTeams(s)
}

func (pl *Planner) applyUpstream(u declared.Upstream, evacuated bool) {
	n, ok := pl.numbers[u.Name()]
	if !ok {
		n = len(pl.names)
		pl.numbers[u.Name()] = n
		pl.names = append(pl.names, u.Name())
		pl.addresses = append(pl.addresses, "")
		pl.upstreams = append(pl.upstreams, routing.Upstream{})
		pl.scores = append(pl.scores, 0)
	}
	known := &pl.upstreams[n]
	if pl.addresses[n] != u.Address() {
		pl.addresses[n] = u.Address()
		known.Version = ""
		known.ClearBackoff()
		pl.directory.DropUpstream(n)
	}
	known.Slots = u.Slots()
	known.PrefillRate = u.PrefillRate()
	known.LinkRate = u.LinkRate()
	known.Model = u.Model()
	known.SameDomain = u.FailureDomain() == pl.domain
	known.NoteLeaving(u.Leaving() || evacuated)
}

func (pl *Planner) applyStores(state *declared.State) {
	for i := range pl.stores {
		pl.stores[i].declared = false
	}
	for _, s := range state.Stores() {
		if !state.SameRegion(s.FailureDomain(), pl.domain) {
			continue
		}
		n := pl.storeNumber(s.Address())
		known := &pl.stores[n]
		known.name = s.Name()
		known.linkRate = s.LinkRate()
		known.sameDomain = s.FailureDomain() == pl.domain
		known.declared = true
	}
}

func (pl *Planner) storeNumber(address string) int {
	for i, s := range pl.stores {
		if s.address == address {
			return i
		}
	}
	pl.stores = append(pl.stores, store{address: address})
	return len(pl.stores) - 1
}

// Upstream returns the upstream with the given number, to record events of its runs.
func (pl *Planner) Upstream(n int) *routing.Upstream { return &pl.upstreams[n] }

// UpstreamNumber returns the number of an upstream.
func (pl *Planner) UpstreamNumber(name string) (int, bool) {
	n, ok := pl.numbers[name]
	return n, ok
}

// UpstreamCount returns how many upstreams have ever been declared.
func (pl *Planner) UpstreamCount() int { return len(pl.upstreams) }

// Name returns an upstream's name.
func (pl *Planner) Name(n int) string { return pl.names[n] }

// Address returns an upstream's "ip:port".
func (pl *Planner) Address(n int) string { return pl.addresses[n] }

// Directory returns the planner's directory.
func (pl *Planner) Directory() *directory.Directory { return pl.directory }

// Weights returns the deployment's declared weights.
func (pl *Planner) Weights() routing.Weights { return pl.weights }

// ServingVersion returns the weight version under which a new prompt should run. That is the
// current version once enough upstreams serve it, and the previous one until then, if more
// upstreams serve that. Any other version that upstreams serve is not declared, or no longer is,
// and is never used, even if no other version is known. Only upstreams that may take the prompt
// count: not those that are leaving, in backoff, ejected or already tried. During a rollout both
// versions are served, each to its own prompts; their contexts never mix, because the version is
// part of every key.
func (pl *Planner) ServingVersion(m declared.Model, tried []int, now time.Time) string {
	current := m.WeightVersion()
	previous, ok := pl.superseded[m.Name()]
	if !ok {
		return current
	}
	counts := map[string]int{}
	for i := range pl.upstreams {
		u := &pl.upstreams[i]
		if u.Model == m.Name() && u.Version != "" && !u.Leaving() && !u.Ejected(now) && !u.InBackoff(now) && !slices.Contains(tried, i) {
			counts[u.Version]++
		}
	}
	enough := m.MinServing() > 0 && counts[current] >= m.MinServing()
	if counts[current] >= counts[previous] || enough {
		return current
	}
	return previous
}

// Prompt is a request to be placed.
type Prompt struct {
	Model   declared.Model
	Version string
	Keys    []prefix.Key
	// Tokens is the length of the prompt.
	Tokens int
	// Tried lists the upstreams that were already tried.
	Tried []int
	// Hints are the hints of the entry that owns the prompt's partition of the directory; if nil,
	// this planner's own directory is used.
	Hints *Hints
}

// Plan is the placement of a prompt. It is a plain value.
type Plan struct {
	routing.Plan
	// Name and Address are those of the upstream.
	Name, Address string
	// Store, Refs and FetchBlocks describe the fetch that precedes the run, if Fetch is true.
	Store       string
	Refs        []StoredObject
	FetchBlocks int
	// Cached is how many leading blocks the upstream is expected to have in its cache, according to
	// information from CachedAsOf, in seconds since 1970.
	Cached     int
	CachedAsOf uint32
	// StoredBlocks is how many leading blocks the store at StoredAt is expected to hold.
	StoredBlocks int
	StoredAt     string
}

// Place returns the plan for a prompt; ok is false if no upstream may run it.
func (pl *Planner) Place(p Prompt, now time.Time) (Plan, bool) {
	if p.Hints != nil {
		pl.useHints(p.Hints)
	} else {
		pl.directory.Match(p.Keys, len(pl.upstreams), &pl.found)
	}
	pl.dropExpired(now)
	stored, rate, storeNumber := pl.fetchable(now)
	q := routing.Prompt{
		Model:         p.Model.Name(),
		Version:       p.Version,
		Tokens:        p.Tokens,
		Cached:        pl.found.Cached,
		BlockTokens:   prefix.BlockTokens,
		Stored:        stored * prefix.BlockTokens,
		BytesPerToken: float64(p.Model.BytesPerToken()),
		StoreRate:     rate,
		Weights:       pl.weights,
		Tried:         p.Tried,
		Random:        pl.random.Uint64(),
		Scores:        pl.scores[:len(pl.upstreams)],
	}
	plan, ok := routing.Choose(pl.upstreams, &q, now)
	if !ok {
		return Plan{}, false
	}
	out := Plan{Plan: plan, Name: pl.names[plan.Upstream], Address: pl.addresses[plan.Upstream]}
	out.Cached = int(pl.found.Cached[plan.Upstream])
	out.CachedAsOf = pl.found.LastUsed[plan.Upstream]
	out.StoredBlocks = stored
	if stored > 0 {
		out.StoredAt = pl.stores[storeNumber].address
	}
	if plan.Fetch {
		out.Store = pl.stores[storeNumber].address
		out.FetchBlocks = stored
		out.Refs = pl.refs()
	}
	return out, true
}

// BackoffRemaining returns the shortest time until an upstream in backoff accepts the prompt; ok is
// false if no upstream is excluded by backoff alone.
func (pl *Planner) BackoffRemaining(p Prompt, now time.Time) (left time.Duration, ok bool) {
	q := routing.Prompt{Model: p.Model.Name(), Version: p.Version, Tried: p.Tried}
	return routing.BackoffRemaining(pl.upstreams, &q, now)
}

// fetchable returns how many leading blocks one store holds, and the bandwidth that a fetch from it
// would get now.
func (pl *Planner) fetchable(now time.Time) (blocks int, rate float64, storeNumber int) {
	if pl.found.Stored == 0 {
		return 0, 0, 0
	}
	storeNumber = int(pl.found.Objects[0].Store) - 1
	for _, o := range pl.found.Objects {
		if int(o.Store)-1 != storeNumber {
			return 0, 0, 0
		}
	}
	s := &pl.stores[storeNumber]
	if !s.declared {
		return 0, 0, 0
	}
	return pl.found.Stored, s.rate(now) / float64(s.activeFetches+1), storeNumber
}

func (pl *Planner) refs() []StoredObject {
	var refs []StoredObject
	for i, o := range pl.found.Objects {
		refs = append(refs, *pl.storedObject(o, int(pl.found.Ends[i])))
	}
	return refs
}

// BeginFetch records the start of a fetch that a caller waits for.
func (pl *Planner) BeginFetch(address string) { pl.stores[pl.storeNumber(address)].activeFetches++ }

// FetchResult is the result of a fetch. It is a plain value.
type FetchResult struct {
	// Blocks is how many blocks arrived, and Took the duration of the fetch.
	Blocks int
	Took   time.Duration
	// Bytes is how many bytes went over the link; for an aborted fetch, it is how many should have
	// been transferred in that time.
	Bytes int64
	// Aborted is true if the fetch did not complete, for example because it timed out. That says
	// nothing about whether the objects exist.
	Aborted bool
}

// EndFetch records the end of a fetch of a plan's objects; keys are the prompt's. It updates the
// plan to what the store really holds. The returned notes remove the hints to objects that the
// store refused.
func (pl *Planner) EndFetch(p *Plan, keys []prefix.Key, f FetchResult, now time.Time) []Note {
	s := &pl.stores[pl.storeNumber(p.Store)]
	s.activeFetches--
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
	p.StoredBlocks = kept
	return notes
}

const (
	// observedRateDoubling is the time in which an observed rate is assumed to double, up to the
	// declared rate, since it may be outdated.
	observedRateDoubling = time.Minute
	// minObservedBytes is the size of the smallest fetch from which a link's rate is measured.
	minObservedBytes = 1 << 20
	// observedWeight is the weight of a new measurement in the moving average.
	observedWeight = 0.3
)

// observe records the rate of a fetch: the bandwidth that the link had left for it, whatever else
// used the link.
func (s *store) observe(bytes int64, took time.Duration, now time.Time) {
	if bytes < minObservedBytes || took <= 0 {
		return
	}
	rate := float64(bytes) / took.Seconds()
	previous := s.rate(now)
	s.observedRate = previous + observedWeight*(rate-previous)
	s.observedAt = now
}

// rate returns the bandwidth that a fetch is expected to get from the link, in bytes per second.
func (s *store) rate(now time.Time) float64 {
	if s.observedRate == 0 {
		return s.linkRate
	}
	age := now.Sub(s.observedAt).Seconds() / observedRateDoubling.Seconds()
	return min(s.linkRate, s.observedRate*math.Exp2(age))
}
