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
	// GossipInterval is the time between two ticks, at each of which an entry sends gossip.
	GossipInterval = time.Second
	// gossipFanout is the number of entries, and of other domains' relays, to which gossip
	// is sent at each tick.
	gossipFanout = 2
	// suspectAfter is the time without a heartbeat after which an entry is suspected. It no
	// longer counts as live and owns no part of the directory, but still receives gossip
	// and is still included in it.
	suspectAfter = 8 * time.Second
	// deadAfter is the time without a heartbeat after which an entry counts as dead.
	deadAfter = 16 * time.Second
	// fullStateFor is how long after a change an entry's full state is gossiped.
	fullStateFor = 4 * time.Second
	// seedTicks is the number of ticks between two messages from a failure domain to a
	// seed, by all of its entries together.
	seedTicks = 8
	// pauseIntervals is the delay between two ticks, in gossip intervals beyond the regular
	// one, from which on an entry concludes that its own process was paused.
	pauseIntervals = 3
	// forgetAfter is the time without a heartbeat after which an entry's record is deleted.
	// It is kept beyond deadAfter so that stale gossip does not revive a dead entry.
	forgetAfter = time.Minute
)

// EntryState is the state of one entry as gossip carries it. It is a plain value.
type EntryState struct {
	Name, Address, FailureDomain string
	// Start is the entry's start time; a restarted entry has a higher one.
	Start uint64
	// Beat is the heartbeat counter, which the entry increments at each tick.
	Beat    uint64
	Leaving bool
}

// Heartbeat is the compact form of an unchanged EntryState.
type Heartbeat struct {
	// ID is a digest of the entry's name and start.
	ID   uint32
	Beat uint64
}

// Gossip is a message from one entry to another. It is a plain value.
type Gossip struct {
	// States begins with the sender. Within a failure domain it also has the entries that
	// changed recently, and one random other.
	States []EntryState
	// Heartbeats are those of the failure domain's remaining entries that are not dead.
	Heartbeats []Heartbeat
	// DomainHeartbeats are those of the known failure domains, Domains the states of the
	// domains that the receiver requested, and Requested the IDs of domains whose states
	// the sender requests.
	DomainHeartbeats []DomainHeartbeat
	Domains          []DomainState
	Requested        []uint32
}

// id returns the digest that identifies one run of an entry in heartbeats.
func (s EntryState) id() uint32 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(s.Name)
	_, _ = h.WriteString(strconv.FormatUint(s.Start, 16))
	return uint32(h.Sum64())
}

type entryRecord struct {
	state EntryState
	id    uint32
	// lastHeartbeat is the local time at which Beat last rose, lastChange the time at which
	// another field last changed.
	lastHeartbeat, lastChange time.Time
}

// Entries is one entry's view of the other entries. It is a state machine without I/O
// and is not safe for concurrent use.
type Entries struct {
	self EntryState
	// others holds the other entries of self's failure domain by name, each in its latest
	// run only.
	others map[string]*entryRecord
	// domains holds the known failure domains by domainID, self's included.
	domains map[uint32]*domain
	// seenDomains holds the names of other failure domains that have had entries.
	seenDomains map[string]bool
	// discovered holds addresses of unknown entries of self's failure domain that another
	// domain listed. Gossip is sent to them at the next tick.
	discovered []string
	random     *rand.Rand
	// lastTick is the time of the last tick, zero before the first.
	lastTick time.Time
}

// NewEntries returns the view of an entry that knows only itself.
func NewEntries(self EntryState, seed uint64) *Entries {
	e := &Entries{self: self, others: map[string]*entryRecord{}, domains: map[uint32]*domain{}, seenDomains: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 0xe9717))}
	e.domains[domainID(self.FailureDomain)] = &domain{name: self.FailureDomain}
	return e
}

// Leave marks this entry as leaving. Others learn of it by the next gossip.
func (e *Entries) Leave() { e.self.Leaving = true }

// Targets lists the addresses to send gossip to. It is a plain value.
type Targets struct {
	// Local are addresses in this failure domain. Remote are addresses in other domains,
	// and those of entries that are not known yet.
	Local, Remote []string
}

