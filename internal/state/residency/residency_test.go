package residency_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/residency"
)

var regions = residency.Regions{"n1": "north", "n2": "north", "s1": "south", "e1": "east"}

// Data may be where every list allows it. A list that is not set restricts nothing, and a failure
// domain of an unknown region is no place for restricted data.
func TestPolicyIsTheIntersectionOfItsLists(t *testing.T) {
	domains := []string{"n1", "n2", "s1", "e1", "unknown"}
	cases := []struct {
		name  string
		lists [][]string
		want  []string
	}{
		{"no list", nil, domains},
		{"lists that are not set", [][]string{nil, nil}, domains},
		{"of the route", [][]string{{"north"}, nil}, []string{"n1", "n2"}},
		{"of the team", [][]string{nil, {"south"}}, []string{"s1"}},
		{"of both", [][]string{{"south", "north"}, {"east", "south"}}, []string{"s1"}},
		{"nothing in common", [][]string{{"north"}, {"south"}}, nil},
		{"an empty list", [][]string{{}, {"south"}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := residency.NewPolicy(c.lists...)
			var got []string
			for _, domain := range domains {
				if p.Allows(domain, regions) {
					got = append(got, domain)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The string of a policy separates KV cache, so it must not depend on the order of the lists, nor be
// the same for two policies.
func TestStringIdentifiesPolicy(t *testing.T) {
	same := residency.NewPolicy([]string{"a", "b"}, []string{"b", "a", "c"}).String()
	if diff := cmp.Diff(residency.NewPolicy([]string{"b", "a", "b"}).String(), same); diff != "" {
		t.Error(diff)
	}
	seen := map[string]bool{}
	for _, lists := range [][][]string{nil, {{}}, {{"a", "b"}}, {{"a,b"}}, {{`a","b`}}, {{"a"}}, {{"b"}}} {
		s := residency.NewPolicy(lists...).String()
		if seen[s] {
			t.Errorf("%v has the string of another policy, %s", lists, s)
		}
		seen[s] = true
	}
}
