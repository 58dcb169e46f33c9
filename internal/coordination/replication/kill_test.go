package replication_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// killed says at which step of a write a replica is killed.
type killed int

const (
	killedBeforeSync killed = iota
	killedAfterSync
	killedAfterAnswer
)

// TestKillAtEachStepOfAWrite kills the leader or a follower before it has synced a
// write, after the sync before it says so, and after the write was answered; or the
// leader together with a follower. The rest goes on by itself where it is a majority, an
// answered write stays, and all agree when the killed are back.
func TestKillAtEachStepOfAWrite(t *testing.T) {
	steps := map[killed]string{killedBeforeSync: "before the sync", killedAfterSync: "after the sync", killedAfterAnswer: "after the answer"}
	for _, voters := range []int{3, 5} {
		for at, step := range steps {
			for _, who := range []string{"leader", "follower", "both"} {
				t.Run(fmt.Sprintf("%s of %d %s", who, voters, step), func(t *testing.T) { killInWrite(t, voters, who, at) })
			}
		}
	}
}

func killInWrite(t *testing.T, voters int, who string, at killed) {
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
	// A leader may send a write while it still syncs it: the follower may have it alone.
	n.step(leader, replication.Propose{Commands: []replication.Command{{ID: 1, Data: []byte("write")}}}, leaderCrash)
	n.deliverTo(follower, followerCrash)
	if at == killedAfterAnswer {
		n.settle(1, everyone)
	}
	answered := n.holds("write")
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
		t.Fatalf("with %d of %d alive, somebody leads: %v", voters-len(dead), voters, leads)
	}
	if leads {
		n.propose(next, "next")
		n.settle(rounds, without(dead...))
		if !n.holds("next") {
			t.Fatal("the rest does not go on")
		}
	}
	for _, node := range dead {
		n.restart(node)
	}
	n.settle(2*rounds, everyone)
	last, ok := n.leader(everyone)
	if !ok {
		t.Fatal("nobody leads after the restart")
	}
	n.propose(last, "last")
	n.settle(rounds, everyone)
	if answered && !n.holds("write") {
		t.Fatal("an answered write is lost")
	}
	for _, node := range n.order {
		if diff := cmp.Diff(n.committed, n.replicas[node].applied); diff != "" {
			t.Fatalf("%s: %s", node, diff)
		}
	}
}

func crashOf(at killed) crash {
	return map[killed]crash{killedBeforeSync: beforeSync, killedAfterSync: afterSync, killedAfterAnswer: noCrash}[at]
}

// deliverTo delivers what waits for one replica.
func (n *network) deliverTo(node replication.Node, at crash) {
	for i := 0; i < len(n.messages); i++ {
		if n.messages[i].To == node {
			n.deliver(i, false, at)
			i--
		}
	}
}

// TestAnswerRestsOnSyncedCopies kills a follower over a write that it alone has beside
// the leader, and then the leader: what was answered must be in the follower's log.
func TestAnswerRestsOnSyncedCopies(t *testing.T) {
	for _, at := range []killed{killedBeforeSync, killedAfterSync, killedAfterAnswer} {
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
		if answered := n.holds("write"); answered != (at == killedAfterAnswer) {
			t.Fatalf("step %d: answered %v", at, answered)
		}
		n.replicas[leader].up = false
		n.restart(follower)
		n.settle(2*rounds, without(leader))
		if _, ok := n.leader(without(leader)); !ok {
			t.Fatalf("step %d: nobody leads", at)
		}
		// That the new leader holds what was committed is checked as it begins to lead.
	}
}