// Tick increments the heartbeat counter and returns the targets of this interval's
// gossip: a random sample of the failure domain's entries; if this entry is the relay, a
// sample of other domains' relays; and one of the seeds if there are no other targets.
func (e *Entries) Tick(seeds []string, now time.Time) Targets {
	e.self.Beat++
	e.discountPause(now)
	for name, r := range e.others {
		if now.Sub(r.lastHeartbeat) > forgetAfter {
			delete(e.others, name)
		}
	}
	e.tickDomains(now)
	var live []string
	for _, r := range e.others {
		if now.Sub(r.lastHeartbeat) <= deadAfter {
			live = append(live, r.state.Address)
		}
	}
	t := Targets{Local: e.sample(live, e.self.Leaving)}
	if e.isRelay(now) {
		t.Remote = e.sample(e.otherRelays(now), false)
	}
	t.Remote = append(t.Remote, e.discovered...)
	e.discovered = nil
	// A seed is also contacted at intervals, so that two partitions that have deleted each
	// other's records merge again.
	interval := uint64(seedTicks * max(len(live), 1))
	if len(seeds) > 0 && (len(t.Local)+len(t.Remote) == 0 || e.self.Beat%interval == 0) {
		t.Remote = append(t.Remote, seeds[e.random.IntN(len(seeds))])
	}
	return t
}

// BroadcastTargets returns all other live entries of this failure domain and, if this entry is
// the relay, the relays of other domains. It is for updates that cannot wait for gossip.
func (e *Entries) BroadcastTargets(now time.Time) Targets {
	var t Targets
	for _, s := range e.Live(now) {
		if s.Name != e.self.Name {
			t.Local = append(t.Local, s.Address)
		}
	}
	if e.isRelay(now) {
		t.Remote = e.otherRelays(now)
	}
	return t
}

// discountPause detects that this process was paused, for example suspended or frozen, and
// excludes that time from the silence of all other entries and domains.
func (e *Entries) discountPause(now time.Time) {
	paused := now.Sub(e.lastTick) - GossipInterval
	if !e.lastTick.IsZero() && paused >= pauseIntervals*GossipInterval {
		for _, r := range e.others {
			r.lastHeartbeat = r.lastHeartbeat.Add(min(paused, now.Sub(r.lastHeartbeat)))
		}
		for _, d := range e.domains {
			d.lastHeartbeat = d.lastHeartbeat.Add(min(paused, now.Sub(d.lastHeartbeat)))
		}
	}
	e.lastTick = now
}

// sample returns up to gossipFanout of the addresses at random, or all in random order.
func (e *Entries) sample(addresses []string, all bool) []string {
	slices.Sort(addresses)
	e.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) > gossipFanout && !all {
		return addresses[:gossipFanout]
	}
	return addresses
}

// LocalGossip returns the current message for entries of this failure domain.
func (e *Entries) LocalGossip(now time.Time) Gossip {
	g := e.entryGossip(false, now)
	if e.self.Beat%domainGossipTicks == 0 || e.isRelay(now) {
		g.DomainHeartbeats = e.domainHeartbeats(false, now)
	}
	return g
}

// RemoteGossip returns the current message for entries of other failure domains.
func (e *Entries) RemoteGossip(now time.Time) Gossip {
	return Gossip{States: []EntryState{e.self}, DomainHeartbeats: e.domainHeartbeats(false, now)}
}

// fullReply returns the complete view for an entry that was not known before: the entries
// if it is of this failure domain, and all domains.
func (e *Entries) fullReply(domain string, now time.Time) Gossip {
	g := Gossip{States: []EntryState{e.self}}
	if domain == e.self.FailureDomain {
		g = e.entryGossip(true, now)
	}
	g.DomainHeartbeats = e.domainHeartbeats(true, now)
	return g
}

// entryGossip returns a message about the entries of this failure domain. It has the full
// states of this entry, of those that changed recently and of one random other, and the
// heartbeats of the rest; with all set, it has the full states of all.
func (e *Entries) entryGossip(all bool, now time.Time) Gossip {
	g := Gossip{States: []EntryState{e.self}}
	other := 0
	if len(e.others) > 0 {
		other = e.random.IntN(len(e.others))
	}
	for _, name := range slices.Sorted(maps.Keys(e.others)) {
		r := e.others[name]
		if now.Sub(r.lastHeartbeat) <= deadAfter {
			if all || now.Sub(r.lastChange) < fullStateFor || other == 0 {
				g.States = append(g.States, r.state)
			} else {
				g.Heartbeats = append(g.Heartbeats, Heartbeat{r.id, r.state.Beat})
			}
		}
		other--
	}
	return g
}

