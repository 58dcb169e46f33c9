package evacuation_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/evacuation"
)

// change holds the arguments of one command.
type change struct {
	name string
	end  bool
	seen uint64
}

func TestChanges(t *testing.T) {
	cases := []struct {
		name    string
		changes []change
		want    []evacuation.Domain
	}{
		{"nothing", nil, nil},
		{"started", []change{{"a", false, 0}}, []evacuation.Domain{{"a", true, 1}}},
		{"started twice", []change{{"a", false, 0}, {"a", false, 1}}, []evacuation.Domain{{"a", true, 1}}},
		{"started twice with the initial revision", []change{{"a", false, 0}, {"a", false, 0}}, []evacuation.Domain{{"a", true, 1}}},
		{"ended without a start", []change{{"a", true, 0}}, nil},
		{"ended", []change{{"a", false, 0}, {"a", true, 1}}, []evacuation.Domain{{"a", false, 2}}},
		{"ended twice", []change{{"a", false, 0}, {"a", true, 1}, {"a", true, 2}}, []evacuation.Domain{{"a", false, 2}}},
		{"a start that arrives after the end", []change{{"a", false, 0}, {"a", true, 1}, {"a", false, 0}}, []evacuation.Domain{{"a", false, 2}}},
		{"an end that arrives after the next start", []change{{"a", false, 0}, {"a", true, 1}, {"a", false, 2}, {"a", true, 1}}, []evacuation.Domain{{"a", true, 3}}},
		{"two domains", []change{{"b", false, 0}, {"a", false, 0}, {"b", true, 1}}, []evacuation.Domain{{"a", true, 2}, {"b", false, 3}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &evacuation.Table{}
			for _, in := range c.changes {
				b.Change(in.name, in.end, in.seen)
			}
			if diff := cmp.Diff(c.want, b.All()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.want, evacuation.Restore(b.All()).All()); diff != "" {
				t.Errorf("restored: %s", diff)
			}
		})
	}
}

// A restored table continues the numbering of revisions.
func TestRestoredTableContinuesRevisions(t *testing.T) {
	b := evacuation.Restore([]evacuation.Domain{{"a", false, 7}, {"b", true, 4}})
	if diff := cmp.Diff(evacuation.Domain{Name: "b", Revision: 8}, b.Change("b", true, 4)); diff != "" {
		t.Error(diff)
	}
}

// Regardless of the order and the delay of the reports, the newest revision of a domain holds, with the
// earliest time at which any control instance had it.
func TestViewIsIndependentOfOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	type update struct {
		d   evacuation.Domain
		age time.Duration
	}
	all := []update{
		{evacuation.Domain{Name: "a", Evacuated: true, Revision: 1}, 9 * time.Second},
		{evacuation.Domain{Name: "a", Revision: 3}, 2 * time.Second},
		{evacuation.Domain{Name: "a", Revision: 3}, 3 * time.Second},
		{evacuation.Domain{Name: "b", Evacuated: true, Revision: 2}, 5 * time.Second},
		{evacuation.Domain{Name: "b", Evacuated: true, Revision: 2}, time.Second},
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		k := &evacuation.View{}
		order := slices.Clone(all)
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, in := range order {
			k.Merge(in.d, in.age, now)
		}
		got := []any{k.Revision(), k.Evacuated(), k.Ended()}
		want := []any{uint64(3), map[string]time.Time{"b": now.Add(-5 * time.Second)}, map[string]time.Time{"a": now.Add(-3 * time.Second)}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	}
}
