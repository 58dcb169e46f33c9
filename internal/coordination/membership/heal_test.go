package membership_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
)

const dead = 20

var policy = membership.Policy{Voters: 3, DeadTicks: dead}

// group builds a group from "+a1" for a voter and "-a1" for a learner. The letter is the
// failure domain and the address, the digit the incarnation at that address. silent names
// the nodes that do not reply.
func group(names []string, silent ...string) membership.Group {
	g := membership.Group{Last: 100, Self: replication.Node(names[0][1:])}
	for _, name := range names {
		node := name[1:]
		g.Members = append(g.Members, replication.Member{
			Node: replication.Node(node), Address: node[:1], FailureDomain: node[:1], Voter: name[0] == '+',
		})
	}
	unresponsive := map[replication.Node]bool{}
	for _, s := range silent {
		unresponsive[replication.Node(s)] = true
	}
	g.Silent = func(n replication.Node) int {
		if unresponsive[n] {
			return dead + 1
		}
		return 0
	}
	g.MatchIndex = func(n replication.Node) uint64 {
		if unresponsive[n] {
			return 0
		}
		return 100
	}
	return g
}

func joiner(node string) membership.Joiner {
	return membership.Joiner{Node: replication.Node(node), Address: node[:1], FailureDomain: node[:1]}
}

func TestHealStep(t *testing.T) {
	cases := []struct {
		name    string
		members []string
		silent  []string
		joiners []membership.Joiner
		want    string
	}{
		{"no change needed", []string{"+a1", "+b1", "+c1"}, nil, nil, ""},
		{"a replica joins", []string{"+a1", "+b1", "+c1"}, nil, []membership.Joiner{joiner("d1")}, "add learner d1"},
		{"a learner stays a learner", []string{"+a1", "+b1", "+c1", "-d1"}, nil, nil, ""},
		{"a silent voter without a learner", []string{"+a1", "+b1", "+c1"}, []string{"c1"}, nil, ""},
		{"a silent voter and a learner", []string{"+a1", "+b1", "+c1", "-d1"}, []string{"c1"}, nil, "make d1 a voter"},
		{"a learner that has not caught up", []string{"+a1", "+b1", "+c1", "-d1"}, []string{"c1", "d1"}, nil, ""},
		{"a silent voter after the promotion", []string{"+a1", "+b1", "+c1", "+d1"}, []string{"c1"}, nil, "remove c1"},
		{"a wiped voter joins again", []string{"+a1", "+b1", "+c1"}, nil, []membership.Joiner{joiner("c2")}, "add learner c2"},
		{"a wiped voter has caught up", []string{"+a1", "+b1", "+c1", "-c2"}, nil, nil, "make c2 a voter"},
		{"the old incarnation of a wiped voter", []string{"+a1", "+b1", "+c1", "+c2"}, []string{"c1"}, nil, "remove c1"},
		{"a wiped learner joins again", []string{"+a1", "+b1", "+c1", "-d1"}, []string{"d1"}, []membership.Joiner{joiner("d2")}, "add learner d2"},
		{"a stale join request for a learner that replies", []string{"+a1", "+b1", "+c1", "-d2"}, nil, []membership.Joiner{joiner("d1")}, ""},
		{"a voter too many after one returns", []string{"+a1", "+b1", "+c1", "+d1"}, nil, nil, "make d1 a learner"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, step, _ := membership.Heal(group(c.members, c.silent...), c.joiners, policy)
			if diff := cmp.Diff(c.want, step); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHealKeepsAMajority checks that a step changes at most one voter, never removes the
// leader, and leaves a majority of the voters alive, whichever member is silent or wiped. If
// a learner or a joiner is available, there must be three live voters after at most 8 steps.
func TestHealKeepsAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []string{"+a1", "+b1", "+c1"}
		for i := range rapid.IntRange(0, 2).Draw(t, "spares") {
			members = append(members, fmt.Sprintf("-%c1", 'd'+i))
		}
		var silent []string
		if i := rapid.IntRange(0, len(members)-1).Draw(t, "silent"); i > 0 {
			silent = append(silent, members[i][1:])
		}
		var joiners []membership.Joiner
		if len(silent) > 0 && rapid.Bool().Draw(t, "wiped") {
			joiners = append(joiners, joiner(silent[0][:1]+"2"))
		}
		spares := len(members) > 3 || len(joiners) > 0
		for range 8 {
			g := group(members, silent...)
			next, _, ok := membership.Heal(g, joiners, policy)
			if !ok {
				break
			}
			checkStep(t, g, next)
			members = members[:0]
			for _, m := range next {
				sign := "-"
				if m.Voter {
					sign = "+"
				}
				members = append(members, sign+string(m.Node))
			}
		}
		live := liveVoters(group(members, silent...))
		if spares && live != 3 {
			t.Fatalf("%d live voters in %v, want 3", live, members)
		}
	})
}

func liveVoters(g membership.Group) int {
	n := 0
	for _, m := range g.Members {
		if m.Voter && g.Silent(m.Node) == 0 {
			n++
		}
	}
	return n
}

func checkStep(t *rapid.T, g membership.Group, next []replication.Member) {
	voters := func(members []replication.Member) map[replication.Node]bool {
		out := map[replication.Node]bool{}
		for _, m := range members {
			if m.Voter {
				out[m.Node] = true
			}
		}
		return out
	}
	before, after := voters(g.Members), voters(next)
	changed := 0
	for n := range before {
		if !after[n] {
			changed++
		}
	}
	for n := range after {
		if !before[n] {
			changed++
		}
	}
	g.Members = next
	if changed > 1 || !after[g.Self] || liveVoters(g) <= len(after)/2 {
		t.Fatalf("unsafe step from voters %v to %v", before, after)
	}
}
