package replication_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

const (
	// largeEntry is a realistic size in bytes for an entry that installs a configuration.
	largeEntry = 825_000
	// maxUnacknowledged is the number of bytes that a leader may send to a member without an
	// acknowledgement: two messages of 512 KB, and one entry beyond.
	maxUnacknowledged = 1<<20 + largeEntry
)

// entryBytes returns the size of the entries in the pending messages to a node, each entry
// counted once.
func (n *network) entryBytes(to replication.Node) int {
	sizes := map[uint64]int{}
	for _, m := range n.messages {
		if m.To != to {
			continue
		}
		for _, e := range m.Entries {
			sizes[e.Index] = len(e.Data)
		}
	}
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum
}

// newLarge returns a settled group whose log has the given number of large entries, its
// leader and a follower.
func newLarge(t *testing.T, entries int) (n *network, leader, follower replication.Node) {
	t.Helper()
	n, leader = newSettled(t, 3)
	follower = n.order[0]
	if follower == leader {
		follower = n.order[1]
	}
	for i := range entries {
		n.propose(leader, large(i))
		n.settle(1, allReplicas)
	}
	return n, leader, follower
}

func large(i int) string { return fmt.Sprint(i, strings.Repeat("x", largeEntry)) }

// TestBytesInFlightAreBounded checks that a leader sends a bounded number of bytes to a member
// that does not reply, however many large entries are proposed in the meantime, and that the
// member catches up when it replies again.
func TestBytesInFlightAreBounded(t *testing.T) {
	const changes = 20
	n, leader, slow := newLarge(t, 0)
	for i := range changes {
		n.propose(leader, large(i))
		n.deliverWithout(slow)
	}
	if sent := n.entryBytes(slow); sent > maxUnacknowledged {
		t.Errorf("%d bytes are in flight to a member that does not reply, want at most %d", sent, maxUnacknowledged)
	}
	n.settle(rounds, allReplicas)
	if diff := cmp.Diff(n.order, n.caughtUp(leader)); diff != "" {
		t.Fatalf("not all replicas have caught up: %s", diff)
	}
}

// TestNewLeaderSendsNothingThatOthersHold checks that a new leader, which does not know the
// match indexes of the others yet, sends no entries that they already have, also if their
// replies take longer than a heartbeat interval.
func TestNewLeaderSendsNothingThatOthersHold(t *testing.T) {
	n, leader, _ := newLarge(t, 4)
	for _, node := range n.order {
		n.restart(node)
	}
	n.messages = nil
	n.settle(rounds, without(leader))
	next, ok := n.leader(without(leader))
	if !ok {
		t.Fatal("no leader")
	}
	// The former leader returns, but its replies are delayed.
	for range 4 * replication.HeartbeatTicks {
		n.step(next, replication.Tick{}, noCrash)
		n.deliverWithout(leader)
	}
	if sent := n.entryBytes(leader); sent > 0 {
		t.Errorf("%d bytes are sent to a member that already has them", sent)
	}
	n.settle(rounds, allReplicas)
	if diff := cmp.Diff(n.order, n.caughtUp(next)); diff != "" {
		t.Fatalf("not all replicas have caught up: %s", diff)
	}
}

// deliverWithout delivers all messages but those from and to one node, which stay pending.
func (n *network) deliverWithout(node replication.Node) {
	for i := 0; i < len(n.messages); {
		if n.messages[i].To == node || n.messages[i].From == node {
			i++
			continue
		}
		n.deliver(i, false, noCrash)
	}
}

// caughtUp returns the replicas with the same commit index as the leader.
func (n *network) caughtUp(leader replication.Node) []replication.Node {
	var out []replication.Node
	for _, node := range n.order {
		if n.replicas[node].machine.Commit() == n.replicas[leader].machine.Commit() {
			out = append(out, node)
		}
	}
	return out
}

// TestNoSnapshotForUnresponsiveMember checks that no snapshot is sent to a member that is down,
// however long, and that one is sent at once when it replies again.
func TestNoSnapshotForUnresponsiveMember(t *testing.T) {
	n, leader, down := newLarge(t, 0)
	n.replicas[down].up = false
	n.propose(leader, "x")
	n.settle(rounds, without(down))
	index := n.replicas[leader].machine.Commit()
	n.step(leader, replication.Compacted{Index: index}, noCrash)
	count := func() int {
		snapshots := 0
		for range 40 * replication.ElectionTicks {
			n.step(leader, replication.Tick{}, noCrash)
			for len(n.messages) > 0 {
				if n.messages[0].Kind == replication.SnapshotRequest {
					snapshots++
				}
				n.deliver(0, false, noCrash)
			}
			if n.replicas[down].up {
				break
			}
		}
		return snapshots
	}
	if snapshots := count(); snapshots > 0 {
		t.Errorf("%d snapshots were sent to a member that is down", snapshots)
	}
	n.restart(down)
	for range replication.HeartbeatTicks {
		if count() > 0 {
			return
		}
	}
	t.Error("no snapshot within a heartbeat interval of the restart")
}

