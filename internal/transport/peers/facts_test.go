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
	// endsKnownWithin is how soon all entries must know of a request under which instances ended.
	endsKnownWithin = 3 * time.Second
	// runTime is how long before its instance ends a request was sent there.
	runTime = 100 * time.Millisecond
)

var deadlyRequest = quarantine.DigestOf("team", []string{"/deadly"}, nil)

// see has an entry see that an instance ended under the deadly request.
func (m *member) see(instance string) {
	m.Ends.RecordBroken(context.Background(), ends.Attempt{Request: "r", Digest: deadlyRequest, To: registry.Instance{ID: instance, Address: "at " + instance}, Sent: time.Now().Add(-runTime)}, refuses)
}

func (m *member) holds() bool {
	verdict, c, done := m.Ends.Begin(deadlyRequest)
	done()
	_, hold := verdict.(quarantine.Hold)
	return hold && c.Held
}

// Each of three entries in two failure domains sees one end, and all know of three; so does one
// that starts later, from whichever entry it finds first. An end that two entries see is one.
func TestEndsAreKnownToAllEntries(t *testing.T) {
	all := startThree(t)
	began := time.Now()
	all[0].see("u1")
	all[1].see("u1")
	all[1].see("u2")
	eventually(t, "two ends are known", func() bool { return known(all) == 2*len(all) })
	for _, m := range all {
		if m.holds() {
			t.Error("two ends are taken for three")
		}
	}
	all[2].see("u3")
	late := start(t, "e4", "d3", all[2].Listener.Addr().String())
	for _, m := range append(all, late) {
		eventually(t, "three ends are known", m.holds)
	}
	if took := time.Since(began); took > endsKnownWithin {
		t.Errorf("it took %s", took)
	}
}

// known returns how many ends all entries know of, together.
func known(all []*member) int {
	n := 0
	for _, m := range all {
		_, c, done := m.Ends.Begin(deadlyRequest)
		done()
		n += c.Ends
	}
	return n
}

// refuses says that an instance's address refuses connections.
func refuses(context.Context, registry.Instance) bool { return true }
