package peers

import (
	"context"
	"math"

	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// service implements the calls of other entries.
type service struct{ p *Peers }

// Gossip merges the state of another entry, and answers with the state that it lacks.
func (s service) Gossip(_ context.Context, in *wire.GossipMessage) (*wire.GossipMessage, error) {
	answer := wire.FromGossip(s.p.receive(in))
	s.p.replyWithFacts(in, answer)
	return answer, nil
}

// Find answers from this entry's part of the directory.
func (s service) Find(_ context.Context, in *wire.FindRequest) (*wire.FindResponse, error) {
	keys, ok := wire.ToKeys(in.Keys)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	return wire.FromHints(s.p.LookUpHints(keys)), nil
}

// Note stores notes in this entry's part of the directory. While views of the membership
// differ, two entries may both own a part; each then holds some of the hints, all of them
// valid.
func (s service) Note(_ context.Context, in *wire.NoteRequest) (*wire.NoteResponse, error) {
	var notes []placement.Note
	for _, m := range in.Notes {
		n, ok := wire.ToNote(m)
		if !ok {
			return nil, twirp.InvalidArgumentError("notes", "a key has the wrong length")
		}
		notes = append(notes, n)
	}
	s.p.StoreNotes(notes)
	return &wire.NoteResponse{}, nil
}

// Lend lends tokens of a team's limit. It does not check that this entry is the owner: in the
// caller's view of the membership it is.
func (s service) Lend(_ context.Context, in *wire.LendRequest) (*wire.LendResponse, error) {
	if !(in.Cost > 0) {
		return nil, twirp.InvalidArgumentError("cost", "a number above 0 is needed")
	}
	loan := s.p.GrantLoan(in.Team, in.Cost)
	return &wire.LendResponse{Tokens: loan.Tokens, RetryAfterMilliseconds: uint32(min(loan.RetryAfter.Milliseconds(), math.MaxUint32))}, nil
}
