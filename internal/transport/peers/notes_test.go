package peers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/transport/peers"
)

// What was taken is never written again, also when it was empty: the sender goes
// through it without the lock.
func TestTakenNotesStayAsTheyWere(t *testing.T) {
	var notes peers.Notes
	notes.Add("a", placement.Note{})
	notes.Take()
	empty := notes.Take()
	notes.Add("b", placement.Note{})
	if diff := cmp.Diff(0, len(empty)); diff != "" {
		t.Errorf("a map that was given away was written (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(notes.Take()["b"])); diff != "" {
		t.Errorf("notes after a take (-want +got):\n%s", diff)
	}
}
