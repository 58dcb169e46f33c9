package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// domainGossipTicks is the number of ticks between two messages with domain heartbeats
	// from an entry that is not the relay of its failure domain.
	domainGossipTicks = 2
	// domainSilentAfter is the time without a heartbeat after which a failure domain's
	// entries count as unreachable. It must allow for gossip within both domains, for the
	// hops through two relays, and for suspectAfter, after which a dead relay is replaced.
	domainSilentAfter = 24 * time.Second
	// domainForgetAfter is the time without a heartbeat after which the record of a
	// failure domain is deleted.
	domainForgetAfter = 2 * time.Minute
)

// Contact is the name and address of an entry. It is a plain value.
type Contact struct{ Name, Address string }

// DomainState lists the live entries of one failure domain as its relay sees them. It
// is a plain value.
type DomainState struct {
	Name string
	// Beat is the domain's heartbeat counter. The relay increments it at each tick; it
	// continues to rise when another entry becomes the relay.
	Beat uint64
	// Members are sorted by name; the first is the relay.
	Members []Contact
}

// DomainHeartbeat is the compact form of a DomainState: the heartbeat counter, and a
// digest of the members in place of their list.
type DomainHeartbeat struct {
	// ID is a digest of the domain's name.
	ID   uint32
	Beat uint64
	// Digest is a digest of the members; the receiver compares it with its own.
	Digest uint32
}

type domain struct {
	name    string
	beat    uint64
	members []Contact
	digest  uint32
	// lastHeartbeat is the local time at which beat last rose.
	lastHeartbeat time.Time
}

// domainID returns the digest that identifies a failure domain in heartbeats.
func domainID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func digestOf(members []Contact) uint32 {
	var h xxhash.Digest
	h.Reset()
	for _, m := range members {
		_, _ = h.WriteString(m.Name + " " + m.Address + " ")
	}
	return uint32(h.Sum64())
}

// ownDomain returns the record of this entry's failure domain, with its members
// refreshed from the local view.
func (e *Entries) ownDomain(now time.Time) *domain {
	d := e.domains[domainID(e.self.FailureDomain)]
	d.members = d.members[:0:0]
	for _, s := range e.Live(now) {
		d.members = append(d.members, Contact{s.Name, s.Address})
	}
	d.digest = digestOf(d.members)
	return d
}

// tickDomains increments the heartbeat counter of this entry's failure domain if this
// entry is the relay, and deletes domains that have been silent for domainForgetAfter.
func (e *Entries) tickDomains(now time.Time) {
	ownDomain := e.ownDomain(now)
	if e.isRelay(now) {
		ownDomain.beat++
	}
	for id, d := range e.domains {
		if d != ownDomain && now.Sub(d.lastHeartbeat) > domainForgetAfter {
			delete(e.domains, id)
		}
	}
}

// otherRelays returns the addresses of the relays of other failure domains. It includes
// silent domains until their record is deleted, because a healed partition is only
// noticed when one side contacts the other.
func (e *Entries) otherRelays(now time.Time) []string {
	var out []string
	ownDomain := e.ownDomain(now)
	for _, d := range e.domains {
		if d != ownDomain && len(d.members) > 0 {
			out = append(out, d.members[0].Address)
		}
	}
	return out
}

// addDomainOf adds a record for the failure domain of an entry, if there is none yet. The
// entry is the only known member until the domain's relay sends the list.
func (e *Entries) addDomainOf(s EntryState, now time.Time) {
	id := domainID(s.FailureDomain)
	if _, ok := e.domains[id]; ok || s.Leaving {
		return
	}
	members := []Contact{{s.Name, s.Address}}
	e.domains[id] = &domain{name: s.FailureDomain, members: members, digest: digestOf(members), lastHeartbeat: now}
}

