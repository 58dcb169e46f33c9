package replication_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// TestRandomFaults runs random schedules of message loss, delay and duplication, crashes,
// lost disks and replacements. It checks after every step that a term has one leader, that
// every leader has all committed entries, and that all replicas apply the same entries.
func TestRandomFaults(t *testing.T) {
	var commits, terms, changes int
	rapid.Check(t, func(t *rapid.T) {
		n := randomFaults(t, 150)
		commits += len(n.committed)
		terms += len(n.leaders)
		for _, e := range n.committed {
			if e.Kind == replication.EntryMembers {
				changes++
			}
		}
	})
	t.Logf("%d entries committed in %d terms, %d of them configuration changes", commits, terms, changes)
	if commits == 0 || terms == 0 || changes == 0 {
		t.Fatal("the schedules had no commits, no elections or no configuration changes")
	}
}

// TestSoakRandomFaults runs longer schedules; see "make soak".
func TestSoakRandomFaults(t *testing.T) {
	if os.Getenv("SHEDROCK_SOAK") == "" {
		t.Skip("set SHEDROCK_SOAK to run the long schedules")
	}
	for range 50 {
		rapid.Check(t, func(t *rapid.T) { randomFaults(t, 3000) })
	}
}

func randomFaults(t *rapid.T, steps int) *network {
	n := newNetwork(t.Fatalf, 3)
	fresh := 3
	// rapid prefers small numbers, which would make schedules in which one replica does
	// everything, so it only draws the seed.
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "seed")))
	draw := random.IntN
	for range steps {
		node := n.order[draw(len(n.order))]
		switch action := draw(24); {
		case action < 6:
			n.step(node, replication.Tick{}, randomCrash(draw))
		case action < 14 && len(n.messages) > 0:
			n.deliver(draw(min(len(n.messages), 6)), draw(10) == 0, randomCrash(draw))
		case action == 14 && len(n.messages) > 0:
			n.messages = n.messages[1:]
		case action < 17:
			n.propose(node, fmt.Sprintf("c%d", n.nextID))
		case action < 20 && !n.replicas[node].up:
			n.restart(node)
		case action == 20:
			randomChange(n, node, &fresh, draw)
		case action == 21 && draw(2) == 0:
			n.step(node, replication.Resign{}, randomCrash(draw))
		case action == 21:
			compact(n, node)
		case action >= 22:
			// A period in which one replica is partitioned from the others.
			partitioned := n.order[draw(len(n.order))]
			n.settle(1+draw(2*replication.ElectionTicks), without(partitioned))
		}
	}
	for _, node := range n.order {
		if !n.replicas[node].up {
			n.restart(node)
		}
	}
	return n
}

// randomCrash crashes one step in twenty, half of them before and half after the sync.
func randomCrash(draw func(int) int) crash {
	switch draw(40) {
	case 0:
		return beforeSync
	case 1:
		return afterSync
	}
	return noCrash
}

// randomChange proposes the next step of replacing a random replica by a blank one, if the
// node is the leader.
func randomChange(n *network, node replication.Node, fresh *int, draw func(int) int) {
	r := n.replicas[node]
	if !r.up || !r.machine.Leading() {
		return
	}
	members := slices.Clone(r.machine.Members())
	i := draw(len(members))
	switch {
	case !members[i].Voter:
		if r.machine.MatchIndex(members[i].Node)+4 < r.machine.LastIndex() {
			return
		}
		members[i].Voter = true
	case len(members) > 3:
		members = slices.Delete(members, i, i+1)
	case *fresh < 6:
		*fresh++
		added := replication.Node(fmt.Sprintf("n%d", *fresh))
		n.add(added, replication.StoredState{})
		members = append(members, replication.Member{ID: members[i].ID, Node: added})
	}
	n.step(node, replication.ProposeMembers{Members: members}, noCrash)
}

func compact(n *network, node replication.Node) {
	r := n.replicas[node]
	if !r.up || r.machine.Commit() == r.machine.SnapshotIndex() {
		return
	}
	index := r.machine.Commit()
	term, _ := r.machine.TermOf(index)
	members := r.machine.MembersAt(index)
	rest := r.machine.EntriesAfter(index)
	n.step(node, replication.Compacted{Index: index}, noCrash)
	r.stored.Snapshot = replication.Snapshot{Index: index, Term: term, Members: members}
	r.stored.Entries = slices.Clone(rest)
}
