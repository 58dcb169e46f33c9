package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// entryStatus is what an entry reported about itself in its last poll.
type entryStatus struct {
	polledAt time.Time
	// evacuations is the newest revision of evacuations that the entry has in force.
	evacuations uint64
	// standby is true if another control instance is its primary.
	standby bool
	peer    entryPeer
}

// entryPeer is an entry as other entries reach it. Address is empty if they do not.
type entryPeer struct {
	detour.Peer
	// pathLost is true while the entry does not reach the instances of some service, and pathChangedAt is when
	// that changed last, in milliseconds by the entry's clock.
	pathLost      bool
	pathChangedAt int64
}

// newer reports whether p is from a later report of the same entry than other.
func (p entryPeer) newer(other entryPeer) bool { return p.pathChangedAt > other.pathChangedAt }

func (p entryPeer) toWire() *wire.EntryPeer {
	return &wire.EntryPeer{Address: p.Address, FailureDomain: p.FailureDomain, PathLost: p.pathLost, PathChangedAt: p.pathChangedAt}
}

func toEntryPeer(in *wire.EntryPeer) entryPeer {
	return entryPeer{detour.Peer{Address: in.Address, FailureDomain: in.FailureDomain}, in.PathLost, in.PathChangedAt}
}

// entryTable holds the entries that polled lately. The zero value is empty.
type entryTable struct {
	// polled holds the status of each entry that polled this control instance, by name.
	polled map[string]entryStatus
	// names holds their names, and all those of the entries that polled any control instance; both
	// are in ascending order. change numbers the changes of names.
	names, all []string
	change     uint64
	// relayed holds the names that other control instances reported, and relayedPeers how they are reached.
	relayed      []string
	relayedPeers map[string]entryPeer
	// peersChange numbers the changes of how any entry is reached, from 1.
	peersChange uint64
}

// recordPoll records a poll of an entry.
func (t *entryTable) recordPoll(in *wire.FleetRequest, now time.Time) {
	before, known := t.polled[in.Name]
	if t.polled == nil {
		t.polled = map[string]entryStatus{}
	}
	peer := entryPeer{detour.Peer{Address: in.PeerAddress, FailureDomain: in.FailureDomain}, in.PathLost, in.PathChangedAt}
	t.polled[in.Name] = entryStatus{polledAt: now, evacuations: in.Evacuations, standby: in.Standby, peer: peer}
	if known && before.peer == peer {
		return
	}
	t.change++
	t.peersChange++
	if known {
		return
	}
	t.names = insertSorted(t.names, in.Name)
	t.all = insertSorted(t.all, in.Name)
}

// fullPollers returns the number of entries whose primary this control instance is.
func (t *entryTable) fullPollers() int {
	n := 0
	for _, s := range t.polled {
		if !s.standby {
			n++
		}
	}
	return n
}

// insertSorted returns a sorted list with a name added unless it contains it. The list is copied, as
// it may have been published.
func insertSorted(list []string, name string) []string {
	i, found := slices.BinarySearch(list, name)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), i, name)
}

// expire removes the entries that have not polled for entryLifetime.
func (t *entryTable) expire(now time.Time) {
	before := len(t.polled)
	maps.DeleteFunc(t.polled, func(_ string, s entryStatus) bool { return now.Sub(s.polledAt) > entryLifetime })
	if len(t.polled) == before {
		return
	}
	t.change++
	t.peersChange++
	t.names = slices.Sorted(maps.Keys(t.polled))
	t.merge()
}

// setRelayed sets the entries that other control instances reported.
func (t *entryTable) setRelayed(peers map[string]entryPeer) {
	if maps.Equal(t.relayedPeers, peers) {
		return
	}
	t.relayedPeers = peers
	t.peersChange++
	t.relayed = slices.Sorted(maps.Keys(peers))
	t.merge()
}

// sample returns the peers that an entry learns of. Those without a path come last, as all may
// lack the path to a service that is down.
func (t *entryTable) sample(name, domain string) []entryPeer {
	known := maps.Clone(t.relayedPeers)
	if known == nil {
		known = map[string]entryPeer{}
	}
	for other, s := range t.polled {
		if p, relayed := known[other]; !relayed || !p.newer(s.peer) {
			known[other] = s.peer
		}
	}
	delete(known, name)
	var open, lost []detour.Peer
	byPeer := make(map[detour.Peer]entryPeer, len(known))
	for _, p := range known {
		byPeer[p.Peer] = p
		switch {
		case p.Address == "":
		case p.pathLost:
			lost = append(lost, p.Peer)
		default:
			open = append(open, p.Peer)
		}
	}
	var out []entryPeer
	for _, p := range detour.Sample(name, domain, open, lost) {
		out = append(out, byPeer[p])
	}
	return out
}

// merge updates the names of all entries.
func (t *entryTable) merge() {
	all := slices.Concat(t.names, t.relayed)
	slices.Sort(all)
	t.all = slices.Compact(all)
}

// discountPause excludes the time for which this process was suspended from the silence of entries.
func (t *entryTable) discountPause(missed time.Duration, now time.Time) {
	for name, s := range t.polled {
		s.polledAt = s.polledAt.Add(min(missed, now.Sub(s.polledAt)))
		t.polled[name] = s
	}
}

// rank returns an entry's rank by name among all entries that polled lately.
func (t *entryTable) rank(name string) uint32 {
	i, _ := slices.BinarySearch(t.all, name)
	return uint32(i)
}

// countEntries returns the number of entries that polled any control instance lately, including those
// restored after a restart of this control instance; mu must be held.
func (s *Source) countEntries() int {
	if clock.Since(s.restoredAt) > entryLifetime {
		return len(s.entries.all)
	}
	return max(len(s.entries.all), s.restoredEntries)
}

// addEntries adds the names of the entries that poll this control instance, for a control instance
// that relays them; mu must be held.
func (s *Source) addEntries(in *wire.FleetRequest, out *wire.FleetResponse) {
	if !in.Relays {
		return
	}
	out.EntriesChange = s.entries.change
	if in.Epoch == out.Epoch && in.EntriesChange == s.entries.change {
		return
	}
	out.EntryNames = s.entries.names
	for _, name := range s.entries.names {
		out.EntryPeers = append(out.EntryPeers, s.entries.polled[name].peer.toWire())
	}
}

// addPeers adds the peers of an entry if they may have changed since its last poll; mu must be held.
func (s *Source) addPeers(in *wire.FleetRequest, out *wire.FleetResponse) {
	if !in.Entry || in.PeerAddress == "" {
		return
	}
	out.PeersChange = s.entries.peersChange
	if in.Epoch == out.Epoch && in.PeersChange == s.entries.peersChange {
		return
	}
	for _, p := range s.entries.sample(in.Name, in.FailureDomain) {
		out.Peers = append(out.Peers, p.toWire())
	}
}
