package peers

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Hints returns what the owner of a prompt's context knows of it; nil means that
// this entry's own directory is to be asked. An owner that does not answer in time
// is not waited for.
func (p *Peers) Hints(ctx context.Context, keys []prefix.Key) *placement.Hints {
	route, ok := placement.Route(keys)
	if !ok {
		return nil
	}
	address, other := p.owner(route)
	if !other {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answer, err := p.peer(address).Find(ctx, &wire.FindRequest{Keys: wire.FromKeys(keys)})
	if err != nil {
		return &placement.Hints{}
	}
	return wire.ToHints(answer)
}

// NotifyOwner tells the owner of a prompt's context what became of it; keys are the
// prompt's. Notes for this entry are applied at once.
func (p *Peers) NotifyOwner(keys []prefix.Key, notes ...placement.Note) {
	route, ok := placement.Route(keys)
	if !ok {
		return
	}
	address, other := p.owner(route)
	if !other {
		p.StoreNotes(notes)
		return
	}
	p.notes.Add(address, notes...)
}

// flush sends the notes that wait.
func (p *Peers) flush(ctx context.Context) {
	ticker := time.NewTicker(noteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for address, notes := range p.notes.Take() {
			go p.sendNotes(ctx, address, notes)
		}
	}
}

func (p *Peers) sendNotes(ctx context.Context, address string, notes []placement.Note) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	request := &wire.NoteRequest{}
	for _, n := range notes {
		request.Notes = append(request.Notes, wire.FromNote(n))
	}
	// A lost note costs a recomputation, and says nothing that must be known.
	_, _ = p.peer(address).Note(ctx, request)
}
