package directory_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

func key(n int) prefix.Key {
	var k prefix.Key
	binary.BigEndian.PutUint64(k[:], uint64(n)*0x9e3779b97f4a7c15)
	return k
}

func keys(from, to int) []prefix.Key {
	var out []prefix.Key
	for n := from; n < to; n++ {
		out = append(out, key(n))
	}
	return out
}

// found holds the compared fields of a MatchResult.
type found struct {
	Cached []int32
	Ends   []int32
	Stored int
}

func match(d *directory.Directory, k []prefix.Key) found {
	var f directory.MatchResult
	d.Match(k, 3, &f)
	return found{f.Cached[:3], f.Ends, f.Stored}
}

func TestMatch(t *testing.T) {
	d := directory.New(100)
	object := func(n uint64, blocks uint32) directory.Object {
		return directory.Object{Store: 1, Blocks: blocks, Object: n, Generation: 1}
	}
	prompt := keys(1, 11)
	d.RecordRun(prompt[3], 4, 0, 1)
	d.RecordRun(prompt[7], 8, 1, 2)
	d.RecordStored(prompt[3], prefix.Key{}, 4, 0, object(1, 4))
	d.RecordStored(prompt[7], prompt[3], 8, 0, object(2, 4))
	steps := []struct {
		name string
		do   func()
		want found
	}{
		{"the longest prefix at each engine, and a chain of objects", func() {}, found{[]int32{4, 8, 0}, []int32{4, 8}, 8}},
		{"an engine evicts", func() { d.RecordEviction(prompt[7], 1) }, found{[]int32{4, 0, 0}, []int32{4, 8}, 8}},
		{"a store refuses the newest", func() { d.DropObject(prompt[7]) }, found{[]int32{4, 0, 0}, []int32{4}, 4}},
		{"the newest object is useless without its parent", func() {
			d.RecordStored(prompt[7], prompt[3], 8, 0, object(3, 4))
			d.DropObject(prompt[3])
		}, found{[]int32{4, 0, 0}, nil, 0}},
		{"a store restarts empty", func() {
			d.RecordStored(prompt[3], prefix.Key{}, 4, 0, object(4, 4))
			d.DropStore(1, 0)
		}, found{[]int32{4, 0, 0}, nil, 0}},
		{"events were lost", func() { d.DropUpstream(0) }, found{[]int32{0, 0, 0}, nil, 0}},
	}
	for _, s := range steps {
		s.do()
		got := match(d, prompt)
		if len(got.Ends) == 0 {
			got.Ends = nil
		}
		if diff := cmp.Diff(s.want, got); diff != "" {
			t.Fatalf("%s: %s", s.name, diff)
		}
	}
}

// The directory keeps the most recently used contexts, for any order of runs.
func TestEvictsOldestContexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		d := directory.New(limit)
		var order []int
		for range 60 {
			n := rapid.IntRange(1, 20).Draw(t, "context")
			d.RecordRun(key(n), 1, 0, 1)
			for i, other := range order {
				if other == n {
					order = append(order[:i], order[i+1:]...)
					break
				}
			}
			order = append(order, n)
			if len(order) > limit {
				order = order[1:]
			}
			for context := 1; context <= 20; context++ {
				want := int32(0)
				for _, kept := range order {
					if kept == context {
						want = 1
					}
				}
				if got := match(d, []prefix.Key{key(context)}).Cached[0]; got != want {
					t.Fatalf("context %d: %d, want %d", context, got, want)
				}
			}
		}
		if d.Len() != len(order) {
			t.Fatalf("%d contexts, want %d", d.Len(), len(order))
		}
	})
}

// BenchmarkMemory reports the memory of one context.
func BenchmarkMemory(b *testing.B) {
	const contexts = 200_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := directory.New(contexts)
		for n := range contexts {
			d.RecordRun(key(n+1), 10, n%200, 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/contexts, "B/context")
		runtime.KeepAlive(d)
	}
}
