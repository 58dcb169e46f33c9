package replication_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// rounds is enough time for an election and what follows it.
const rounds = 6 * replication.ElectionTicks

func newSettled(t *testing.T, voters int) (*network, replication.Node) {
	t.Helper()
	n := newNetwork(t.Fatalf, voters)
	n.settle(rounds, everyone)
	leader, ok := n.leader(everyone)
	if !ok {
		t.Fatal("no leader")
	}
	return n, leader
}

// TestLostDiskCountsNothing has a replica lose its disk and come back blank: until
// a committed change names its new incarnation, it must not help anybody to a
// majority.
func TestLostDiskCountsNothing(t *testing.T) {
	n, leader := newSettled(t, 3)
	others := slices.DeleteFunc(slices.Clone(n.order), func(x replication.Node) bool { return x == leader })
	behind, wiped := others[0], others[1]
	n.propose(leader, "kept")
	n.settle(rounds, without(behind))
	if !n.holds("kept") {
		t.Fatal("two of three did not commit")
	}
	// The disk is lost, and the leader is gone: what remains is one replica that
	// never had the entry, and one blank.
	n.replicas[wiped].up = false
	n.add("blank", replication.StoredState{})
	n.settle(10*rounds, without(leader, wiped))
	if lead, ok := n.leader(without(leader, wiped)); ok {
		t.Fatalf("%s leads without the committed entry", lead)
	}
	n.settle(rounds, without(wiped))
	if _, ok := n.leader(without(wiped)); !ok {
		t.Fatal("no leader after the return of the one that holds everything")
	}
}

// TestReplacementSurvivesSecondLoss replaces a lost replica, step by step, and
// then loses another one for good.
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
	if !n.holds("after") || !n.holds("c99") {
		t.Fatal("the group of two from three does not commit")
	}
	if _, ok := n.replicas["new"].machine.TermOf(n.replicas[leader].machine.LastIndex()); !ok {
		t.Fatal("the new replica lacks the log")
	}
}

// TestCutOffReplicaDeposesNobody cuts a replica off for a long time and lets it
// back: the leader and its term stay.
func TestCutOffReplicaDeposesNobody(t *testing.T) {
	n, leader := newSettled(t, 3)
	cut := n.order[0]
	if cut == leader {
		cut = n.order[1]
	}
	term := n.replicas[leader].machine.Term()
	n.settle(20*rounds, without(cut))
	// It holds all there is, and asks for votes.
	asked := 0
	for range 20 * rounds {
		n.step(cut, replication.Tick{}, noCrash)
		n.step(leader, replication.Tick{}, noCrash)
		for i := 0; i < len(n.messages); {
			m := n.messages[i]
			if m.From == leader && m.To != cut || m.To == leader && m.From != cut {
				n.deliver(i, false, noCrash)
				continue
			}
			if m.From == cut && m.Kind == replication.PreVoteRequest {
				asked++
				n.deliver(i, false, noCrash)
				continue
			}
			if m.To == cut && m.Kind == replication.PreVoteReply {
				n.deliver(i, false, noCrash)
				continue
			}
			i++
		}
	}
	if asked == 0 {
		t.Fatal("the replica that was cut off asked for no votes")
	}
	n.settle(rounds, everyone)
	if now, _ := n.leader(everyone); now != leader || n.replicas[leader].machine.Term() != term {
		t.Fatalf("its questions deposed %s of term %d: %s", leader, term, now)
	}
	n.messages = nil
	for i := range 300 {
		n.propose(leader, fmt.Sprintf("c%d", i))
	}
	n.settle(rounds, everyone)
	again, ok := n.leader(everyone)
	if !ok || again != leader || n.replicas[leader].machine.Term() != term {
		t.Fatalf("leader %s term %d became %s term %d", leader, term, again, n.replicas[leader].machine.Term())
	}
	if n.replicas[cut].machine.Commit() != n.replicas[leader].machine.Commit() {
		t.Fatal("the returned replica did not catch up")
	}
}

