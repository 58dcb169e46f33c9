package peers

import (
	"sync"

	"github.com/shedrock/shedrock/internal/coordination/placement"
)

// maxNotes bounds the notes that wait for one owner; more are lost, and cost a
// recomputation each.
const maxNotes = 4096

// Notes holds the notes that wait for their owners, by address. It is safe for
// concurrent use, and its zero value is empty.
type Notes struct {
	mu sync.Mutex
	// waiting is guarded by mu, and belongs to Take's caller once Take returned it:
	// a map that was given away is never written again.
	waiting map[string][]placement.Note
}

// Add queues notes for one owner, unless too many wait for it.
func (n *Notes) Add(address string, notes ...placement.Note) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting == nil {
		n.waiting = map[string][]placement.Note{}
	}
	if len(n.waiting[address]) < maxNotes {
		n.waiting[address] = append(n.waiting[address], notes...)
	}
}

// Take returns what waits and leaves nothing.
func (n *Notes) Take() map[string][]placement.Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.waiting
	n.waiting = nil
	return taken
}
