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

// Gossip takes what another entry knows, and tells what this one does.
func (s service) Gossip(_ context.Context, in *wire.GossipMessage) (*wire.GossipMessage, error) {
	s.p.hear(in)
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return wire.FromEntries(s.p.entries.State(time.Now())), nil
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
