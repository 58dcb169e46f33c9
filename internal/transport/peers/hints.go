package peers

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Hints asks the owner of a prompt's context for its hints. It returns nil if this
// entry's own directory is to be used, because this entry is the owner or the keys have
// no route, and empty hints if the owner does not answer within ownerTimeout.
func (p *Peers) Hints(ctx context.Context, keys []prefix.Key) *placement.Hints {
	route, ok := placement.Route(keys)
	if !ok {
		return nil
	}
	address, remote := p.owner(route)
	if !remote {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := p.peer(address).Find(ctx, &wire.FindRequest{Keys: wire.FromKeys(keys)})
	if err != nil {
		return &placement.Hints{}
	}
	return wire.ToHints(answer)
}

// NotifyOwner queues notes on a prompt's context for the owner of that context; keys are
// the prompt's. If this entry is the owner, the notes are stored at once.
func (p *Peers) NotifyOwner(keys []prefix.Key, notes ...placement.Note) {
	route, ok := placement.Route(keys)
	if !ok {
		return
	}
	address, remote := p.owner(route)
	if !remote {
		p.StoreNotes(notes)
		return
	}
	p.notes.Add(address, notes...)
}

// flushNotes sends the queued notes every noteFlushInterval until ctx ends.
func (p *Peers) flushNotes(ctx context.Context) {
	ticker := time.NewTicker(noteFlushInterval)
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
	// The error is ignored: correctness does not depend on notes, and a lost one costs a
	// recomputation.
	_, _ = p.peer(address).Note(ctx, request)
}
