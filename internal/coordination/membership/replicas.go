// Package membership decides who belongs: which replica of the control log is
// replaced next, and which entry instances of a failure domain are alive.
package membership

import (
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/state/declared"
)

// CaughtUpEntries is how far behind the leader a learner may be when it is made
// a voter.
const CaughtUpEntries = 64

// Group is what a leader knows of its configuration.
type Group struct {
	// Members is the configuration in force, which must be committed.
	Members []replication.Member
	// Last is the index of the leader's last entry.
	Last uint64
	// MatchIndex returns the highest entry durable at a member.
	MatchIndex func(replication.Node) uint64
	// Self is the leader, and Silent returns for how many ticks a member has not
	// answered it; both are needed by Heal only.
	Self   replication.Node
	Silent func(replication.Node) int
}

// NextMembers returns the next configuration on the way from the present one to
// the declared replicas; ok is false when there is nothing to do, or nothing to
// do yet.
//
// A replica is replaced in three committed steps, each of which changes at most
// one voter: the new incarnation joins as a learner; once it has caught up it
// becomes a voter; then the old one is removed. While the old one still answers,
// the middle step survives the loss of any one replica, which removing first
// would not. A declared replica without an incarnation accepts the one in force.
func NextMembers(g Group, wanted []declared.Replica) (next []replication.Member, step string, ok bool) {
	for _, r := range wanted {
		if r.Incarnation() != "" && !has(g.Members, node(r)) {
			return add(g.Members, r), "add learner " + r.Incarnation(), true
		}
	}
	for i, m := range g.Members {
		if !m.Voter && declaredMember(wanted, m) {
			if g.MatchIndex(m.Node)+CaughtUpEntries < g.Last {
				return nil, "learner " + string(m.Node) + " is catching up", false
			}
			next = slices.Clone(g.Members)
			next[i].Voter = true
			return next, "make " + string(m.Node) + " a voter", true
		}
	}
	for i, m := range g.Members {
		if !declaredMember(wanted, m) && len(wanted) > 0 {
			return slices.Delete(slices.Clone(g.Members), i, i+1), "remove " + string(m.Node), true
		}
	}
	return nil, "", false
}

func node(r declared.Replica) replication.Node { return replication.Node(r.Incarnation()) }

func has(members []replication.Member, n replication.Node) bool {
	return slices.ContainsFunc(members, func(m replication.Member) bool { return m.Node == n })
}

func add(members []replication.Member, r declared.Replica) []replication.Member {
	m := replication.Member{ID: r.ID(), Node: node(r), Address: r.Address()}
	return append(slices.Clone(members), m)
}

// declaredMember reports whether a member is one of the wanted replicas.
func declaredMember(wanted []declared.Replica, m replication.Member) bool {
	return slices.ContainsFunc(wanted, func(r declared.Replica) bool {
		return r.ID() == m.ID && (r.Incarnation() == "" || node(r) == m.Node)
	})
}