// TestThawedLeaderDoesNothing freezes a leader, lets the rest choose another, and
// thaws it: it can neither commit nor answer a read.
func TestThawedLeaderDoesNothing(t *testing.T) {
	n, frozen := newSettled(t, 3)
	n.settle(4*rounds, without(frozen))
	leader, ok := n.leader(without(frozen))
	if !ok {
		t.Fatal("no new leader")
	}
	n.propose(leader, "new")
	n.settle(rounds, without(frozen))
	n.replies = nil
	n.propose(frozen, "stale")
	n.step(frozen, replication.Read{ID: 77}, noCrash)
	n.settle(rounds, everyone)
	if n.holds("stale") || !n.holds("new") {
		t.Fatal("the thawed leader's proposal was committed, or the new leader's lost")
	}
	for _, e := range n.replies {
		if ready, ok := e.(replication.ReadReady); ok && ready.ID == 77 {
			t.Fatal("the thawed leader answered a read")
		}
	}
	if n.replicas[frozen].machine.Leading() {
		t.Fatal("the thawed leader still believes that it leads")
	}
}

// TestLonelyLeaderStepsDown cuts a leader off from all others.
func TestLonelyLeaderStepsDown(t *testing.T) {
	n, leader := newSettled(t, 3)
	for range 3 * replication.ElectionTicks {
		n.step(leader, replication.Tick{}, noCrash)
	}
	if n.replicas[leader].machine.Leading() {
		t.Fatal("a leader that hears nobody still leads")
	}
}

// TestResignedLeaderIsReplacedAtOnce has a leader step down: another leads within one
// tick, and holds what was committed; a follower's wish to resign changes nothing.
func TestResignedLeaderIsReplacedAtOnce(t *testing.T) {
	for _, voters := range []int{3, 5} {
		n, leader := newSettled(t, voters)
		n.propose(leader, "x")
		n.settle(1, everyone)
		for _, node := range n.order {
			if node != leader {
				n.step(node, replication.Resign{}, noCrash)
			}
		}
		n.settle(1, everyone)
		if now, _ := n.leader(everyone); now != leader {
			t.Fatalf("%s leads after followers resigned, not %s", now, leader)
		}
		n.step(leader, replication.Resign{}, noCrash)
		n.settle(1, everyone)
		next, ok := n.leader(everyone)
		if !ok || next == leader {
			t.Fatalf("of %d: %s leads, %v", voters, next, ok)
		}
		n.propose(next, "y")
		n.settle(1, everyone)
		if !n.holds("x") || !n.holds("y") {
			t.Fatal("a write is lost, or none is taken")
		}
	}
}

// TestReadSeesWhatWasCommitted checks that a read's index covers every commit that
// came before the read.
func TestReadSeesWhatWasCommitted(t *testing.T) {
	n, leader := newSettled(t, 3)
	n.propose(leader, "x")
	n.settle(rounds, everyone)
	n.replies = nil
	n.step(leader, replication.Read{ID: 5}, noCrash)
	n.settle(rounds, everyone)
	for _, e := range n.replies {
		if ready, ok := e.(replication.ReadReady); ok && ready.ID == 5 {
			if n.committed[ready.Index].Index == 0 || !n.holds("x") {
				t.Fatalf("the read would look at %d", ready.Index)
			}
			return
		}
	}
	t.Fatal("the read was not answered")
}

// TestTwoVotersDoNotChangeAtOnce asks for changes that could make two majorities.
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
		t.Fatal("a second change began before the first was committed", diff)
	}
}

// TestForgottenVotesAreNoticed checks the checker: a disk that forgets votes must
// make some schedule fail.
func TestForgottenVotesAreNoticed(t *testing.T) {
	failed := false
	n := newNetwork(func(string, ...any) { failed = true }, 3)
	n.forgetVotes = true
	// n1 and n2 both pass the preliminary vote; n3 votes for n1, restarts, and is
	// asked by n2 for the same term.
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
			// One that stands already would go on to another term.
			if !n.stands(candidate) {
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
		t.Fatal("two leaders of one term went unnoticed")
	}
}

// stands reports whether a replica has asked for votes.
func (n *network) stands(node replication.Node) bool {
	return slices.ContainsFunc(n.messages, func(m replication.Message) bool { return m.Kind == replication.VoteRequest && m.From == node })
}

// TestOldTermDoesNotCommitByCounting gives a new leader an acknowledgement that
// covers only an entry of the term before: a majority holds it, and it may still be
// replaced, so it must not commit.
func TestOldTermDoesNotCommitByCounting(t *testing.T) {
	n, leader := newSettled(t, 3)
	n.propose(leader, "old")
	n.messages = nil
	machine := n.replicas[leader].machine
	old := machine.LastIndex()
	// The leader restarts and leads again; the others do not have the entry.
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
		t.Fatalf("entry %d of an earlier term was committed by counting", old)
	}
}
