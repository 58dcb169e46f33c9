package changes_test

import (
	"fmt"
	"iter"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/changes"
)

// testLog is a Log with a map of each item's newest change.
type testLog struct {
	changes.Log[string]
	newest map[string]uint64
}

func newTestLog() *testLog {
	b := &testLog{newest: map[string]uint64{}}
	b.Newest = func(item string) uint64 { return b.newest[item] }
	return b
}

func (b *testLog) add(item string) { b.newest[item] = b.Add(item) }

func list(changes iter.Seq2[uint64, string]) []string {
	out := []string{}
	for number, item := range changes {
		out = append(out, fmt.Sprint(item, number))
	}
	return out
}

// Only the newest change of each item that was not deleted is listed, in either order.
func TestNewestChangesInOrder(t *testing.T) {
	b := newTestLog()
	for _, item := range []string{"a", "b", "c", "a", "d"} {
		b.add(item)
	}
	b.Skip()
	b.add("e")
	delete(b.newest, "c")
	for what, test := range map[string]struct {
		got  iter.Seq2[uint64, string]
		want []string
	}{
		"all":        {b.After(0), []string{"b2", "a4", "d5", "e7"}},
		"after 4":    {b.After(4), []string{"d5", "e7"}},
		"after last": {b.After(b.Last()), []string{}},
		"back":       {b.UpTo(b.Last()), []string{"e7", "d5", "a4", "b2"}},
		"back at 4":  {b.UpTo(4), []string{"a4", "b2"}},
		"back at 0":  {b.UpTo(0), []string{}},
	} {
		if diff := cmp.Diff(test.want, list(test.got)); diff != "" {
			t.Error(what, diff)
		}
	}
}

// After many changes of few items, the log still lists the newest change of each.
func TestOutdatedChangesAreDropped(t *testing.T) {
	b := newTestLog()
	const items, rounds = 700, 50
	want := []string{}
	for round := range rounds {
		for i := range items {
			b.add(fmt.Sprint("i", i, "-"))
			if round == rounds-1 {
				want = append(want, fmt.Sprint("i", i, "-", b.Last()))
			}
		}
	}
	if diff := cmp.Diff(want, list(b.After(0))); diff != "" {
		t.Error(diff)
	}
}
