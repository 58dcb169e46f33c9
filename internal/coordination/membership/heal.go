package membership

import (
	"cmp"
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// Policy controls how a leader repairs its group where no operator declares replicas.
type Policy struct {
	// Voters is the target number of voters; 2n+1 voters tolerate the loss of n.
	Voters int
	// DeadTicks is the number of ticks without a reply after which a voter is replaced, if
	// there is a learner to replace it.
	DeadTicks int
}

// learnerTimeoutFactor is the time without a reply after which a learner is removed, in
// multiples of DeadTicks. It is long because a silent learner costs nothing but messages.
const learnerTimeoutFactor = 15

// Joiner is a replica that requested to join the group.
type Joiner struct {
	ID            uint64
	Node          replication.Node
	Address       string
	FailureDomain string
}

// Heal returns the next configuration on the way to a group with the target number of
// live voters. ok is false when no change is needed, or when none is possible yet.
//
// A joiner is added as a learner. A voter that does not reply, or whose data folder was
// lost (its address came back under another incarnation), is replaced by a learner that
// has caught up. The learner is promoted before the old voter is removed, so that every
// step changes at most one voter and leaves a live majority.
func Heal(g Group, joiners []Joiner, p Policy) (next []replication.Member, step string, ok bool) {
	h := healer{Group: g, policy: p}
	for _, f := range []func([]Joiner) ([]replication.Member, string, bool){h.admit, h.promote, h.retire, h.removeLearner} {
		next, step, ok = f(joiners)
		if ok {
			return next, step, true
		}
	}
	return nil, "", false
}

type healer struct {
	Group
	policy Policy
}

// admit adds a joiner as a learner. It replaces a learner with the same address and another
// incarnation.
func (h healer) admit(joiners []Joiner) ([]replication.Member, string, bool) {
	slices.SortFunc(joiners, func(a, b Joiner) int { return cmp.Compare(a.Node, b.Node) })
	for _, j := range joiners {
		if has(h.Members, j.Node) || h.outdated(j) {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(h.Members), func(m replication.Member) bool {
			return !m.Voter && m.Address == j.Address
		})
		next = append(next, replication.Member{ID: j.ID, Node: j.Node, Address: j.Address, FailureDomain: j.FailureDomain})
		return next, "add learner " + string(j.Node), true
	}
	return nil, "", false
}

// outdated reports whether a joiner's address belongs to a learner that replies. The join
// request is then from an earlier incarnation at that address.
func (h healer) outdated(j Joiner) bool {
	return slices.ContainsFunc(h.Members, func(m replication.Member) bool {
		return !m.Voter && m.Address == j.Address && h.alive(m)
	})
}

// promote makes a learner a voter if there are too few live voters. Of the learners that
// have caught up, it takes one from the failure domain with the fewest live voters.
func (h healer) promote([]Joiner) ([]replication.Member, string, bool) {
	voters, liveVoters := 0, 0
	domains := map[string]int{}
	for _, m := range h.Members {
		if !m.Voter {
			continue
		}
		voters++
		if h.alive(m) {
			liveVoters++
			domains[m.FailureDomain]++
		}
	}
	if liveVoters >= h.policy.Voters || voters > h.policy.Voters {
		return nil, "", false
	}
	best := -1
	for i, m := range h.Members {
		if m.Voter || !h.alive(m) || h.MatchIndex(m.Node) == 0 || h.MatchIndex(m.Node)+CaughtUpEntries < h.Last {
			continue
		}
		if best < 0 || domains[m.FailureDomain] < domains[h.Members[best].FailureDomain] {
			best = i
		}
	}
	if best < 0 {
		return nil, "", false
	}
	next := slices.Clone(h.Members)
	next[best].Voter = true
	return next, "make " + string(next[best].Node) + " a voter", true
}

// retire acts when there are more voters than the policy asks for, as after a promotion. It
// removes one that is dead, or else demotes one in a failure domain with the most voters.
func (h healer) retire([]Joiner) ([]replication.Member, string, bool) {
	voters := 0
	for _, m := range h.Members {
		if m.Voter {
			voters++
		}
	}
	if voters <= h.policy.Voters {
		return nil, "", false
	}
	for i, m := range h.Members {
		if m.Voter && m.Node != h.Self && !h.alive(m) {
			return slices.Delete(slices.Clone(h.Members), i, i+1), "remove " + string(m.Node), true
		}
	}
	for i := len(h.Members) - 1; i >= 0; i-- {
		m := h.Members[i]
		if m.Voter && m.Node != h.Self && h.inLargestDomain(m) {
			next := slices.Clone(h.Members)
			next[i].Voter = false
			return next, "make " + string(m.Node) + " a learner", true
		}
	}
	return nil, "", false
}

// inLargestDomain reports whether no failure domain has more voters than the member's.
func (h healer) inLargestDomain(m replication.Member) bool {
	domains := map[string]int{}
	most := 0
	for _, other := range h.Members {
		if other.Voter {
			domains[other.FailureDomain]++
			most = max(most, domains[other.FailureDomain])
		}
	}
	return domains[m.FailureDomain] == most
}

// removeLearner removes a learner that has not replied for learnerTimeoutFactor*DeadTicks.
func (h healer) removeLearner([]Joiner) ([]replication.Member, string, bool) {
	for i, m := range h.Members {
		if !m.Voter && m.Node != h.Self && h.Silent(m.Node) > learnerTimeoutFactor*h.policy.DeadTicks {
			return slices.Delete(slices.Clone(h.Members), i, i+1), "forget " + string(m.Node), true
		}
	}
	return nil, "", false
}

// alive reports whether a member replies. A voter whose address belongs to a learner with
// another incarnation is not alive: its data folder was lost.
func (h healer) alive(m replication.Member) bool {
	if m.Node == h.Self {
		return true
	}
	if h.Silent(m.Node) > h.policy.DeadTicks {
		return false
	}
	return !slices.ContainsFunc(h.Members, func(other replication.Member) bool {
		return m.Voter && !other.Voter && other.Address == m.Address && other.Node != m.Node
	})
}
