package replication_test

import (
	"fmt"
	"testing"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// TestDisksLostAsAllOthersLosePower answers a write that just a majority holds, and at that moment
// as many replicas as may be lost at once lose their disks and all others lose power: what is on
// its way is lost with them. Whichever replicas it strikes, those with disks go on by themselves
// and hold the write; the blank ones, which come back under other names, give no vote.
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

// loseDisks has the followers of a set hold a write beside the leader, and a set lose their disks.
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
	if !n.holds("write") {
		// The leader is in the set itself, so that no majority holds the write.
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
		t.Fatalf("of %d voters, with the disks %b lost and the write at %b: nobody leads", voters, lost, holders)
	}
	// That whoever leads holds what was committed is checked as it begins to lead.
}

func bits(set int) int {
	n := 0
	for ; set > 0; set &= set - 1 {
		n++
	}
	return n
}
