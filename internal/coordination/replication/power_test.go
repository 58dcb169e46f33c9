package replication_test

import (
	"fmt"
	"testing"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// TestDisksLostAsAllOthersLosePower commits a write that only a bare majority has, and then has
// up to a minority of the replicas lose their disks while all others lose power, together with
// all messages in flight. For every such set of replicas, those that still have disks must elect
// a leader that has the write. The others return with blank disks, as other incarnations, and
// have no vote.
func TestDisksLostAsAllOthersLosePower(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for lost := range 1 << voters {
			if bits(lost) > voters/2 {
				continue
			}
			for holders := range 1 << voters {
				if bits(holders) == voters/2 {
					loseDisks(t, voters, lost, holders)
				}
			}
		}
	}
}

// loseDisks replicates a write to the followers in holders, makes the replicas in lost lose their
// disks and restarts the others. Both sets are bit masks over the network's order.
func loseDisks(t *testing.T, voters, lost, holders int) {
	n, leader := newSettled(t, voters)
	all := n.order
	n.messages = nil
	n.propose(leader, "write")
	for i, node := range all {
		if holders&(1<<i) != 0 && node != leader {
			n.deliverTo(node, noCrash)
		}
	}
	n.deliverTo(leader, noCrash)
	if !n.isCommitted("write") {
		// The leader itself is in holders, so that no majority has the write.
		return
	}
	n.messages = nil
	var gone []replication.Node
	for i, node := range all {
		if lost&(1<<i) != 0 {
			gone = append(gone, node)
			n.replicas[node].up = false
			n.add(replication.Node(fmt.Sprint("blank-", node)), replication.StoredState{})
			continue
		}
		n.restart(node)
	}
	n.settle(10*rounds, without(gone...))
	if _, ok := n.leader(without(gone...)); !ok {
		t.Fatalf("of %d voters, with the disks %b lost and the write at %b: no leader", voters, lost, holders)
	}
	// checkLeader has checked that the leader has the committed write.
}

func bits(set int) int {
	n := 0
	for ; set > 0; set &= set - 1 {
		n++
	}
	return n
}