// ReceiveResult is the result of processing a message. It is a plain value.
type ReceiveResult struct {
	// Reply is for the sender; it has no states when there is no reply.
	Reply Gossip
	// Outdated lists the failure domains of which the sender has newer members.
	Outdated []uint32
}

// Receive processes a message from another entry, which is the first of the states. The
// reply has the requested failure domains if there are any, or the complete view if the
// sender was not known; other senders get no reply, only regular gossip.
func (e *Entries) Receive(g Gossip, now time.Time) ReceiveResult {
	if len(g.States) == 0 {
		return ReceiveResult{}
	}
	sender := g.States[0]
	unknown := !e.isKnown(sender)
	for _, s := range g.States {
		e.receiveState(s, now)
	}
	byID := make(map[uint32]*entryRecord, len(e.others))
	for _, r := range e.others {
		byID[r.id] = r
	}
	for _, h := range g.Heartbeats {
		if r, ok := byID[h.ID]; ok && h.Beat > r.state.Beat {
			r.state.Beat = h.Beat
			r.lastHeartbeat = now
		}
	}
	for _, d := range g.Domains {
		e.receiveDomain(d, now)
	}
	out := ReceiveResult{Outdated: e.receiveDomainHeartbeats(sender.FailureDomain, g.DomainHeartbeats, now)}
	switch {
	case len(g.Requested) > 0:
		out.Reply = e.domainsReply(g.Requested, now)
	case unknown:
		out.Reply = e.fullReply(sender.FailureDomain, now)
	}
	return out
}

// isKnown reports whether an entry is known. In this failure domain, its record must be of
// the same run or a later one; in another domain, it must be in the domain's member list.
func (e *Entries) isKnown(s EntryState) bool {
	if s.FailureDomain == e.self.FailureDomain {
		r, ok := e.others[s.Name]
		return ok && r.state.Start >= s.Start
	}
	d, ok := e.domains[domainID(s.FailureDomain)]
	return ok && slices.Contains(d.members, Contact{s.Name, s.Address})
}

func (e *Entries) receiveState(s EntryState, now time.Time) {
	if s.FailureDomain != e.self.FailureDomain {
		e.addDomainOf(s, now)
		return
	}
	if s.Name == e.self.Name {
		return
	}
	r, ok := e.others[s.Name]
	switch {
	case !ok || s.Start > r.state.Start:
		e.others[s.Name] = &entryRecord{state: s, id: s.id(), lastHeartbeat: now, lastChange: now}
	case s.Start == r.state.Start && s.Beat > r.state.Beat:
		if s.Leaving != r.state.Leaving {
			r.lastChange = now
		}
		r.state = s
		r.lastHeartbeat = now
	}
}

// Live returns the entries of this failure domain that are neither leaving nor
// suspected, sorted by name. This one is included unless it is leaving.
func (e *Entries) Live(now time.Time) []EntryState {
	var out []EntryState
	if !e.self.Leaving {
		out = append(out, e.self)
	}
	for _, r := range e.others {
		if !r.state.Leaving && now.Sub(r.lastHeartbeat) <= suspectAfter {
			out = append(out, r.state)
		}
	}
	slices.SortFunc(out, func(a, b EntryState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Relay returns the live entry that follows the control log for its failure domain and
// exchanges gossip with other domains: the first by name. While the views of entries
// differ there may be two relays, which only costs one more poll.
func (e *Entries) Relay(now time.Time) EntryState {
	live := e.Live(now)
	if len(live) == 0 {
		return e.self
	}
	return live[0]
}

func (e *Entries) isRelay(now time.Time) bool { return e.Relay(now).Name == e.self.Name }

// Owners returns the owner of each part of the directory, by rendezvous hashing over the
// contacts: when an entry joins or leaves, only the parts that it owns are reassigned.
// Without any contacts this entry owns all parts.
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
