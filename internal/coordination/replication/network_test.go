package replication_test

import (
	"fmt"
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// replica is a machine with its durable storage.
type replica struct {
	machine *replication.Machine
	stored  replication.StoredState
	// applied holds every entry handed over, by index.
	applied map[uint64]replication.Entry
	up      bool
}

// network joins replicas in one goroutine. Messages wait until they are delivered,
// lost or delivered twice.
type network struct {
	replicas map[replication.Node]*replica
	order    []replication.Node
	messages []replication.Message
	// committed is what any replica has applied; every other must agree.
	committed map[uint64]replication.Entry
	// committedBy is a term by which each was committed at the latest.
	committedBy map[uint64]uint64
	leaders     map[uint64]replication.Node
	fail        func(string, ...any)
	replies     []replication.Effect
	nextID      uint64
	// forgetVotes is the fault of a disk that does not sync.
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

// restart starts a replica from its durable storage.
func (n *network) restart(node replication.Node) {
	r := n.replicas[node]
	r.machine = replication.New(node, uint64(slices.Index(n.order, node)), r.stored)
	r.applied = map[uint64]replication.Entry{}
	r.up = true
}

// crash says where a replica stops after a step.
type crash int

const (
	// noCrash goes on.
	noCrash crash = iota
	// beforeSync stops after early messages, before anything is durable.
	beforeSync
	// afterSync stops when the step is durable, before it is answered or applied.
	afterSync
)

// step gives a replica an input and carries out the effects, up to a crash.
func (n *network) step(node replication.Node, in replication.Input, at crash) {
	r := n.replicas[node]
	if !r.up {
		return
	}
	effects := r.machine.Step(in)
	if at != noCrash {
		r.up = false
		n.crashed(r, effects, at)
		return
	}
	for _, e := range effects {
		n.carry(r, e)
	}
	last := r.machine.LastIndex()
	term, _ := r.machine.TermOf(last)
	for _, e := range r.machine.Step(replication.Persisted{Index: last, Term: term}) {
		n.carry(r, e)
	}
	if r.machine.Leading() {
		n.checkLeader(node, r)
	}
}

// crashed carries out what a replica still did of a step.
func (n *network) crashed(r *replica, effects []replication.Effect, at crash) {
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Send:
			if e.BeforeSync {
				n.messages = append(n.messages, e.Message)
			}
		case replication.Persist, replication.Restore:
			if at == afterSync {
				n.carry(r, e)
			}
		}
	}
}

func (n *network) carry(r *replica, e replication.Effect) {
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
		n.fail("two entries were applied at %d: %v and %v", entry.Index, known, entry)
	}
	n.committed[entry.Index] = entry
	if _, ok := n.committedBy[entry.Index]; !ok {
		n.committedBy[entry.Index] = r.machine.Term()
	}
	r.applied[entry.Index] = entry
}

// checkLeader holds a leader to one per term, and to all that was committed in
// earlier terms. A late winner of an old term knows nothing of newer commits, and
// cannot commit anything itself.
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

// deliver hands over the i-th waiting message; keep leaves a copy waiting.
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

// maxDelivered is far more than any exchange needs between two ticks.
const maxDelivered = 20000

// settle delivers everything, in order, and lets time pass, for some rounds. Only
// replicas for which reach holds take part.
func (n *network) settle(rounds int, reach func(replication.Node) bool) {
	for range rounds {
		for _, node := range n.order {
			if reach(node) {
				n.step(node, replication.Tick{}, noCrash)
			}
		}
		for delivered := 0; len(n.messages) > 0; delivered++ {
			msg := n.messages[0]
			if delivered > maxDelivered {
				n.fail("the replicas never come to rest: %+v", n.messages[:min(len(n.messages), 4)])
			}
			if !reach(msg.From) || !reach(msg.To) {
				n.messages = n.messages[1:]
				continue
			}
			n.deliver(0, false, noCrash)
		}
	}
}

func everyone(replication.Node) bool { return true }

func without(out ...replication.Node) func(replication.Node) bool {
	return func(n replication.Node) bool { return !slices.Contains(out, n) }
}

// leader returns the leader of the highest term among the replicas in reach.
func (n *network) leader(reach func(replication.Node) bool) (replication.Node, bool) {
	var best replication.Node
	var term uint64
	for node, r := range n.replicas {
		if r.up && reach(node) && r.machine.Leading() && r.machine.Term() > term {
			best = node
			term = r.machine.Term()
		}
	}
	return best, term > 0
}

// propose asks a node to commit a command.
func (n *network) propose(node replication.Node, data string) {
	n.nextID++
	n.step(node, replication.Propose{Commands: []replication.Command{{ID: n.nextID, Data: []byte(data)}}}, noCrash)
}

// holds reports whether a command is committed.
func (n *network) holds(data string) bool {
	for _, e := range n.committed {
		if string(e.Data) == data {
			return true
		}
	}
	return false
}
