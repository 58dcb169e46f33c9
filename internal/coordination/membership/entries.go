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
	suspectAfter = 8 * time.Second
	// deadAfter is how long it may be silent before it counts as dead.
	deadAfter = 16 * time.Second
	// newsAfter is how long a change of an entry is told in full.
	newsAfter = 4 * time.Second
	// seedEvery is how many beats lie between two messages of a failure domain to a
	// seed; its entries share them out.
	seedEvery = 8
	// missedBeats is after how many beats without one of its own an entry knows that it was not
	// running.
	missedBeats = 3
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

// Heartbeat says that an entry was alive, in few bytes.
type Heartbeat struct {
	// ID is a digest of the entry's name and start.
	ID   uint32
	Beat uint64
}

// Gossip is what one entry tells another. It is a plain value.
type Gossip struct {
	// States tell of the sender, and within a failure domain of entries that changed
	// lately and of one other.
	States []EntryState
	// Heartbeats tell of all in the failure domain that are not dead.
	Heartbeats []Heartbeat
	// DomainHeartbeats tell of the failure domains, Domains of those that were asked for,
	// and Asked asks for some.
	DomainHeartbeats []DomainHeartbeat
	Domains          []DomainState
	Requested        []uint32
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
	// others holds entries of self's failure domain; never self, nor two runs of one
	// entry.
	others map[string]*known
	// domains is what is known of each failure domain, self's included, by its digest.
	domains map[uint32]*domain
	// seen holds the names of other failure domains that have had entries.
	seen map[string]bool
	// found holds addresses in the failure domain that another domain named; they are
	// told at the next beat.
	found  []string
	random *rand.Rand
	// beaten is when the last beat was, zero before the first.
	beaten time.Time
}

// NewEntries returns an entry's view that holds only itself.
func NewEntries(self EntryState, seed uint64) *Entries {
	e := &Entries{self: self, others: map[string]*known{}, domains: map[uint32]*domain{}, seen: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 0xe9717))}
	e.domains[domainID(self.FailureDomain)] = &domain{name: self.FailureDomain}
	return e
}

// Leave marks this entry as leaving; the next gossip tells.
func (e *Entries) Leave() { e.self.Leaving = true }

// Targets says whom to tell now. It is a plain value.
type Targets struct {
	// Local are addresses in this failure domain; Remote are those of other domains and of
	// entries of which nothing is known.
	Local, Remote []string
}

// Tick counts one interval and returns whom to tell now: some entries of the failure
// domain, drawn at random; relays of other domains, if this entry relays; or the given
// seeds while nobody is known.
func (e *Entries) Tick(seeds []string, now time.Time) Targets {
	e.self.Beat++
	e.excuse(now)
	for name, k := range e.others {
		if now.Sub(k.heard) > forgetAfter {
			delete(e.others, name)
		}
	}
	e.beatDomains(now)
	var live []string
	for _, k := range e.others {
		if now.Sub(k.heard) <= deadAfter {
			live = append(live, k.state.Address)
		}
	}
	t := Targets{Local: e.draw(live, e.self.Leaving)}
	if e.relays(now) {
		t.Remote = e.draw(e.otherRelays(now), false)
	}
	t.Remote = append(t.Remote, e.found...)
	e.found = nil
	// Now and then a seed is told too, so that two halves that were cut off from each
	// other for long find together again.
	turn := uint64(seedEvery * max(len(live), 1))
	if len(seeds) > 0 && (len(t.Local)+len(t.Remote) == 0 || e.self.Beat%turn == 0) {
		t.Remote = append(t.Remote, seeds[e.random.IntN(len(seeds))])
	}
	return t
}

// BroadcastTargets returns all others of this failure domain, and the relays of other domains if this entry
// relays: whom to tell what must be known at once.
func (e *Entries) BroadcastTargets(now time.Time) Targets {
	var t Targets
	for _, s := range e.Live(now) {
		if s.Name != e.self.Name {
			t.Local = append(t.Local, s.Address)
		}
	}
	if e.relays(now) {
		t.Remote = e.otherRelays(now)
	}
	return t
}

// excuse counts for nobody's silence what this entry missed, suspended or frozen.
func (e *Entries) excuse(now time.Time) {
	missed := now.Sub(e.beaten) - GossipInterval
	if !e.beaten.IsZero() && missed >= missedBeats*GossipInterval {
		for _, k := range e.others {
			k.heard = k.heard.Add(min(missed, now.Sub(k.heard)))
		}
		for _, d := range e.domains {
			d.heard = d.heard.Add(min(missed, now.Sub(d.heard)))
		}
	}
	e.beaten = now
}

// draw returns some of the addresses at random, or all.
func (e *Entries) draw(addresses []string, all bool) []string {
	slices.Sort(addresses)
	e.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) > gossipTargets && !all {
		return addresses[:gossipTargets]
	}
	return addresses
}

// LocalGossip returns what entries of this failure domain are told now.
func (e *Entries) LocalGossip(now time.Time) Gossip {
	g := e.tellEntries(false, now)
	if e.self.Beat%domainEvery == 0 || e.relays(now) {
		g.DomainHeartbeats = e.domainPulses(false, now)
	}
	return g
}

