package placement_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// A replay sends generated arrivals of prompts through the planner and through baselines, on the
// same model of engines, stores and links. It uses no clock and no sockets; its results are those
// of the model.

// figures are the results of a replay.
type figures struct {
	recomputed, prompt float64
	first              []float64
	linkBytes          float64
	perTeam            map[int][]float64
}

func (f *figures) share() float64 { return f.recomputed / f.prompt }

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1))]
}

// policy is a way to place prompts.
type policy string

const (
	shedrock   policy = "shedrock"
	roundRobin policy = "round robin"
	leastLoad  policy = "least load"
	affinity   policy = "hash affinity"
	lruKeeping policy = "LRU keeping"
)

func policies() []policy { return []policy{shedrock, roundRobin, leastLoad, affinity, lruKeeping} }

const (
	entries               = 8
	reportIntervalSeconds = 0.5
	newBlocks             = 4 // each arrival adds a question and an answer to the context
	secondsPerToken       = 0.031
	warmUpShare           = 0.4
)

// simulation is the state of one replay.
type simulation struct {
	scenario
	random     *rand.Rand
	simEngines []*simEngine
	simStores  []*simStore
	blocks     []int // length of each context in blocks
	uses       []int
	figures    figures
	// reported is the load that least-load policies see.
	reported   []int
	reportedAt float64
	// Used by the shedrock policy only: one planner per entry, and scheduled events.
	planners []*placement.Planner
	model    declared.Model
	events   []event
	objects  uint64
	turn     int
}

// event is scheduled for a later time.
type event struct {
	at float64
	do func()
}

func newSimulation(s scenario, seed uint64) *simulation {
	w := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), figures: figures{perTeam: map[int][]float64{}}}
	for range s.engines {
		w.simEngines = append(w.simEngines, &simEngine{cache: newLRUCache(s.cacheBlocks), free: make([]float64, s.slots)})
	}
	for range s.stores {
		w.simStores = append(w.simStores, &simStore{cache: newLRUCache(s.storeBlocks)})
	}
	for range s.contexts {
		w.blocks = append(w.blocks, max(8, int(float64(s.meanBlocks)*w.random.ExpFloat64())))
		w.uses = append(w.uses, 0)
	}
	w.reported = make([]int, s.engines)
	return w
}

func storeAddress(n int) string { return fmt.Sprintf("10.0.1.%d:1", n+1) }

// declare makes the planners from declared documents, as entries do.
func (w *simulation) declare(t testing.TB) {
	upstreams := "document: upstreams\nversion: 1\nupstreams:\n"
	for i := range w.engines {
		upstreams += fmt.Sprintf("  - {name: u%d, address: \"10.0.0.%d:%d\", failure_domain: d, model: m, slots: %d, prefill_tokens_per_second: %g, link_bytes_per_second: %g}\n", i, i%250+1, i/250+1, w.slots, w.prefillRate, w.linkRate)
	}
	stores := "document: stores\nversion: 1\nstores:\n"
	for i := range w.stores {
		stores += fmt.Sprintf("  - {name: s%d, address: %q, failure_domain: d, memory_bytes: 1, link_bytes_per_second: %g}\n", i, storeAddress(i), w.linkRate)
	}
	state := stateOf(t,
		fmt.Sprintf("document: models\nversion: 1\nmodels:\n  - {name: m, weight_version: v, kv_bytes_per_token: %d, max_prompt_tokens: 1000000}\n", int(w.bytesPerToken)),
		upstreams, stores,
		fmt.Sprintf("document: control\nversion: 1\ncontrol:\n  replicas: [{id: 1, address: \"10.0.2.1:1\", failure_domain: d}]\n  recompute_weight: %g\n", w.recompute))
	w.model, _ = state.Model("m")
	for i := range entries {
		planner := placement.New("d", 200_000, uint64(i))
		planner.ApplyDeclared(state)
		for n := range w.engines {
			planner.Upstream(n).Version = "v"
		}
		w.planners = append(w.planners, planner)
	}
}

func keysOf(context, blocks int) []prefix.Key {
	keys := make([]prefix.Key, blocks)
	for i := range keys {
		binary.BigEndian.PutUint64(keys[i][:], uint64(context+1)*0x9e3779b97f4a7c15)
		binary.BigEndian.PutUint64(keys[i][8:], uint64(i))
	}
	return keys
}

