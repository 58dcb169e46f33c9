package peers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/transport/peers"
)

// A map returned by Take must not be written again, even if it was empty: the sender
// iterates over it without holding the lock.
func TestTakenNotesAreNotModified(t *testing.T) {
	var notes peers.NoteQueue
	notes.Add("a", placement.Note{})
	notes.Take()
	empty := notes.Take()
	notes.Add("b", placement.Note{})
	if diff := cmp.Diff(0, len(empty)); diff != "" {
		t.Errorf("notes in a map that Take had returned (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(notes.Take()["b"])); diff != "" {
		t.Errorf("notes queued after Take (-want +got):\n%s", diff)
	}
}
