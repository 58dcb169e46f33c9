package replication_test

import (
	"testing"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// TestGroupThatStartsElectsSoon starts all replicas of a group at once, or some of them a little
// later. No request is served before a leader is elected. Of the groups, 95 % must have a leader
// within 5 ticks of the start of a majority, and all within 20. A regular election timeout would
// be too long here, and is not needed: there is no earlier leader that an election could depose.
func TestGroupThatStartsElectsSoon(t *testing.T) {
	const groups, soon, most = 200, 5, 20
	for _, voters := range []int{3, 5} {
		for late := range 3 {
			slow := 0
			for seed := range uint64(groups) {
				took := ticksToElect(t, voters, late, seed)
				if took > most {
					t.Fatalf("%d voters, %d ticks late, seed %d: no leader after %d ticks", voters, late, seed, took)
				}
				if took > soon {
					slow++
				}
			}
			if slow > groups/20 {
				t.Errorf("%d voters, %d ticks late: %d of %d groups took longer than %d ticks to elect a leader", voters, late, slow, groups, soon)
			}
		}
	}
}

// ticksToElect starts a minority of a group, and the rest the given number of ticks later. It
// returns the number of ticks from then until a leader is elected.
func ticksToElect(t *testing.T, voters, late int, seed uint64) int {
	n := newNetwork(t.Fatalf, voters)
	for i, node := range n.order {
		n.replicas[node].machine = replication.New(node, seed*uint64(voters)+uint64(i), n.replicas[node].stored)
		n.replicas[node].up = i < voters/2
	}
	n.settle(late, allReplicas)
	for _, node := range n.order {
		n.replicas[node].up = true
	}
	for took := range 10 * replication.ElectionTicks {
		if _, ok := n.leader(allReplicas); ok {
			return took
		}
		n.settle(1, allReplicas)
	}
	return 10 * replication.ElectionTicks
}