func instant(at float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(at * float64(time.Second)))
}

// report updates the reported loads every reportIntervalSeconds, so that they lag as in a real
// deployment.
func (w *simulation) report(now float64) {
	if now-w.reportedAt < reportIntervalSeconds {
		return
	}
	w.reportedAt = now
	for n, m := range w.simEngines {
		w.reported[n] = m.occupied(now)
		for _, planner := range w.planners {
			reading := max(m.prefillFree-now, 0) * w.prefillRate
			planner.Upstream(n).NoteLoad(w.reported[n], 0, int(reading), false)
		}
	}
}

// transfer sends blocks over a store's link and returns the time when they have arrived.
func (w *simulation) transfer(k *simStore, now float64, blocks int, rate float64) float64 {
	bytes := float64(blocks*prefix.BlockTokens) * w.bytesPerToken
	w.figures.linkBytes += bytes
	k.linkFree = max(k.linkFree, now) + bytes/rate
	return k.linkFree
}

// fetch is a transfer that a caller waits for, and that is aborted after a timeout.
func (w *simulation) fetch(k *simStore, now float64, bytes int64, limit, rate float64) (ready float64, gaveUp bool) {
	begin := max(k.linkFree, now)
	ready = begin + float64(bytes)/rate
	if ready > now+limit {
		ready = now + limit
		gaveUp = true
	}
	if ready > begin {
		w.figures.linkBytes += (ready - begin) * rate
		k.linkFree = ready
	}
	return ready, gaveUp
}

// finish records the results of one prompt.
func (w *simulation) finish(a arrival, recomputed int, first float64) {
	if a.at < warmUpShare*w.hours*3600 || w.uses[a.context] < 2 {
		// The first prompt of a context has nothing to reuse under any policy, so only later ones
		// count.
		return
	}
	w.figures.recomputed += float64(recomputed * prefix.BlockTokens)
	w.figures.prompt += float64(w.blocks[a.context] * prefix.BlockTokens)
	w.figures.first = append(w.figures.first, first-a.at)
}

func (w *simulation) serve(n int, a arrival, ready float64, recomputed int) (first, end float64) {
	decode := w.random.ExpFloat64() * w.outTokens * secondsPerToken
	first, end = w.simEngines[n].start(ready, float64(recomputed*prefix.BlockTokens)/w.prefillRate, decode)
	w.finish(a, recomputed, first)
	return first, end
}

// baseline places one prompt with a baseline policy.
func (w *simulation) baseline(p policy, a arrival) {
	blocks := w.blocks[a.context]
	n := 0
	switch p {
	case roundRobin:
		n = w.turn % w.engines
		w.turn++
	case leastLoad, lruKeeping:
		for i := range w.simEngines {
			if w.reported[i] < w.reported[n] {
				n = i
			}
		}
		if ties := w.ties(w.reported[n]); len(ties) > 0 {
			n = ties[w.random.IntN(len(ties))]
		}
	case affinity:
		n = int(uint64(a.context+1) * 0x9e3779b97f4a7c15 >> 32 % uint64(w.engines))
	}
	m := w.simEngines[n]
	have := min(m.cache.blocks(a.context), blocks)
	ready := a.at
	rate := w.rate(a.at)
	var k *simStore
	if p == lruKeeping {
		k = w.simStores[a.context%w.stores]
		kept := min(k.cache.blocks(a.context), blocks)
		if kept > have {
			ready = w.transfer(k, a.at, kept-have, rate)
			have = kept
		}
	}
	w.serve(n, a, ready, blocks-have)
	m.cache.put(a.context, blocks)
	if k != nil {
		w.transfer(k, a.at, blocks-min(k.cache.blocks(a.context), blocks), rate)
		k.cache.put(a.context, blocks)
	}
}

func (w *simulation) ties(load int) []int {
	var out []int
	for i, r := range w.reported {
		if r == load {
			out = append(out, i)
		}
	}
	return out
}

// rate returns the link's bandwidth, which drops to a tenth late in the run if slowLink is set.
func (w *simulation) rate(now float64) float64 {
	if w.slowLink && now > 0.7*w.hours*3600 {
		return w.linkRate / 10
	}
	return w.linkRate
}

