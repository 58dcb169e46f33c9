// Package membership tracks the members of two groups: the replicas of the control
// log, for which it computes the next configuration change, and the entry instances,
// whose liveness it determines by gossip.
package membership

import (
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/state/declared"
)

// CaughtUpEntries is the number of log entries that a learner may lag behind the
// leader when it is promoted to voter.
const CaughtUpEntries = 64

// Group is the leader's view of its replication group.
type Group struct {
	// Members is the current configuration, which must be committed.
	Members []replication.Member
	// Last is the index of the leader's last log entry.
	Last uint64
	// MatchIndex returns the index of the highest log entry that is durable on a member.
	MatchIndex func(replication.Node) uint64
	// Self is the leader. Silent returns the number of ticks since a member last
	// replied to it. Only Heal uses these two.
	Self   replication.Node
	Silent func(replication.Node) int
}

// NextMembers returns the next configuration on the way from the current one to
// the declared replicas. ok is false when no change is needed, or when none is
// possible yet.
//
// A replica is replaced in three committed steps, each of which changes at most
// one voter: the new incarnation joins as a learner; once it has caught up it is
// promoted to voter; then the old one is removed. While the old one still replies,
// the group tolerates the loss of any one replica after the second step; removing
// the old one first would not allow that. A declared replica without an incarnation
// matches whichever incarnation is in the current configuration.
func NextMembers(g Group, desired []declared.Replica) (next []replication.Member, step string, ok bool) {
	for _, r := range desired {
		if r.Incarnation() != "" && !has(g.Members, node(r)) {
			return add(g.Members, r), "add learner " + r.Incarnation(), true
		}
	}
	for i, m := range g.Members {
		if !m.Voter && declaredMember(desired, m) {
			if g.MatchIndex(m.Node)+CaughtUpEntries < g.Last {
				return nil, "learner " + string(m.Node) + " is catching up", false
			}
			next = slices.Clone(g.Members)
			next[i].Voter = true
			return next, "make " + string(m.Node) + " a voter", true
		}
	}
	for i, m := range g.Members {
		if !declaredMember(desired, m) && len(desired) > 0 {
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

// declaredMember reports whether a member is one of the desired replicas.
func declaredMember(desired []declared.Replica, m replication.Member) bool {
	return slices.ContainsFunc(desired, func(r declared.Replica) bool {
		return r.ID() == m.ID && (r.Incarnation() == "" || node(r) == m.Node)
	})
}
