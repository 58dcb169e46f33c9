package membership

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// GossipInterval is how often an entry tells others what it knows.
	GossipInterval = time.Second
	// gossipTargets is how many others it tells each time.
	gossipTargets = 2
	// suspectAfter is how long an entry may be silent before it is suspected: it
	// then owns nothing new, but is still told and asked about.
	suspectAfter = 6 * time.Second
	// deadAfter is how long it may be silent before it counts as dead.
	deadAfter = 12 * time.Second
	// newsAfter is how long a change of an entry is told in full.
	newsAfter = 4 * time.Second
	// seedEvery is how many beats lie between two messages to a seed.
	seedEvery = 8
	// forgetAfter is how long a dead entry is remembered, so that old gossip does
	// not bring it back.
	forgetAfter = time.Minute
)

// EntryState is one entry as somebody knows it. It is a plain value.
type EntryState struct {
	Name, Address, FailureDomain string
	// Start tells two runs of one entry apart; a later one is higher.
	Start uint64
	// Beat rises as long as the entry is alive.
	Beat    uint64
	Leaving bool
}

// Pulse says that an entry was alive, in few bytes.
type Pulse struct {
	// ID is a digest of the entry's name and start.
	ID   uint32
	Beat uint64
}

// Gossip is what one entry tells another. It is a plain value.
type Gossip struct {
	// States tell of the sender, of entries that changed lately, and of one other.
	States []EntryState
	// Pulses tell of all that are not dead.
	Pulses []Pulse
}

// id is the digest by which pulses name an entry's run.
func (s EntryState) id() uint32 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(s.Name)
	_, _ = h.WriteString(strconv.FormatUint(s.Start, 16))
	return uint32(h.Sum64())
}

type known struct {
	state EntryState
	id    uint32
	// heard is when Beat last rose here, and changed when anything else did.
	heard, changed time.Time
}

// Entries is what one entry knows of the others. It is a pure state machine and
// not safe for concurrent use.
type Entries struct {
	self EntryState
	// others never holds self, nor two runs of one entry.
	others map[string]*known
	random *rand.Rand
}

// NewEntries returns an entry's view that holds only itself.
func NewEntries(self EntryState, seed uint64) *Entries {
	return &Entries{self: self, others: map[string]*known{}, random: rand.New(rand.NewPCG(seed, 0xe9717))}
}

// Leave marks this entry as leaving; the next gossip tells.
func (e *Entries) Leave() { e.self.Leaving = true }

// Beat counts one interval and returns whom to tell now: some known entries, drawn
// at random, or the given seeds while none is known.
func (e *Entries) Beat(seeds []string, now time.Time) (addresses []string) {
	e.self.Beat++
	for name, k := range e.others {
		if now.Sub(k.heard) > forgetAfter {
			delete(e.others, name)
		}
	}
	var live []string
	for _, k := range e.others {
		if now.Sub(k.heard) <= deadAfter {
			live = append(live, k.state.Address)
		}
	}
	slices.Sort(live)
	e.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	if len(live) > gossipTargets && !e.self.Leaving {
		live = live[:gossipTargets]
	}
	// Now and then a seed is told too, so that two halves that were cut off from each
	// other for long find together again.
	if len(seeds) > 0 && (len(live) == 0 || e.self.Beat%seedEvery == 0) {
		live = append(live, seeds[e.random.IntN(len(seeds))])
	}
	return live
}

// Tell returns what is to be told now. Everything is told to an entry that may be new.
func (e *Entries) Tell(everything bool, now time.Time) Gossip {
	g := Gossip{States: []EntryState{e.self}}
	other := 0
	if len(e.others) > 0 {
		other = e.random.IntN(len(e.others))
	}
	for _, name := range slices.Sorted(maps.Keys(e.others)) {
		k := e.others[name]
		if now.Sub(k.heard) <= deadAfter {
			if everything || now.Sub(k.changed) < newsAfter || other == 0 {
				g.States = append(g.States, k.state)
			} else {
				g.Pulses = append(g.Pulses, Pulse{k.id, k.state.Beat})
			}
		}
		other--
	}
	return g
}

// Hear takes what another entry told; it reports whether the sender, which is the
// first of the states, was not known.
func (e *Entries) Hear(g Gossip, now time.Time) (stranger bool) {
	if len(g.States) > 0 {
		_, known := e.others[g.States[0].Name]
		stranger = !known
	}
	for _, s := range g.States {
		e.hearState(s, now)
	}
	byID := make(map[uint32]*known, len(e.others))
	for _, k := range e.others {
		byID[k.id] = k
	}
	for _, p := range g.Pulses {
		if k, ok := byID[p.ID]; ok && p.Beat > k.state.Beat {
			k.state.Beat = p.Beat
			k.heard = now
		}
	}
	return stranger
}

func (e *Entries) hearState(s EntryState, now time.Time) {
	if s.Name == e.self.Name {
		return
	}
	k, ok := e.others[s.Name]
	switch {
	case !ok || s.Start > k.state.Start:
		e.others[s.Name] = &known{state: s, id: s.id(), heard: now, changed: now}
	case s.Start == k.state.Start && s.Beat > k.state.Beat:
		if s.Leaving != k.state.Leaving {
			k.changed = now
		}
		k.state = s
		k.heard = now
	}
}

// Live returns the entries that are neither leaving nor suspected, this one
// included unless it leaves, by name.
func (e *Entries) Live(now time.Time) []EntryState {
	var out []EntryState
	if !e.self.Leaving {
		out = append(out, e.self)
	}
	for _, k := range e.others {
		if !k.state.Leaving && now.Sub(k.heard) <= suspectAfter {
			out = append(out, k.state)
		}
	}
	slices.SortFunc(out, func(a, b EntryState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Relay returns the live entry that follows the control log for its failure
// domain: the first by name. While opinions differ there may be two, which costs
// one more poll and nothing else.
func (e *Entries) Relay(now time.Time) EntryState {
	for _, s := range e.Live(now) {
		if s.FailureDomain == e.self.FailureDomain {
			return s
		}
	}
	return e.self
}

// Owner returns the live entry that owns a key, by rendezvous hashing: when an
// entry comes or goes, only its own part changes hands.
func (e *Entries) Owner(key []byte, now time.Time) EntryState {
	owner := e.self
	var best uint64
	for _, s := range e.Live(now) {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.Write(key)
		_, _ = h.WriteString(s.Name)
		if weight := h.Sum64(); weight >= best {
			best = weight
			owner = s
		}
	}
	return owner
}

// Seed returns a number that differs from process to process.
func Seed() uint64 { return maphash.String(maphash.MakeSeed(), "") }
