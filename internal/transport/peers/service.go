package peers

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// service answers other entries.
type service struct{ p *Peers }

// Gossip takes what another entry knows. One that is new here is told everything; the
// others hear of the rest when it is their turn.
func (s service) Gossip(_ context.Context, in *wire.GossipMessage) (*wire.GossipMessage, error) {
	if !s.p.hear(in) {
		return &wire.GossipMessage{}, nil
	}
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return wire.FromGossip(s.p.entries.Tell(true, time.Now())), nil
}

// Find answers from this entry's part of the directory.
func (s service) Find(_ context.Context, in *wire.FindRequest) (*wire.FindResponse, error) {
	keys, ok := wire.ToKeys(in.Keys)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	return wire.FromHints(s.p.Find(keys)), nil
}

// Note takes notes into this entry's part of the directory. Two entries may both
// believe that they own a part; then each holds hints, and none of them is wrong.
func (s service) Note(_ context.Context, in *wire.NoteRequest) (*wire.NoteResponse, error) {
	var notes []placement.Note
	for _, m := range in.Notes {
		n, ok := wire.ToNote(m)
		if !ok {
			return nil, twirp.InvalidArgumentError("notes", "a key has the wrong length")
		}
		notes = append(notes, n)
	}
	s.p.Apply(notes)
	return &wire.NoteResponse{}, nil
}
