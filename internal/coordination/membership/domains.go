package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// domainEvery is how many beats lie between two tellings of the failure domains by
	// an entry that does not relay.
	domainEvery = 2
	// domainSilentAfter is how long a failure domain may be silent before its entries
	// count as out of reach. News of it pass two relays and both domains' gossip, and a
	// dead relay is replaced after suspectAfter.
	domainSilentAfter = 24 * time.Second
	// domainForgetAfter is how long a silent failure domain is remembered.
	domainForgetAfter = 2 * time.Minute
)

// Contact is how an entry is reached. It is a plain value.
type Contact struct{ Name, Address string }

// DomainState lists the live entries of one failure domain, as its relay saw them. It
// is a plain value.
type DomainState struct {
	Name string
	// Beat rises with each beat of the domain's relay, whichever entry that is.
	Beat uint64
	// Members are ordered by name; the first is the relay.
	Members []Contact
}

// DomainHeartbeat says that a failure domain was alive, in few bytes.
type DomainHeartbeat struct {
	// ID and Digest are digests of the domain's name and of its members.
	ID   uint32
	Beat uint64
	// Digest tells whether the members are those that the receiver has.
	Digest uint32
}

type domain struct {
	name    string
	beat    uint64
	members []Contact
	digest  uint32
	// heard is when beat last rose here.
	heard time.Time
}

// domainID is the digest by which pulses name a failure domain.
func domainID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func digestOf(members []Contact) uint32 {
	var h xxhash.Digest
	h.Reset()
	for _, m := range members {
		_, _ = h.WriteString(m.Name + " " + m.Address + " ")
	}
	return uint32(h.Sum64())
}

// own returns this entry's failure domain with the members that it sees itself.
func (e *Entries) own(now time.Time) *domain {
	d := e.domains[domainID(e.self.FailureDomain)]
	d.members = d.members[:0:0]
	for _, s := range e.Live(now) {
		d.members = append(d.members, Contact{s.Name, s.Address})
	}
	d.digest = digestOf(d.members)
	return d
}

// beatDomains beats for the own failure domain, if this entry relays, and forgets
// those that have long been silent.
func (e *Entries) beatDomains(now time.Time) {
	own := e.own(now)
	if e.relays(now) {
		own.beat++
	}
	for id, d := range e.domains {
		if d != own && now.Sub(d.heard) > domainForgetAfter {
			delete(e.domains, id)
		}
	}
}

// otherRelays returns the addresses of the relays of other failure domains. Silent ones
// are tried too, as long as they are remembered: a cut ends for both sides alike.
func (e *Entries) otherRelays(now time.Time) []string {
	var out []string
	own := e.own(now)
	for _, d := range e.domains {
		if d != own && len(d.members) > 0 {
			out = append(out, d.members[0].Address)
		}
	}
	return out
}

// meet takes an entry of another failure domain, of which nothing may be known yet.
func (e *Entries) meet(s EntryState, now time.Time) {
	id := domainID(s.FailureDomain)
	if _, ok := e.domains[id]; ok || s.Leaving {
		return
	}
	members := []Contact{{s.Name, s.Address}}
	e.domains[id] = &domain{name: s.FailureDomain, members: members, digest: digestOf(members), heard: now}
}

// domainPulses tells of every failure domain that is not silent, or of all that are
// remembered.
func (e *Entries) domainPulses(all bool, now time.Time) []DomainHeartbeat {
	own := e.own(now)
	var out []DomainHeartbeat
	for id, d := range e.domains {
		if d == own || all || d.beat > 0 && now.Sub(d.heard) <= domainSilentAfter {
			out = append(out, DomainHeartbeat{id, d.beat, d.digest})
		}
	}
	slices.SortFunc(out, func(a, b DomainHeartbeat) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// hearDomainPulses takes pulses from an entry in the domain from, and returns the domains
// whose members have changed.
func (e *Entries) hearDomainPulses(from string, pulses []DomainHeartbeat, now time.Time) (ask []uint32) {
	own := e.own(now)
	for _, p := range pulses {
		d, ok := e.domains[p.ID]
		switch {
		case !ok:
			ask = append(ask, p.ID)
		case d == own:
			// What others say of this domain only counts on: a new relay, or a domain that
			// was restarted whole, goes on from the highest beat that anybody knows.
			d.beat = max(d.beat, p.Beat)
			if p.Digest != d.digest && from != e.self.FailureDomain {
				// Another domain knows entries of this one that are not known here.
				ask = append(ask, p.ID)
			}
		case p.Beat > d.beat && p.Digest != d.digest:
			ask = append(ask, p.ID)
		case p.Beat > d.beat:
			d.beat = p.Beat
			d.heard = now
		}
	}
	return ask
}

// hearDomain takes the members of a failure domain. Those of the own one are only
// told, and count once they answer.
func (e *Entries) hearDomain(s DomainState, now time.Time) {
	if s.Name == e.self.FailureDomain {
		e.find(s.Members)
		return
	}
	id := domainID(s.Name)
	d, ok := e.domains[id]
	if ok && s.Beat <= d.beat {
		return
	}
	e.seen[s.Name] = true
	e.domains[id] = &domain{name: s.Name, beat: s.Beat, members: s.Members, digest: digestOf(s.Members), heard: now}
}

func (e *Entries) find(members []Contact) {
	for _, m := range members {
		if _, ok := e.others[m.Name]; !ok && m.Name != e.self.Name {
			e.found = append(e.found, m.Address)
		}
	}
}

// tellDomains returns what was asked for, as far as it is known and not silent.
func (e *Entries) tellDomains(asked []uint32, now time.Time) Gossip {
	own := e.own(now)
	g := Gossip{States: []EntryState{e.self}}
	for _, id := range asked {
		d, ok := e.domains[id]
		if ok && (d == own || now.Sub(d.heard) <= domainSilentAfter) {
			g.Domains = append(g.Domains, DomainState{Name: d.name, Beat: d.beat, Members: d.members})
		}
	}
	return g
}

// DomainRequest returns a message that asks for failure domains.
func (e *Entries) DomainRequest(ids []uint32) Gossip {
	return Gossip{States: []EntryState{e.self}, Requested: ids}
}

// Contacts returns the live entries of the failure domains that near accepts, this
// entry's own domain always among them, by name.
func (e *Entries) Contacts(near func(domain string) bool, now time.Time) []Contact {
	own := e.own(now)
	out := slices.Clone(own.members)
	for _, d := range e.domains {
		if d != own && now.Sub(d.heard) <= domainSilentAfter && near(d.name) {
			out = append(out, d.members...)
		}
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// SilentDomains returns the names of the failure domains that have had entries since this
// one started, and have none in reach now.
func (e *Entries) SilentDomains(now time.Time) map[string]bool {
	out := map[string]bool{}
	for name := range e.seen {
		d, ok := e.domains[domainID(name)]
		out[name] = !ok || now.Sub(d.heard) > domainSilentAfter || len(d.members) == 0
	}
	return out
}