// domainHeartbeats returns the heartbeats of all failure domains that are not silent, or
// of all that have a record.
func (e *Entries) domainHeartbeats(all bool, now time.Time) []DomainHeartbeat {
	ownDomain := e.ownDomain(now)
	var out []DomainHeartbeat
	for id, d := range e.domains {
		if d == ownDomain || all || d.beat > 0 && now.Sub(d.lastHeartbeat) <= domainSilentAfter {
			out = append(out, DomainHeartbeat{id, d.beat, d.digest})
		}
	}
	slices.SortFunc(out, func(a, b DomainHeartbeat) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// receiveDomainHeartbeats processes heartbeats from an entry of the domain from, and
// returns the IDs of the domains whose members are unknown or outdated here.
func (e *Entries) receiveDomainHeartbeats(from string, heartbeats []DomainHeartbeat, now time.Time) (outdated []uint32) {
	ownDomain := e.ownDomain(now)
	for _, h := range heartbeats {
		d, ok := e.domains[h.ID]
		switch {
		case !ok:
			outdated = append(outdated, h.ID)
		case d == ownDomain:
			// For this entry's own domain only the counter is taken over, so that a new
			// relay, or a domain that was restarted as a whole, continues from the highest
			// counter that any entry has seen.
			d.beat = max(d.beat, h.Beat)
			if h.Digest != d.digest && from != e.self.FailureDomain {
				// The other domain may list entries of this one that are not known here.
				outdated = append(outdated, h.ID)
			}
		case h.Beat > d.beat && h.Digest != d.digest:
			outdated = append(outdated, h.ID)
		case h.Beat > d.beat:
			d.beat = h.Beat
			d.lastHeartbeat = now
		}
	}
	return outdated
}

// receiveDomain stores the member list of a failure domain. Unknown members of this
// entry's own domain are only queued as gossip targets; they become members when they
// reply.
func (e *Entries) receiveDomain(s DomainState, now time.Time) {
	if s.Name == e.self.FailureDomain {
		e.queueDiscovered(s.Members)
		return
	}
	id := domainID(s.Name)
	d, ok := e.domains[id]
	if ok && s.Beat <= d.beat {
		return
	}
	e.seenDomains[s.Name] = true
	e.domains[id] = &domain{name: s.Name, beat: s.Beat, members: s.Members, digest: digestOf(s.Members), lastHeartbeat: now}
}

func (e *Entries) queueDiscovered(members []Contact) {
	for _, m := range members {
		if _, ok := e.others[m.Name]; !ok && m.Name != e.self.Name {
			e.discovered = append(e.discovered, m.Address)
		}
	}
}

// domainsReply returns the states of the requested domains, except those that are
// unknown or silent.
func (e *Entries) domainsReply(requested []uint32, now time.Time) Gossip {
	ownDomain := e.ownDomain(now)
	g := Gossip{States: []EntryState{e.self}}
	for _, id := range requested {
		d, ok := e.domains[id]
		if ok && (d == ownDomain || now.Sub(d.lastHeartbeat) <= domainSilentAfter) {
			g.Domains = append(g.Domains, DomainState{Name: d.name, Beat: d.beat, Members: d.members})
		}
	}
	return g
}

// DomainRequest returns a message that requests the states of failure domains.
func (e *Entries) DomainRequest(ids []uint32) Gossip {
	return Gossip{States: []EntryState{e.self}, Requested: ids}
}

// Contacts returns the live entries of the failure domains that near accepts and of this
// entry's own domain, sorted by name.
func (e *Entries) Contacts(near func(domain string) bool, now time.Time) []Contact {
	var out []Contact
	for _, contacts := range e.ContactsByDomain(near, now) {
		out = append(out, contacts...)
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ContactsByDomain returns the same entries as Contacts by failure domain.
func (e *Entries) ContactsByDomain(near func(domain string) bool, now time.Time) map[string][]Contact {
	ownDomain := e.ownDomain(now)
	out := map[string][]Contact{ownDomain.name: ownDomain.members}
	for _, d := range e.domains {
		if d != ownDomain && now.Sub(d.lastHeartbeat) <= domainSilentAfter && near(d.name) {
			out[d.name] = d.members
		}
	}
	return out
}

// SilentDomains returns every other failure domain that has had entries since this one
// started. The value is true when none of the domain's entries are reachable now.
func (e *Entries) SilentDomains(now time.Time) map[string]bool {
	out := map[string]bool{}
	for name := range e.seenDomains {
		d, ok := e.domains[domainID(name)]
		out[name] = !ok || now.Sub(d.lastHeartbeat) > domainSilentAfter || len(d.members) == 0
	}
	return out
}
