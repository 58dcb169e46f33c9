package replication_test

import (
	"fmt"
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// replica is a machine and its durable storage.
type replica struct {
	machine *replication.Machine
	stored  replication.StoredState
	// applied holds every applied entry by index.
	applied map[uint64]replication.Entry
	up      bool
}

// network simulates replicas and the messages between them in one goroutine. Messages
// are pending until they are delivered, lost, or delivered twice.
type network struct {
	replicas map[replication.Node]*replica
	order    []replication.Node
	messages []replication.Message
	// committed holds the entries that any replica has applied; all others must agree.
	committed map[uint64]replication.Entry
	// committedBy is the term of the first replica that applied an entry; the entry was
	// committed in that term or an earlier one.
	committedBy map[uint64]uint64
	leaders     map[uint64]replication.Node
	fail        func(string, ...any)
	replies     []replication.Effect
	nextID      uint64
	// forgetVotes simulates a disk that loses votes because it does not sync.
	forgetVotes bool
}

func newNetwork(fail func(string, ...any), voters int) *network {
	n := &network{
		replicas: map[replication.Node]*replica{}, committed: map[uint64]replication.Entry{},
		committedBy: map[uint64]uint64{}, leaders: map[uint64]replication.Node{}, fail: fail,
	}
	var members []replication.Member
	for i := range voters {
		members = append(members, replication.Member{ID: uint64(i + 1), Node: replication.Node(fmt.Sprintf("n%d", i+1)), Voter: true})
	}
	for _, m := range members {
		n.add(m.Node, replication.StoredState{Term: 1, Snapshot: replication.Snapshot{Index: 1, Term: 1, Members: members}})
	}
	return n
}

func (n *network) add(node replication.Node, stored replication.StoredState) {
	n.replicas[node] = &replica{stored: stored, applied: map[uint64]replication.Entry{}}
	n.order = append(n.order, node)
	n.restart(node)
}

// restart starts or restarts a replica from its durable storage.
func (n *network) restart(node replication.Node) {
	r := n.replicas[node]
	r.machine = replication.New(node, uint64(slices.Index(n.order, node)), r.stored)
	r.applied = map[uint64]replication.Entry{}
	r.up = true
}

// crash is the point of a step at which a replica crashes.
type crash int

const (
	// noCrash completes the step.
	noCrash crash = iota
	// beforeSync crashes after the messages with BeforeSync, before anything is durable.
	beforeSync
	// afterSync crashes when the step is durable, before it is acknowledged or applied.
	afterSync
)

// step passes an input to a replica and carries out the effects, up to a crash.
func (n *network) step(node replication.Node, in replication.Input, at crash) {
	r := n.replicas[node]
	if !r.up {
		return
	}
	effects := r.machine.Step(in)
	if at != noCrash {
		r.up = false
		n.executeUntilCrash(r, effects, at)
		return
	}
	for _, e := range effects {
		n.execute(r, e)
	}
	last := r.machine.LastIndex()
	term, _ := r.machine.TermOf(last)
	for _, e := range r.machine.Step(replication.Persisted{Index: last, Term: term}) {
		n.execute(r, e)
	}
	if r.machine.Leading() {
		n.checkLeader(node, r)
	}
}

// executeUntilCrash carries out the effects of a step that precede a crash.
func (n *network) executeUntilCrash(r *replica, effects []replication.Effect, at crash) {
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Send:
			if e.BeforeSync {
				n.messages = append(n.messages, e.Message)
			}
		case replication.Persist, replication.Restore:
			if at == afterSync {
				n.execute(r, e)
			}
		}
	}
}

func (n *network) execute(r *replica, e replication.Effect) {
	switch e := e.(type) {
	case replication.Persist:
		n.persist(r, e)
	case replication.Send:
		n.messages = append(n.messages, e.Message)
	case replication.Apply:
		for _, entry := range e.Entries {
			n.checkApplied(r, entry)
		}
	case replication.Restore:
		r.stored.Snapshot = e.Snapshot
		r.stored.Entries = nil
	default:
		n.replies = append(n.replies, e)
	}
}