// place places one prompt with the planner. The entry is chosen at random, as by a load balancer,
// and the owner of the directory's partition knows the context.
func (w *simulation) place(t testing.TB, a arrival) {
	for len(w.events) > 0 && w.events[0].at <= a.at {
		e := w.events[0]
		w.events = w.events[1:]
		e.do()
	}
	planner := w.planners[w.random.IntN(entries)]
	blocks := w.blocks[a.context]
	keys := keysOf(a.context, blocks)
	owner := w.planners[a.context%entries]
	now := instant(a.at)
	plan, ok := planner.Place(placement.Prompt{Model: w.model, Version: "v", Keys: keys, Tokens: blocks * prefix.BlockTokens, Hints: owner.Find(keys)}, now)
	if !ok {
		t.Fatal("no upstream was eligible")
	}
	m := w.simEngines[plan.Upstream]
	have := min(m.cache.blocks(a.context), blocks)
	ready := a.at
	rate := w.rate(a.at)
	if plan.Fetch {
		k := w.storeAt(plan.Store)
		kept := min(k.cache.blocks(a.context), plan.FetchBlocks)
		got := max(kept, have)
		planner.BeginFetch(plan.Store)
		took := placement.FetchResult{Blocks: got, Bytes: int64(float64(max(kept-have, 0)*prefix.BlockTokens) * w.bytesPerToken)}
		if kept > have {
			ready, took.Aborted = w.fetch(k, a.at, took.Bytes, plan.FetchTimeout.Seconds(), rate)
		}
		took.Took = time.Duration((ready - a.at) * float64(time.Second))
		if took.Aborted {
			got = have
		}
		ended := plan
		w.schedule(ready, func() {
			for _, note := range planner.EndFetch(&ended, keys, took, instant(ready)) {
				owner.Apply(note, instant(ready))
			}
			w.nextCopy(planner, ready)
		})
		// These are the blocks that the entry knows of when the run ends and the copy is planned.
		if !took.Aborted {
			plan.StoredBlocks = got
		}
		have = got
	}
	planner.NoteReuse(plan, have, now)
	first, end := w.serve(plan.Upstream, a, ready, blocks-have)
	u := planner.Upstream(plan.Upstream)
	u.Begin(plan.Recompute)
	w.schedule(first, func() { u.FirstToken(plan.Recompute) })
	w.schedule(end, func() { u.End(time.Duration((end - a.at) * float64(time.Second))) })
	for _, gone := range m.cache.put(a.context, blocks) {
		w.publishEviction(gone, plan.Upstream)
	}
	owner.Apply(placement.Note{Key: keys[blocks-1], Blocks: blocks, Upstream: plan.Name}, now)
	w.startCopy(planner, owner, a, keys, plan)
}

// schedule runs a function at a time.
func (w *simulation) schedule(at float64, do func()) {
	i, _ := slices.BinarySearchFunc(w.events, at, func(e event, at float64) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	w.events = slices.Insert(w.events, i, event{at, do})
}

// publishEviction removes an evicted context from the owner's directory, as a cache event does.
func (w *simulation) publishEviction(context, n int) {
	if w.noEvents {
		return
	}
	keys := keysOf(context, w.blocks[context])
	owner := w.planners[context%entries]
	for at := len(keys) - 1; at >= 0; at -= newBlocks {
		owner.Directory().RecordEviction(keys[at], n)
	}
}

func (w *simulation) storeAt(address string) *simStore {
	for i, k := range w.simStores {
		if storeAddress(i) == address {
			return k
		}
	}
	panic("unknown store address")
}

// replay runs one policy over the arrivals of one seed.
func replay(t testing.TB, s scenario, p policy, seed uint64) *figures {
	w := newSimulation(s, seed)
	if p == shedrock {
		w.declare(t)
	}
	lost := false
	for _, a := range arrivals(s, rand.New(rand.NewPCG(seed, 2))) {
		w.report(a.at)
		if s.loseStore && !lost && a.at > 0.7*s.hours*3600 {
			lost = true
			w.simStores[0].cache.clear()
		}
		if w.uses[a.context] > 0 {
			w.blocks[a.context] += newBlocks
		}
		w.uses[a.context]++
		if p == shedrock {
			w.place(t, a)
		} else {
			w.baseline(p, a)
		}
	}
	return &w.figures
}
