package routing_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/routing"
)

// Guards against one event that breaks many runs at once and has a sound engine avoided for as long as many outages would.
func TestFailuresDuringAnEjectionDoNotProlongIt(t *testing.T) {
	for _, failures := range []int{3, 6, 8, 20} {
		u := &routing.Upstream{}
		now := time.Unix(1_700_000_000, 0)
		for range failures {
			u.NoteFailure(now)
		}
		if !u.Ejected(now) {
			t.Errorf("not ejected after %d failures", failures)
		}
		if u.Ejected(now.Add(time.Second)) {
			t.Errorf("ejected for over a second after %d failures at the same time", failures)
		}
	}
}