// RemoteGossip returns what entries of other failure domains are told now.
func (e *Entries) RemoteGossip(now time.Time) Gossip {
	return Gossip{States: []EntryState{e.self}, DomainHeartbeats: e.domainPulses(false, now)}
}

// tellStranger returns everything that is of use to an entry that may be new.
func (e *Entries) tellStranger(domain string, now time.Time) Gossip {
	g := Gossip{States: []EntryState{e.self}}
	if domain == e.self.FailureDomain {
		g = e.tellEntries(true, now)
	}
	g.DomainHeartbeats = e.domainPulses(true, now)
	return g
}

// tellEntries tells of the entries of this failure domain: in full of this one, of those
// that changed lately and of one other, or of all.
func (e *Entries) tellEntries(all bool, now time.Time) Gossip {
	g := Gossip{States: []EntryState{e.self}}
	other := 0
	if len(e.others) > 0 {
		other = e.random.IntN(len(e.others))
	}
	for _, name := range slices.Sorted(maps.Keys(e.others)) {
		k := e.others[name]
		if now.Sub(k.heard) <= deadAfter {
			if all || now.Sub(k.changed) < newsAfter || other == 0 {
				g.States = append(g.States, k.state)
			} else {
				g.Heartbeats = append(g.Heartbeats, Heartbeat{k.id, k.state.Beat})
			}
		}
		other--
	}
	return g
}

// Heard is what follows from what another entry told. It is a plain value.
type Heard struct {
	// Reply is for the sender; it has no states when there is nothing to say.
	Reply Gossip
	// Outdated lists the failure domains of which the sender knows more.
	Outdated []uint32
}

// Receive takes what another entry told; the sender is the first of the states. One that
// asks for failure domains is told of those; one that is new here is told everything;
// the others hear of the rest when it is their turn.
func (e *Entries) Receive(g Gossip, now time.Time) Heard {
	if len(g.States) == 0 {
		return Heard{}
	}
	sender := g.States[0]
	stranger := !e.knows(sender)
	for _, s := range g.States {
		e.hearState(s, now)
	}
	byID := make(map[uint32]*known, len(e.others))
	for _, k := range e.others {
		byID[k.id] = k
	}
	for _, p := range g.Heartbeats {
		if k, ok := byID[p.ID]; ok && p.Beat > k.state.Beat {
			k.state.Beat = p.Beat
			k.heard = now
		}
	}
	for _, d := range g.Domains {
		e.hearDomain(d, now)
	}
	out := Heard{Outdated: e.hearDomainPulses(sender.FailureDomain, g.DomainHeartbeats, now)}
	switch {
	case len(g.Requested) > 0:
		out.Reply = e.tellDomains(g.Requested, now)
	case stranger:
		out.Reply = e.tellStranger(sender.FailureDomain, now)
	}
	return out
}

// knows reports whether an entry is known: in this failure domain by itself, in this run;
// in others as one of those that its domain's relay listed.
func (e *Entries) knows(s EntryState) bool {
	if s.FailureDomain == e.self.FailureDomain {
		k, ok := e.others[s.Name]
		return ok && k.state.Start >= s.Start
	}
	d, ok := e.domains[domainID(s.FailureDomain)]
	return ok && slices.Contains(d.members, Contact{s.Name, s.Address})
}

func (e *Entries) hearState(s EntryState, now time.Time) {
	if s.FailureDomain != e.self.FailureDomain {
		e.meet(s, now)
		return
	}
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

// Live returns the entries of this failure domain that are neither leaving nor
// suspected, this one included unless it leaves, by name.
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
// domain, and speaks for it to the others: the first by name. While opinions differ
// there may be two, which costs one more poll and nothing else.
func (e *Entries) Relay(now time.Time) EntryState {
	live := e.Live(now)
	if len(live) == 0 {
		return e.self
	}
	return live[0]
}

func (e *Entries) relays(now time.Time) bool { return e.Relay(now).Name == e.self.Name }

// Owners returns who owns each of a number of parts of the directory, by rendezvous
// hashing over contacts: when an entry comes or goes, only its own parts change hands.
// Without any contact this entry owns all.
func (e *Entries) Owners(parts int, contacts []Contact) []Contact {
	owners := make([]Contact, parts)
	for part := range owners {
		owners[part] = e.ownerOf(uint16(part), contacts)
	}
	return owners
}

func (e *Entries) ownerOf(part uint16, contacts []Contact) Contact {
	owner := Contact{Name: e.self.Name, Address: e.self.Address}
	var best uint64
	for _, c := range contacts {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.Write([]byte{byte(part >> 8), byte(part)})
		_, _ = h.WriteString(c.Name)
		if weight := h.Sum64(); weight >= best {
			best = weight
			owner = c
		}
	}
	return owner
}

// RandomSeed returns a number that differs from process to process.
func RandomSeed() uint64 { return maphash.String(maphash.MakeSeed(), "") }
