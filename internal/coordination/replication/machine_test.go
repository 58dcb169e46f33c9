package replication_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// rounds is enough for an election and the exchange that follows it.
const rounds = 6 * replication.ElectionTicks

func newSettled(t *testing.T, voters int) (*network, replication.Node) {
	t.Helper()
	n := newNetwork(t.Fatalf, voters)
	n.settle(rounds, allReplicas)
	leader, ok := n.leader(allReplicas)
	if !ok {
		t.Fatal("no leader")
	}
	return n, leader
}

// TestReplicaWithLostDiskHasNoVote has a replica lose its disk and return blank. It must
// not count towards a majority until a committed change makes its new incarnation a
// voter, because it has forgotten the entries that it acknowledged.
func TestReplicaWithLostDiskHasNoVote(t *testing.T) {
	n, leader := newSettled(t, 3)
	others := slices.DeleteFunc(slices.Clone(n.order), func(x replication.Node) bool { return x == leader })
	lagging, wiped := others[0], others[1]
	n.propose(leader, "kept")
	n.settle(rounds, without(lagging))
	if !n.isCommitted("kept") {
		t.Fatal("two of three voters did not commit")
	}
	// With the disk lost and the leader unreachable, one replica that never had the entry
	// and one blank replica remain.
	n.replicas[wiped].up = false
	n.add("blank", replication.StoredState{})
	n.settle(10*rounds, without(leader, wiped))
	if lead, ok := n.leader(without(leader, wiped)); ok {
		t.Fatalf("%s became leader without the committed entry", lead)
	}
	n.settle(rounds, without(wiped))
	if _, ok := n.leader(without(wiped)); !ok {
		t.Fatal("no leader after the return of the replica that has all entries")
	}
}

// TestReplacementSurvivesSecondLoss replaces a lost replica step by step, and then loses
// another one permanently. The group must still commit.
func TestReplacementSurvivesSecondLoss(t *testing.T) {
	n, leader := newSettled(t, 3)
	others := slices.DeleteFunc(slices.Clone(n.order), func(x replication.Node) bool { return x == leader })
	lost, second := others[0], others[1]
	n.replicas[lost].up = false
	for i := range 100 {
		n.propose(leader, fmt.Sprintf("c%d", i))
	}
	n.add("new", replication.StoredState{})
	members := slices.Clone(n.replicas[leader].machine.Members())
	members = append(members, replication.Member{ID: 9, Node: "new"})
	change := func(next []replication.Member) {
		n.step(leader, replication.ProposeMembers{Members: next}, noCrash)
		n.settle(rounds, without(lost))
		if diff := cmp.Diff(next, n.replicas[leader].machine.Members()); diff != "" || !n.replicas[leader].machine.MembersCommitted() {
			t.Fatalf("the change was not committed: %s", diff)
		}
	}
	change(members)
	voter := slices.Clone(members)
	voter[3].Voter = true
	change(voter)
	change(slices.DeleteFunc(slices.Clone(voter), func(m replication.Member) bool { return m.Node == lost }))
	n.replicas[second].up = false
	n.propose(leader, "after")
	n.settle(rounds, without(lost, second))
	if !n.isCommitted("after") || !n.isCommitted("c99") {
		t.Fatal("two of the three voters do not commit after the replacement")
	}
	if _, ok := n.replicas["new"].machine.TermOf(n.replicas[leader].machine.LastIndex()); !ok {
		t.Fatal("the new replica lacks the last entry of the log")
	}
}

