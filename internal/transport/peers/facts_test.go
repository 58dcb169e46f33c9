package peers_test

import (
	"context"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

const (
	// propagationTimeout is how soon all entries must know that instances ended under a request.
	propagationTimeout = 3 * time.Second
	// attemptDuration is the time from sending a request to an instance to the end of the instance.
	attemptDuration = 100 * time.Millisecond
)

var poisonRequest = quarantine.DigestOf("team", []string{"/deadly"}, nil)

// recordEnd makes an entry record that an instance ended under the poison request.
func (m *member) recordEnd(instance string) {
	m.Ends.RecordBroken(context.Background(), ends.Attempt{Request: "r", Digest: poisonRequest, To: registry.Instance{ID: instance, Address: "at " + instance}, Sent: time.Now().Add(-attemptDuration)}, refuses)
}

func (m *member) holdsRequest() bool {
	verdict, c, done := m.Ends.Begin(poisonRequest)
	done()
	_, hold := verdict.(quarantine.Hold)
	return hold && c.Held
}

// Each of three entries in two failure domains observes the end of another instance. All entries must
// learn of all three ends, and so must an entry that starts later and is seeded with only one of
// them. An end observed by two entries counts once.
func TestEndsAreKnownToAllEntries(t *testing.T) {
	all := startThree(t)
	began := time.Now()
	all[0].recordEnd("u1")
	all[1].recordEnd("u1")
	all[1].recordEnd("u2")
	eventually(t, "all entries know of two ends", func() bool { return totalEnds(all) == 2*len(all) })
	for _, m := range all {
		if m.holdsRequest() {
			t.Error("an entry holds the request after two ends, want three")
		}
	}
	all[2].recordEnd("u3")
	late := start(t, "e4", "d3", all[2].Listener.Addr().String())
	for _, m := range append(all, late) {
		eventually(t, "the entry holds the request after three ends", m.holdsRequest)
	}
	if took := time.Since(began); took > propagationTimeout {
		t.Errorf("ends were known to all entries after %s, want at most %s", took, propagationTimeout)
	}
}

// totalEnds returns the sum of the numbers of ends that each entry knows of.
func totalEnds(all []*member) int {
	n := 0
	for _, m := range all {
		_, c, done := m.Ends.Begin(poisonRequest)
		done()
		n += c.Ends
	}
	return n
}

// refuses reports that an instance's address refuses connections.
func refuses(context.Context, registry.Instance) bool { return true }
