package fleet_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// startPeer starts an entry that others may send requests by.
func startPeer(t *testing.T, i int, seed *relayingControl, pathLost *atomic.Bool) *fleet.Follower {
	t.Helper()
	f := &fleet.Follower{
		Name: fmt.Sprint("e", i), Entry: true, FailureDomain: fmt.Sprint("d", i%3), PeerAddress: peerAddress(i), PathLost: pathLost.Load,
		Heartbeat: time.Hour, Log: discardLogger, Decode: decodeVersion, Seeds: func() []string { return []string{seed.address()} },
	}
	runFollower(t, f)
	return f
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// openPeers returns how many of the peers that a control instance tells entry i have a path.
func openPeers(t *testing.T, c *relayingControl, i int) (n int) {
	t.Helper()
	in := &wire.FleetRequest{Name: fmt.Sprint("e", i), Entry: true, PeerAddress: peerAddress(i), FailureDomain: fmt.Sprint("d", i%3)}
	out, err := wire.NewFleetProtobufClient("http://"+c.address(), http.DefaultClient).Watch(t.Context(), in)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range out.Peers {
		if !p.PathLost {
			n++
		}
	}
	return n
}

// Entries learn of a few others, whichever control instances each polls, and not of those that have lost their
// path as long as there are others. They keep them when no control instance answers any more.
func TestEntriesLearnOfPeersWithAPath(t *testing.T) {
	const n = 12
	controls := startRelayingControls(t, 5, 3, time.Hour)
	lost := make([]atomic.Bool, n)
	var entries []*fleet.Follower
	for i := range n {
		entries = append(entries, startPeer(t, i, controls[i%5], &lost[i]))
	}
	for i, f := range entries {
		// The first samples are of the entries that had polled by then.
		waitFor(t, "the entry knows eight others, the three of its own failure domain among them", func() bool {
			own := 0
			for _, p := range f.View().Peers {
				if p.Address == peerAddress(i) {
					t.Fatalf("entry %d is its own peer", i)
				}
				if p.FailureDomain == fmt.Sprint("d", i%3) {
					own++
				}
			}
			return len(f.View().Peers) == 8 && own == 3
		})
	}
	// The entries 3 to 11 lose their path: 0, 1 and 2 come first.
	for i := 3; i < n; i++ {
		lost[i].Store(true)
	}
	for i, c := range controls {
		waitFor(t, fmt.Sprintf("control instance %d knows which entries have a path", i), func() bool { return openPeers(t, c, 0) == 2 })
	}
	for i, f := range entries {
		want := map[detour.Peer]bool{}
		for j := range 3 {
			if j != i {
				want[detour.Peer{Address: peerAddress(j), FailureDomain: fmt.Sprint("d", j)}] = true
			}
		}
		waitFor(t, "the peers with a path come first", func() bool {
			peers := f.View().Peers
			got := map[detour.Peer]bool{}
			for _, p := range peers[:min(len(want), len(peers))] {
				got[p] = true
			}
			return cmp.Equal(want, got)
		})
	}
	before := entries[0].View().Peers
	for _, c := range controls {
		c.stop()
	}
	waitFor(t, "no control instance answers", func() bool { return entries[0].View().Leader == "" })
	if diff := cmp.Diff(before, entries[0].View().Peers); diff != "" {
		t.Error(diff)
	}
}

// Guards against an older report of an entry that replaces a newer one: an entry polls two control instances, and one of them
// hears later that the entry has lost its path. A third one then told either, as it happened.
func TestNewerReportOfAPathIsKept(t *testing.T) {
	const rounds = 7 // All entries fit into one sample.
	controls := startRelayingControls(t, 3, 3, time.Hour)
	poll := func(c *relayingControl, in *wire.FleetRequest) *wire.FleetResponse {
		in.Entry, in.FailureDomain, in.Relayed = true, "d0", true
		out, err := wire.NewFleetProtobufClient("http://"+c.address(), http.DefaultClient).Watch(t.Context(), in)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	reader := func() map[string]bool {
		lost := map[string]bool{}
		for _, p := range poll(controls[2], &wire.FleetRequest{Name: "reader", PeerAddress: peerAddress(0)}).Peers {
			lost[p.Address] = p.PathLost
		}
		return lost
	}
	poll(controls[0], &wire.FleetRequest{Name: "e1", PeerAddress: peerAddress(1), PathLost: true, PathChangedAt: 200})
	poll(controls[1], &wire.FleetRequest{Name: "e1", PeerAddress: peerAddress(1), PathChangedAt: 100})
	waitFor(t, "the loss is known", func() bool { return reader()[peerAddress(1)] })
	for i := range rounds {
		other := peerAddress(2 + i)
		poll(controls[i%2], &wire.FleetRequest{Name: other, PeerAddress: other, PathLost: true, PathChangedAt: 1})
		var lost map[string]bool
		waitFor(t, "a further entry is known", func() bool { lost = reader(); return lost[other] })
		if !lost[peerAddress(1)] {
			t.Fatalf("after %d further entries, the older report is told", i+1)
		}
	}
}
