package replication_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

const (
	// largeEntry is the size of an entry that installs a configuration as it was seen, in
	// bytes.
	largeEntry = 825_000
	// mostInFlight is what a leader may send to a member before it hears from it: two
	// messages of 512 KB, and one entry beyond.
	mostInFlight = 1<<20 + largeEntry
)

// entryBytes sums up the entries of the messages that wait for a node, each entry once.
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

// newLarge returns a settled group whose log has many large entries, and a follower.
func newLarge(t *testing.T, entries int) (n *network, leader, follower replication.Node) {
	t.Helper()
	n, leader = newSettled(t, 3)
	follower = n.order[0]
	if follower == leader {
		follower = n.order[1]
	}
	for i := range entries {
		n.propose(leader, large(i))
		n.settle(1, everyone)
	}
	return n, leader, follower
}

func large(i int) string { return fmt.Sprint(i, strings.Repeat("x", largeEntry)) }

// A leader sends a member that does not answer a bounded number of bytes, however many
// large entries it takes meanwhile; the member catches up when it answers again.
func TestBytesInFlightAreBounded(t *testing.T) {
	const changes = 20
	n, leader, slow := newLarge(t, 0)
	for i := range changes {
		n.propose(leader, large(i))
		n.deliverWithout(slow)
	}
	if sent := n.entryBytes(slow); sent > mostInFlight {
		t.Errorf("%d bytes are on their way to one that does not answer, must be at most %d", sent, mostInFlight)
	}
	n.settle(rounds, everyone)
	if diff := cmp.Diff(n.order, n.synced(leader)); diff != "" {
		t.Fatalf("not all hold all: %s", diff)
	}
}

// A new leader does not know yet what the others hold. It asks, and sends none of the log
// that they hold already, also when their answers take longer than a heartbeat.
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
	// The third one comes back, and its answers are slow.
	for range 4 * replication.HeartbeatTicks {
		n.step(next, replication.Tick{}, noCrash)
		n.deliverWithout(leader)
	}
	if sent := n.entryBytes(leader); sent > 0 {
		t.Errorf("%d bytes are sent to a member that holds them", sent)
	}
	n.settle(rounds, everyone)
	if diff := cmp.Diff(n.order, n.synced(next)); diff != "" {
		t.Fatalf("not all hold all: %s", diff)
	}
}

// deliverWithout delivers all messages but those from and to one node, which wait on.
func (n *network) deliverWithout(node replication.Node) {
	for i := 0; i < len(n.messages); {
		if n.messages[i].To == node || n.messages[i].From == node {
			i++
			continue
		}
		n.deliver(i, false, noCrash)
	}
}

// synced returns the replicas that have committed what the leader has.
func (n *network) synced(leader replication.Node) []replication.Node {
	var out []replication.Node
	for _, node := range n.order {
		if n.replicas[node].machine.Commit() == n.replicas[leader].machine.Commit() {
			out = append(out, node)
		}
	}
	return out
}

// A member that is gone is sent no snapshot, however long; when it answers again it is
// sent one at once.
func TestSnapshotIsForThoseThatAnswer(t *testing.T) {
	n, leader, gone := newLarge(t, 0)
	n.replicas[gone].up = false
	n.propose(leader, "x")
	n.settle(rounds, without(gone))
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
			if n.replicas[gone].up {
				break
			}
		}
		return snapshots
	}
	if snapshots := count(); snapshots > 0 {
		t.Errorf("%d snapshots were sent to a member that is gone", snapshots)
	}
	n.restart(gone)
	for range replication.HeartbeatTicks {
		if count() > 0 {
			return
		}
	}
	t.Error("no snapshot within a heartbeat of the return")
}

// A snapshot that was lost on its way to a member that had just started is sent again with the next
// heartbeat, and not only after the time in which one crosses a slow link.
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
		t.Fatal("another one was sent while the first is on its way")
	}
	n.step(leader, replication.SnapshotFailed{To: late}, noCrash)
	if !sent() {
		t.Error("no snapshot within a heartbeat of the loss of the first")
	}
}

// A snapshot that was lost is not made again before the member answers. Each would be lost as well,
// and the one that is on its way when the member returns would lack what was committed since.
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
		t.Errorf("%d snapshots were made for a member that answers nothing", sent)
	}
	n.restart(late)
	before := sent
	for range 2 * replication.HeartbeatTicks {
		n.step(leader, replication.Tick{}, noCrash)
		pump()
	}
	if sent == before {
		t.Error("no snapshot within two heartbeats of the return")
	}
}

// What stays behind a snapshot is bounded in entries and in bytes, but the last entry stays
// whatever its size.
func TestBehindBoundsEntriesAndBytes(t *testing.T) {
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
		{15, 9, 100}: 10, // all
		{15, 9, 8}:   14, // the last is larger
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
