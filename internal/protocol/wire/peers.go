package wire

import (
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// FromKeys gives the wire form of keys: their bytes, one after another.
func FromKeys(keys []prefix.Key) []byte {
	out := make([]byte, 0, len(keys)*prefix.KeySize)
	for _, k := range keys {
		out = append(out, k[:]...)
	}
	return out
}

// ToKeys is the inverse of FromKeys; ok is false when the length is wrong.
func ToKeys(b []byte) (keys []prefix.Key, ok bool) {
	if len(b)%prefix.KeySize != 0 {
		return nil, false
	}
	for ; len(b) > 0; b = b[prefix.KeySize:] {
		keys = append(keys, prefix.Key(b[:prefix.KeySize]))
	}
	return keys, true
}

// FromGossip gives the wire form of what an entry tells another.
func FromGossip(g membership.Gossip) *GossipMessage {
	out := &GossipMessage{}
	for _, s := range g.States {
		out.Entries = append(out.Entries, &EntryState{
			Name: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Start: s.Start, Beat: s.Beat, Leaving: s.Leaving,
		})
	}
	for _, p := range g.Heartbeats {
		out.Ids = append(out.Ids, p.ID)
		out.Beats = append(out.Beats, p.Beat)
	}
	for _, p := range g.DomainHeartbeats {
		out.DomainIds = append(out.DomainIds, p.ID)
		out.DomainBeats = append(out.DomainBeats, p.Beat)
		out.DomainDigests = append(out.DomainDigests, p.Digest)
	}
	for _, d := range g.Domains {
		m := &DomainState{Name: d.Name, Beat: d.Beat}
		for _, c := range d.Members {
			m.Names = append(m.Names, c.Name)
			m.Addresses = append(m.Addresses, c.Address)
		}
		out.Domains = append(out.Domains, m)
	}
	out.Asked = g.Requested
	return out
}

// ToGossip is the inverse of FromGossip; what lacks its counterpart, such as a heartbeat ID
// without its counter, is left out.
func ToGossip(m *GossipMessage) membership.Gossip {
	var out membership.Gossip
	for _, s := range m.GetEntries() {
		out.States = append(out.States, membership.EntryState{
			Name: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Start: s.Start, Beat: s.Beat, Leaving: s.Leaving,
		})
	}
	for i, id := range m.GetIds() {
		if i < len(m.Beats) {
			out.Heartbeats = append(out.Heartbeats, membership.Heartbeat{ID: id, Beat: m.Beats[i]})
		}
	}
	for i, id := range m.GetDomainIds() {
		if i < len(m.DomainBeats) && i < len(m.DomainDigests) {
			out.DomainHeartbeats = append(out.DomainHeartbeats, membership.DomainHeartbeat{ID: id, Beat: m.DomainBeats[i], Digest: m.DomainDigests[i]})
		}
	}
	for _, d := range m.GetDomains() {
		state := membership.DomainState{Name: d.Name, Beat: d.Beat}
		for i, name := range d.Names {
			if i < len(d.Addresses) {
				state.Members = append(state.Members, membership.Contact{Name: name, Address: d.Addresses[i]})
			}
		}
		out.Domains = append(out.Domains, state)
	}
	out.Requested = m.GetAsked()
	return out
}

// FromHints gives the wire form of what a directory knows of a prompt.
func FromHints(h *placement.Hints) *FindResponse {
	out := &FindResponse{}
	for _, c := range h.Cached {
		out.Cached = append(out.Cached, &CachedAt{Upstream: c.Upstream, Blocks: uint32(c.Blocks), Used: c.Used})
	}
	for _, k := range h.Objects {
		out.Objects = append(out.Objects, fromKept(k))
	}
	return out
}

// ToHints is the inverse of FromHints.
func ToHints(m *FindResponse) *placement.Hints {
	h := &placement.Hints{}
	for _, c := range m.Cached {
		h.Cached = append(h.Cached, placement.CachedAt{Upstream: c.Upstream, Blocks: int(c.Blocks), Used: c.Used})
	}
	for _, k := range m.Objects {
		h.Objects = append(h.Objects, toKept(k))
	}
	return h
}

func fromKept(k placement.StoredObject) *KeptObject {
	return &KeptObject{
		Store: k.Store, Incarnation: k.Incarnation, Object: k.Object, Generation: k.Generation,
		Blocks: uint32(k.Blocks), End: uint32(k.End),
	}
}

func toKept(k *KeptObject) placement.StoredObject {
	return placement.StoredObject{
		Store: k.Store, Incarnation: k.Incarnation, Object: k.Object, Generation: k.Generation,
		Blocks: int(k.Blocks), End: int(k.End),
	}
}

// FromNote gives the wire form of a note.
func FromNote(n placement.Note) *ContextNote {
	out := &ContextNote{Key: n.Key[:], Blocks: uint32(n.Blocks), Upstream: n.Upstream, Refused: n.Refused}
	if n.Object != nil {
		out.Object = fromKept(*n.Object)
		out.Parent = n.Parent[:]
		out.Team = n.Team
	}
	return out
}

// ToNote is the inverse of FromNote; ok is false when a key has the wrong length.
func ToNote(m *ContextNote) (n placement.Note, ok bool) {
	if len(m.Key) != prefix.KeySize {
		return n, false
	}
	n = placement.Note{Key: prefix.Key(m.Key), Blocks: int(m.Blocks), Upstream: m.Upstream, Refused: m.Refused}
	if m.Object == nil {
		return n, true
	}
	if len(m.Parent) != prefix.KeySize {
		return n, false
	}
	kept := toKept(m.Object)
	n.Object = &kept
	n.Team = m.Team
	n.Parent = prefix.Key(m.Parent)
	return n, true
}
