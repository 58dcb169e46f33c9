package wire

import "github.com/shedrock/shedrock/internal/coordination/replication"

// FromMessage gives the wire form of a message between replicas. The entries'
// data is shared, not copied.
func FromMessage(m replication.Message) *Message {
	out := &Message{
		Kind: uint32(m.Kind), From: string(m.From), To: string(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Hint: m.Hint, Round: m.Round, Reject: m.Reject, Successor: m.Successor,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: FromMembers(e.Members),
		})
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &Snapshot{Index: s.Index, Term: s.Term, Members: FromMembers(s.Members), Data: s.Data}
	}
	return out
}

// ToMessage is the inverse of FromMessage.
func ToMessage(m *Message) replication.Message {
	out := replication.Message{
		Kind: replication.MessageKind(m.Kind), From: replication.Node(m.From), To: replication.Node(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Hint: m.Hint, Round: m.Round, Reject: m.Reject, Successor: m.Successor,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, replication.Entry{
			Index: e.Index, Term: e.Term, Kind: replication.EntryKind(e.Kind), Data: e.Data, Members: ToMembers(e.Members),
		})
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &replication.Snapshot{Index: s.Index, Term: s.Term, Members: ToMembers(s.Members), Data: s.Data}
	}
	return out
}

// FromMembers gives the wire form of a configuration.
func FromMembers(members []replication.Member) []*Member {
	out := make([]*Member, 0, len(members))
	for _, m := range members {
		out = append(out, &Member{Id: m.ID, Node: string(m.Node), Address: m.Address, Voter: m.Voter, FailureDomain: m.FailureDomain})
	}
	return out
}

// ToMembers is the inverse of FromMembers.
func ToMembers(members []*Member) []replication.Member {
	out := make([]replication.Member, 0, len(members))
	for _, m := range members {
		out = append(out, replication.Member{ID: m.Id, Node: replication.Node(m.Node), Address: m.Address, Voter: m.Voter, FailureDomain: m.FailureDomain})
	}
	return out
}