// TestPartitionedReplicaDeposesNoLeader partitions a replica for a long time and heals
// the partition. The leader and its term must stay, although the replica requests votes.
func TestPartitionedReplicaDeposesNoLeader(t *testing.T) {
	n, leader := newSettled(t, 3)
	partitioned := n.order[0]
	if partitioned == leader {
		partitioned = n.order[1]
	}
	term := n.replicas[leader].machine.Term()
	n.settle(20*rounds, without(partitioned))
	// Its log is up-to-date, so that only the contact with the leader makes others reject
	// its pre-vote requests.
	requests := 0
	for range 20 * rounds {
		n.step(partitioned, replication.Tick{}, noCrash)
		n.step(leader, replication.Tick{}, noCrash)
		for i := 0; i < len(n.messages); {
			m := n.messages[i]
			if m.From == leader && m.To != partitioned || m.To == leader && m.From != partitioned {
				n.deliver(i, false, noCrash)
				continue
			}
			if m.From == partitioned && m.Kind == replication.PreVoteRequest {
				requests++
				n.deliver(i, false, noCrash)
				continue
			}
			if m.To == partitioned && m.Kind == replication.PreVoteReply {
				n.deliver(i, false, noCrash)
				continue
			}
			i++
		}
	}
	if requests == 0 {
		t.Fatal("the partitioned replica sent no pre-vote requests")
	}
	n.settle(rounds, allReplicas)
	if now, _ := n.leader(allReplicas); now != leader || n.replicas[leader].machine.Term() != term {
		t.Fatalf("pre-vote requests deposed leader %s of term %d; the leader is %s", leader, term, now)
	}
	n.messages = nil
	for i := range 300 {
		n.propose(leader, fmt.Sprintf("c%d", i))
	}
	n.settle(rounds, allReplicas)
	again, ok := n.leader(allReplicas)
	if !ok || again != leader || n.replicas[leader].machine.Term() != term {
		t.Fatalf("leader changed from %s in term %d to %s in term %d", leader, term, again, n.replicas[leader].machine.Term())
	}
	if n.replicas[partitioned].machine.Commit() != n.replicas[leader].machine.Commit() {
		t.Fatal("the replica did not catch up after the partition healed")
	}
}

// TestResumedLeaderCannotCommitOrRead pauses a leader until the others have elected a new
// one, and resumes it. It must neither commit a proposal nor answer a read.
func TestResumedLeaderCannotCommitOrRead(t *testing.T) {
	n, paused := newSettled(t, 3)
	n.settle(4*rounds, without(paused))
	leader, ok := n.leader(without(paused))
	if !ok {
		t.Fatal("no new leader")
	}
	n.propose(leader, "new")
	n.settle(rounds, without(paused))
	n.replies = nil
	n.propose(paused, "stale")
	n.step(paused, replication.Read{ID: 77}, noCrash)
	n.settle(rounds, allReplicas)
	if n.isCommitted("stale") || !n.isCommitted("new") {
		t.Fatal("the resumed leader's proposal was committed, or the new leader's was lost")
	}
	for _, e := range n.replies {
		if ready, ok := e.(replication.ReadReady); ok && ready.ID == 77 {
			t.Fatal("the resumed leader answered a read")
		}
	}
	if n.replicas[paused].machine.Leading() {
		t.Fatal("the resumed leader still considers itself the leader")
	}
}

// TestIsolatedLeaderStepsDown checks that a leader that receives no replies steps down.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	n, leader := newSettled(t, 3)
	for range 3 * replication.ElectionTicks {
		n.step(leader, replication.Tick{}, noCrash)
	}
	if n.replicas[leader].machine.Leading() {
		t.Fatal("a leader that receives no replies did not step down")
	}
}

// TestResignedLeaderIsReplacedAtOnce has a leader resign. Another must lead within one tick
// and have all committed entries. A Resign input to a follower must have no effect.
func TestResignedLeaderIsReplacedAtOnce(t *testing.T) {
	for _, voters := range []int{3, 5} {
		n, leader := newSettled(t, voters)
		n.propose(leader, "x")
		n.settle(1, allReplicas)
		for _, node := range n.order {
			if node != leader {
				n.step(node, replication.Resign{}, noCrash)
			}
		}
		n.settle(1, allReplicas)
		if now, _ := n.leader(allReplicas); now != leader {
			t.Fatalf("%s is the leader after Resign inputs to the followers, want %s", now, leader)
		}
		n.step(leader, replication.Resign{}, noCrash)
		n.settle(1, allReplicas)
		next, ok := n.leader(allReplicas)
		if !ok || next == leader {
			t.Fatalf("%d voters: leader %q (found: %v) one tick after the resignation, want a new one", voters, next, ok)
		}
		n.propose(next, "y")
		n.settle(1, allReplicas)
		if !n.isCommitted("x") || !n.isCommitted("y") {
			t.Fatal("a write was lost, or the new leader commits none")
		}
	}
}

// TestReadSeesWhatWasCommitted checks that the index of a read covers every entry that was
// committed before the read.
func TestReadSeesWhatWasCommitted(t *testing.T) {
	n, leader := newSettled(t, 3)
	n.propose(leader, "x")
	n.settle(rounds, allReplicas)
	n.replies = nil
	n.step(leader, replication.Read{ID: 5}, noCrash)
	n.settle(rounds, allReplicas)
	for _, e := range n.replies {
		if ready, ok := e.(replication.ReadReady); ok && ready.ID == 5 {
			if n.committed[ready.Index].Index == 0 || !n.isCommitted("x") {
				t.Fatalf("the read has index %d, at which nothing is committed, or the write is not committed", ready.Index)
			}
			return
		}
	}
	t.Fatal("the read was not answered")
}

