package peers

import (
	"sync"

	"github.com/shedrock/shedrock/internal/coordination/placement"
)

// maxQueuedNotes is the number of notes queued for one owner from which on more are
// dropped. Each dropped note costs a recomputation.
const maxQueuedNotes = 4096

// NoteQueue holds the notes that are to be sent, by the address of their owner. It is safe for
// concurrent use, and its zero value is empty.
type NoteQueue struct {
	mu sync.Mutex
	// queued is guarded by mu. Once Take has returned a map it belongs to the caller,
	// and is not written again.
	queued map[string][]placement.Note
}

// Add queues notes for one owner, or drops them if its queue is full.
func (n *NoteQueue) Add(address string, notes ...placement.Note) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queued == nil {
		n.queued = map[string][]placement.Note{}
	}
	if len(n.queued[address]) < maxQueuedNotes {
		n.queued[address] = append(n.queued[address], notes...)
	}
}

// Take returns all queued notes and empties the queue.
func (n *NoteQueue) Take() map[string][]placement.Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	notes := n.queued
	n.queued = nil
	return notes
}