func (n *network) persist(r *replica, e replication.Persist) {
	r.stored.Term = e.Term
	r.stored.Vote = e.Vote
	if n.forgetVotes {
		r.stored.Vote = ""
	}
	for _, entry := range e.Entries {
		at := entry.Index - r.stored.Snapshot.Index - 1
		r.stored.Entries = append(r.stored.Entries[:at:at], entry)
	}
}

func (n *network) checkApplied(r *replica, entry replication.Entry) {
	known, ok := n.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		n.fail("different entries were applied at index %d: %v and %v", entry.Index, known, entry)
	}
	n.committed[entry.Index] = entry
	if _, ok := n.committedBy[entry.Index]; !ok {
		n.committedBy[entry.Index] = r.machine.Term()
	}
	r.applied[entry.Index] = entry
}

// checkLeader checks that a term has only one leader, and that its log has all entries
// committed in earlier terms. A replica that wins an old term late may lack entries
// committed in newer terms; it cannot commit anything itself.
func (n *network) checkLeader(node replication.Node, r *replica) {
	term := r.machine.Term()
	if other, ok := n.leaders[term]; ok && other != node {
		n.fail("term %d has two leaders, %s and %s", term, other, node)
	}
	if _, ok := n.leaders[term]; ok {
		return
	}
	n.leaders[term] = node
	for index, entry := range n.committed {
		if index <= r.machine.SnapshotIndex() || n.committedBy[index] > term {
			continue
		}
		held, ok := r.machine.TermOf(index)
		if !ok || held != entry.Term {
			n.fail("leader %s of term %d lacks the committed entry %d", node, term, index)
		}
	}
}

// deliver delivers the i-th pending message. With keep set, a copy stays pending.
func (n *network) deliver(i int, keep bool, at crash) {
	msg := n.messages[i]
	if !keep {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	r, ok := n.replicas[msg.To]
	if !ok || !r.up {
		return
	}
	if msg.Kind == replication.SnapshotRequest {
		msg.Snapshot.Data = []byte("state")
	}
	n.step(msg.To, replication.Receive{Message: msg}, at)
}

// maxDelivered is well above the number of messages that any exchange needs between two
// ticks.
const maxDelivered = 20000

// settle runs the network for some rounds, each of which is a tick and the delivery of all
// messages in order. Only replicas for which reachable returns true take part.
func (n *network) settle(rounds int, reachable func(replication.Node) bool) {
	for range rounds {
		for _, node := range n.order {
			if reachable(node) {
				n.step(node, replication.Tick{}, noCrash)
			}
		}
		for delivered := 0; len(n.messages) > 0; delivered++ {
			msg := n.messages[0]
			if delivered > maxDelivered {
				n.fail("the replicas still exchange messages after 20000 deliveries: %+v", n.messages[:min(len(n.messages), 4)])
			}
			if !reachable(msg.From) || !reachable(msg.To) {
				n.messages = n.messages[1:]
				continue
			}
			n.deliver(0, false, noCrash)
		}
	}
}

func allReplicas(replication.Node) bool { return true }

func without(out ...replication.Node) func(replication.Node) bool {
	return func(n replication.Node) bool { return !slices.Contains(out, n) }
}

// leader returns the leader of the highest term among the reachable replicas.
func (n *network) leader(reachable func(replication.Node) bool) (replication.Node, bool) {
	var best replication.Node
	var term uint64
	for node, r := range n.replicas {
		if r.up && reachable(node) && r.machine.Leading() && r.machine.Term() > term {
			best = node
			term = r.machine.Term()
		}
	}
	return best, term > 0
}

// propose proposes a command to a node.
func (n *network) propose(node replication.Node, data string) {
	n.nextID++
	n.step(node, replication.Propose{Commands: []replication.Command{{ID: n.nextID, Data: []byte(data)}}}, noCrash)
}

// isCommitted reports whether a command is committed.
func (n *network) isCommitted(data string) bool {
	for _, e := range n.committed {
		if string(e.Data) == data {
			return true
		}
	}
	return false
}
