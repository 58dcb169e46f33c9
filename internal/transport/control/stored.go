package control

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/state/command"
)

// recoverState combines a snapshot and the frames of the log into the state that a replica starts
// from. The log may still contain frames written before the snapshot.
func recoverState(image *command.Image, frames []*command.Frame) (replication.StoredState, []byte, error) {
	var out replication.StoredState
	var data []byte
	if image != nil {
		out.Snapshot = replication.Snapshot{Index: image.Index, Term: image.Term, Members: fromMembers(image.Members)}
		out.Term = image.Term
		data = image.Data
	}
	for _, f := range frames {
		if f.Term >= out.Term {
			out.Term = f.Term
			out.Vote = replication.Node(f.Vote)
		}
		for _, stored := range f.Entries {
			e, err := fromEntry(stored)
			if err != nil {
				return out, nil, err
			}
			err = putEntry(&out, e)
			if err != nil {
				return out, nil, err
			}
		}
	}
	return out, data, nil
}

// putEntry stores an entry at its index, and removes the entries from that index on. It ignores an
// entry that the snapshot covers.
func putEntry(out *replication.StoredState, e replication.Entry) error {
	first := out.Snapshot.Index + 1
	if e.Index < first {
		return nil
	}
	at := e.Index - first
	if at > uint64(len(out.Entries)) {
		return errors.Errorf("the log lacks the entries before %d", e.Index)
	}
	out.Entries = append(out.Entries[:at], e)
	return nil
}

func toFrame(p replication.Persist) *command.Frame {
	f := &command.Frame{Term: p.Term, Vote: string(p.Vote)}
	for _, e := range p.Entries {
		f.Entries = append(f.Entries, toEntry(e))
	}
	return f
}

func toEntry(e replication.Entry) *command.Entry {
	out := &command.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Kind == replication.EntryMembers {
		data, err := proto.Marshal(toMembers(e.Members))
		if err != nil {
			panic("control: a configuration failed to encode: " + err.Error())
		}
		out.Data = data
	}
	return out
}

func fromEntry(e *command.Entry) (replication.Entry, error) {
	out := replication.Entry{Index: e.Index, Term: e.Term, Kind: replication.EntryKind(e.Kind), Data: e.Data}
	if out.Kind != replication.EntryMembers {
		return out, nil
	}
	var members command.Members
	err := proto.Unmarshal(e.Data, &members)
	if err != nil {
		return out, errors.Wrap(err, "decode a configuration")
	}
	out.Data = nil
	out.Members = fromMembers(&members)
	return out, nil
}

func toMembers(members []replication.Member) *command.Members {
	out := &command.Members{}
	for _, m := range members {
		out.Members = append(out.Members, &command.Member{Id: m.ID, Node: string(m.Node), Address: m.Address, Voter: m.Voter, FailureDomain: m.FailureDomain})
	}
	return out
}

func fromMembers(in *command.Members) []replication.Member {
	var out []replication.Member
	for _, m := range in.GetMembers() {
		out = append(out, replication.Member{ID: m.Id, Node: replication.Node(m.Node), Address: m.Address, Voter: m.Voter, FailureDomain: m.FailureDomain})
	}
	return out
}

func toImage(s replication.Snapshot) *command.Image {
	return &command.Image{Index: s.Index, Term: s.Term, Members: toMembers(s.Members), Data: s.Data}
}
