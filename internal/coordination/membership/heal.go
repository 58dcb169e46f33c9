package membership

import (
	"cmp"
	"slices"

	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// Policy says how a leader keeps its group whole where no operator declares replicas.
type Policy struct {
	// Voters is how many voters there should be: 2n+1 bear the loss of n.
	Voters int
	// DeadTicks is after how many ticks of silence a voter is replaced, if somebody
	// can take its place.
	DeadTicks int
}

// forgetLearners is how many times DeadTicks a learner may be silent before it is removed;
// it costs nothing but messages until then.
const forgetLearners = 15

// Joiner is a replica that asked to be taken into the group.
type Joiner struct {
	ID            uint64
	Node          replication.Node
	Address       string
	FailureDomain string
}

// Heal returns the next configuration on the way to a whole group; ok is false when there
// is nothing to do, or nothing to do yet.
//
// Whoever asks joins as a learner. A voter that is silent, or whose folder was lost (its
// address came back under another incarnation), gives way to a learner that has caught
// up: the learner becomes a voter first and the old voter is removed after that, so every
// step changes one voter at most and leaves a majority that is alive.
func Heal(g Group, joiners []Joiner, p Policy) (next []replication.Member, step string, ok bool) {
	h := healer{Group: g, policy: p}
	for _, f := range []func([]Joiner) ([]replication.Member, string, bool){h.admit, h.promote, h.retire, h.forget} {
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

// admit takes in one that asked. A learner whose address came back under another
// incarnation gives way to it.
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

// outdated reports whether a joiner's address belongs to a learner that answers: the
// joiner asked in an earlier life of that address.
func (h healer) outdated(j Joiner) bool {
	return slices.ContainsFunc(h.Members, func(m replication.Member) bool {
		return !m.Voter && m.Address == j.Address && h.alive(m)
	})
}

// promote makes the learner a voter that best spreads the voters over failure domains.
func (h healer) promote([]Joiner) ([]replication.Member, string, bool) {
	voters, living := 0, 0
	domains := map[string]int{}
	for _, m := range h.Members {
		if !m.Voter {
			continue
		}
		voters++
		if h.alive(m) {
			living++
			domains[m.FailureDomain]++
		}
	}
	if living >= h.policy.Voters || voters > h.policy.Voters {
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

// retire removes a voter that is dead once there are enough living ones without it, and
// makes a learner of one too many.
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
		if m.Voter && m.Node != h.Self && h.doubled(m) {
			next := slices.Clone(h.Members)
			next[i].Voter = false
			return next, "make " + string(m.Node) + " a learner", true
		}
	}
	return nil, "", false
}

// doubled reports whether another voter is in the member's failure domain, or whether no
// failure domain has two.
func (h healer) doubled(m replication.Member) bool {
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

// forget removes learners that have been silent for long.
func (h healer) forget([]Joiner) ([]replication.Member, string, bool) {
	for i, m := range h.Members {
		if !m.Voter && m.Node != h.Self && h.Silent(m.Node) > forgetLearners*h.policy.DeadTicks {
			return slices.Delete(slices.Clone(h.Members), i, i+1), "forget " + string(m.Node), true
		}
	}
	return nil, "", false
}

// alive reports whether a member answers, and is still what its address holds.
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