// TestTwoVotersDoNotChangeAtOnce proposes configuration changes that could result in two
// disjoint majorities. They must be refused.
func TestTwoVotersDoNotChangeAtOnce(t *testing.T) {
	n, leader := newSettled(t, 3)
	members := slices.Clone(n.replicas[leader].machine.Members())
	swapped := slices.Clone(members)
	for i := range swapped {
		if swapped[i].Node != leader {
			swapped[i].Node = "swapped"
			break
		}
	}
	n.step(leader, replication.ProposeMembers{Members: swapped}, noCrash)
	if diff := cmp.Diff(members, n.replicas[leader].machine.Members()); diff != "" {
		t.Fatal(diff)
	}
	one := append(slices.Clone(members), replication.Member{ID: 8, Node: "a", Voter: true})
	n.step(leader, replication.ProposeMembers{Members: one}, noCrash)
	two := append(slices.Clone(one), replication.Member{ID: 9, Node: "b", Voter: true})
	n.step(leader, replication.ProposeMembers{Members: two}, noCrash)
	if diff := cmp.Diff(one, n.replicas[leader].machine.Members()); diff != "" {
		t.Fatal("a second change was accepted before the first was committed", diff)
	}
}

// TestForgottenVotesAreNoticed verifies the checks of the simulated network: with a disk
// that loses votes, two leaders are elected in one term, and a check must fail.
func TestForgottenVotesAreNoticed(t *testing.T) {
	failed := false
	n := newNetwork(func(string, ...any) { failed = true }, 3)
	n.forgetVotes = true
	// n1 and n2 both win the pre-vote. n3 votes for n1, restarts, and receives a vote
	// request from n2 for the same term.
	pass := func(ok func(replication.Message) bool) {
		for i := 0; i < len(n.messages) && !failed; {
			if !ok(n.messages[i]) {
				i++
				continue
			}
			n.deliver(i, false, noCrash)
			i = 0
		}
	}
	preliminary := func(m replication.Message) bool {
		return (m.Kind == replication.PreVoteRequest && m.To == "n3") || (m.Kind == replication.PreVoteReply && m.From == "n3")
	}
	candidates := []replication.Node{"n1", "n2"}
	for range 3 * replication.ElectionTicks {
		for _, candidate := range candidates {
			// Another tick could move a candidate on to a later term.
			if !n.requestsVotes(candidate) {
				n.step(candidate, replication.Tick{}, noCrash)
			}
		}
		pass(preliminary)
	}
	for _, candidate := range candidates {
		pass(func(m replication.Message) bool {
			return m.Kind == replication.VoteRequest && m.From == candidate && m.To == "n3" || m.Kind == replication.VoteReply && m.To == candidate
		})
		n.restart("n3")
	}
	if !failed {
		t.Fatal("the checks did not detect two leaders in one term")
	}
}

// requestsVotes reports whether a vote request of a replica is pending.
func (n *network) requestsVotes(node replication.Node) bool {
	return slices.ContainsFunc(n.messages, func(m replication.Message) bool { return m.Kind == replication.VoteRequest && m.From == node })
}

// TestOldTermDoesNotCommitByCounting sends a new leader an acknowledgement that covers only
// an entry of an earlier term. Although a majority has the entry, it could still be
// replaced, so it must not be committed.
func TestOldTermDoesNotCommitByCounting(t *testing.T) {
	n, leader := newSettled(t, 3)
	n.propose(leader, "old")
	n.messages = nil
	machine := n.replicas[leader].machine
	old := machine.LastIndex()
	// The leader restarts and is elected again. The others do not have the entry.
	n.restart(leader)
	for _, node := range n.order {
		for range replication.ElectionTicks {
			n.step(node, replication.Tick{}, noCrash)
		}
	}
	n.messages = nil
	for !n.replicas[leader].machine.Leading() {
		n.step(leader, replication.Tick{}, noCrash)
		for len(n.messages) > 0 && !n.replicas[leader].machine.Leading() {
			n.deliver(0, false, noCrash)
		}
	}
	n.messages = nil
	machine = n.replicas[leader].machine
	other := n.order[0]
	if other == leader {
		other = n.order[1]
	}
	n.step(leader, replication.Receive{Message: replication.Message{
		Kind: replication.AppendReply, From: other, To: leader, Term: machine.Term(), LogIndex: old,
	}}, noCrash)
	if machine.Commit() >= old {
		t.Fatalf("entry %d of an earlier term was committed by counting replicas", old)
	}
}