// TestLostSnapshotIsSentAgain loses a snapshot to a member that has just started. It must be sent
// again with the next heartbeat, and not only after snapshotRetryTicks, which allow for the
// transfer over a slow link.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	n, leader, late := newLarge(t, 0)
	n.replicas[late].up = false
	n.propose(leader, "x")
	n.settle(1, without(late))
	n.step(leader, replication.Compacted{Index: n.replicas[leader].machine.Commit()}, noCrash)
	n.messages = nil
	n.restart(late)
	sent := func() bool {
		lost := false
		for range replication.HeartbeatTicks {
			n.step(leader, replication.Tick{}, noCrash)
			for len(n.messages) > 0 {
				if n.messages[0].Kind == replication.SnapshotRequest {
					n.messages = n.messages[1:]
					lost = true
					continue
				}
				n.deliver(0, false, noCrash)
			}
		}
		return lost
	}
	if !sent() {
		t.Fatal("no snapshot was sent")
	}
	if sent() {
		t.Fatal("another snapshot was sent while the first is in flight")
	}
	n.step(leader, replication.SnapshotFailed{To: late}, noCrash)
	if !sent() {
		t.Error("no snapshot within a heartbeat interval of the loss of the first")
	}
}

// TestLostSnapshotWaitsForAnAnswer checks that a lost snapshot is not created again before the
// member replies. Each would be lost as well, and the one in flight when the member returns would
// lack the entries committed since.
func TestLostSnapshotWaitsForAnAnswer(t *testing.T) {
	n, leader, late := newLarge(t, 0)
	n.replicas[late].up = false
	sent := 0
	pump := func() {
		for len(n.messages) > 0 {
			if n.messages[0].Kind != replication.SnapshotRequest {
				n.deliver(0, false, noCrash)
				continue
			}
			n.messages = n.messages[1:]
			sent++
			n.step(leader, replication.SnapshotFailed{To: late}, noCrash)
		}
	}
	n.propose(leader, "x")
	pump()
	n.step(leader, replication.Compacted{Index: n.replicas[leader].machine.Commit()}, noCrash)
	for range replication.ElectionTicks {
		n.propose(leader, "y")
		n.step(leader, replication.Tick{}, noCrash)
		pump()
	}
	if sent > 1 {
		t.Errorf("%d snapshots were created for a member that does not reply, want at most 1", sent)
	}
	n.restart(late)
	before := sent
	for range 2 * replication.HeartbeatTicks {
		n.step(leader, replication.Tick{}, noCrash)
		pump()
	}
	if sent == before {
		t.Error("no snapshot within two heartbeat intervals of the restart")
	}
}

// TestCompactIndexBoundsEntriesAndBytes checks that the entries kept behind a snapshot are bounded
// in number and in bytes, but that the last entry is kept whatever its size.
func TestCompactIndexBoundsEntriesAndBytes(t *testing.T) {
	stored := replication.StoredState{Term: 1, Snapshot: replication.Snapshot{Index: 10, Term: 1}}
	for i, size := range []int{5, 1, 3, 2, 9} {
		stored.Entries = append(stored.Entries, replication.Entry{Index: uint64(11 + i), Term: 1, Kind: replication.EntryCommand, Data: make([]byte, size)})
	}
	m := replication.New("n", 1, stored)
	type bound struct {
		high           uint64
		entries, bytes int
	}
	got := map[bound]uint64{}
	want := map[bound]uint64{
		{15, 9, 100}: 10, // all are kept
		{15, 9, 8}:   14, // the last entry exceeds the limit
		{15, 0, 100}: 15,
		{15, 2, 100}: 13,
		{14, 9, 6}:   11,
		{14, 9, 5}:   12,
		{14, 1, 5}:   13,
		{10, 9, 100}: 10,
	}
	for b := range want {
		got[b] = m.CompactIndex(b.high, b.entries, b.bytes)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(bound{})); diff != "" {
		t.Fatal(diff)
	}
}
