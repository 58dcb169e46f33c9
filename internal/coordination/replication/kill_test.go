package replication_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// killPoint is the point of a write at which a replica is killed.
type killPoint int

const (
	killedBeforeSync killPoint = iota
	killedAfterSync
	killedAfterAnswer
)

// TestKillAtEachStepOfAWrite kills the leader, a follower, or both: before they sync a
// write, after the sync but before they acknowledge it, and after the write was answered.
// The remaining replicas must continue if they are a majority, an answered write must not
// be lost, and all replicas must agree after a restart of those that were killed.
func TestKillAtEachStepOfAWrite(t *testing.T) {
	steps := map[killPoint]string{killedBeforeSync: "before the sync", killedAfterSync: "after the sync", killedAfterAnswer: "after the answer"}
	for _, voters := range []int{3, 5} {
		for at, step := range steps {
			for _, who := range []string{"leader", "follower", "both"} {
				t.Run(fmt.Sprintf("%s of %d %s", who, voters, step), func(t *testing.T) { killInWrite(t, voters, who, at) })
			}
		}
	}
}

func killInWrite(t *testing.T, voters int, who string, at killPoint) {
	n, leader := newSettled(t, voters)
	var follower replication.Node
	for _, node := range n.order {
		if node != leader {
			follower = node
		}
	}
	leaderCrash, followerCrash := crashOf(at), crashOf(at)
	if who == "leader" {
		followerCrash = noCrash
	}
	if who == "follower" {
		leaderCrash = noCrash
	}
	n.messages = nil
	// A leader may send a write before it has synced it, so only the follower may have it.
	n.step(leader, replication.Propose{Commands: []replication.Command{{ID: 1, Data: []byte("write")}}}, leaderCrash)
	n.deliverTo(follower, followerCrash)
	if at == killedAfterAnswer {
		n.settle(1, allReplicas)
	}
	answered := n.isCommitted("write")
	if at == killedAfterAnswer && !answered {
		t.Fatal("the write was not answered")
	}
	dead := map[string][]replication.Node{"leader": {leader}, "follower": {follower}, "both": {leader, follower}}[who]
	for _, node := range dead {
		n.replicas[node].up = false
	}
	n.settle(rounds, without(dead...))
	next, leads := n.leader(without(dead...))
	if majority := voters-len(dead) > voters/2; leads != majority {
		t.Fatalf("with %d of %d voters alive: leader elected: %v", voters-len(dead), voters, leads)
	}
	if leads {
		n.propose(next, "next")
		n.settle(rounds, without(dead...))
		if !n.isCommitted("next") {
			t.Fatal("the remaining majority does not commit")
		}
	}
	for _, node := range dead {
		n.restart(node)
	}
	n.settle(2*rounds, allReplicas)
	last, ok := n.leader(allReplicas)
	if !ok {
		t.Fatal("no leader after the restart")
	}
	n.propose(last, "last")
	n.settle(rounds, allReplicas)
	if answered && !n.isCommitted("write") {
		t.Fatal("an answered write is lost")
	}
	for _, node := range n.order {
		if diff := cmp.Diff(n.committed, n.replicas[node].applied); diff != "" {
			t.Fatalf("%s: %s", node, diff)
		}
	}
}

func crashOf(at killPoint) crash {
	return map[killPoint]crash{killedBeforeSync: beforeSync, killedAfterSync: afterSync, killedAfterAnswer: noCrash}[at]
}

// deliverTo delivers the pending messages to one replica.
func (n *network) deliverTo(node replication.Node, at crash) {
	for i := 0; i < len(n.messages); i++ {
		if n.messages[i].To == node {
			n.deliver(i, false, at)
			i--
		}
	}
}

// TestAnswerRestsOnSyncedCopies replicates a write to one follower only, kills the follower at
// each point of it, and then the leader. The write must be answered only if the follower has
// synced it, and an answered write must be in the new leader's log.
func TestAnswerRestsOnSyncedCopies(t *testing.T) {
	for _, at := range []killPoint{killedBeforeSync, killedAfterSync, killedAfterAnswer} {
		n, leader := newSettled(t, 3)
		follower := n.order[0]
		if follower == leader {
			follower = n.order[1]
		}
		n.messages = nil
		n.propose(leader, "write")
		n.deliverTo(follower, crashOf(at))
		n.deliverTo(leader, noCrash)
		n.messages = nil
		if answered := n.isCommitted("write"); answered != (at == killedAfterAnswer) {
			t.Fatalf("kill point %d: answered %v", at, answered)
		}
		n.replicas[leader].up = false
		n.restart(follower)
		n.settle(2*rounds, without(leader))
		if _, ok := n.leader(without(leader)); !ok {
			t.Fatalf("kill point %d: no leader", at)
		}
		// checkLeader has checked that the new leader has the committed entries.
	}
}
