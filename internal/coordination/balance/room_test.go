package balance_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	key = 9
	// memory is that of each engine; long prompts take a fifth of it, short ones a fiftieth.
	memory = 50_000
	long   = 10_000
	short  = 1_000
)

// prompt is a wish for a prompt of so many tokens.
func prompt(tokens int, loads map[registry.Incarnation]balance.EngineLoad) balance.PickInfo {
	return balance.PickInfo{Key: key, Tokens: tokens, Memory: memory, Loads: loads}
}

// loadsOf gives four engines one load, and the one named another.
func loadsOf(all balance.EngineLoad, id string, other balance.EngineLoad) map[registry.Incarnation]balance.EngineLoad {
	out := map[registry.Incarnation]balance.EngineLoad{}
	for _, in := range instances(4) {
		out[in.Incarnation()] = all
	}
	out[life(id)] = other
	return out
}

// An engine at which the requests of others wait, or in whose memory a prompt has no room, gets
// no prompt that others can take; one of which nothing is known keeps its keys.
func TestCrowdedEngineGetsNoMore(t *testing.T) {
	all := instances(4)
	first := pick(t, balance.New(1), all, balance.PickInfo{Key: key})
	waiting := func(all, there int) map[registry.Incarnation]balance.EngineLoad {
		return loadsOf(balance.EngineLoad{Waiting: all}, first, balance.EngineLoad{Waiting: there})
	}
	used := func(all, there int) map[registry.Incarnation]balance.EngineLoad {
		return loadsOf(balance.EngineLoad{Used: all}, first, balance.EngineLoad{Used: there})
	}
	cases := []struct {
		name   string
		tokens int
		loads  map[registry.Incarnation]balance.EngineLoad
		stays  bool
	}{
		{"nothing is known", long, nil, true},
		{"nobody waits", long, waiting(0, 0), true},
		{"a little more waits there", long, waiting(1, 2), true},
		{"much more waits there", long, waiting(1, 9), false},
		{"all have long queues", long, waiting(9, 9), true},
		{"a short prompt overtakes what waits", short, waiting(0, 9), true},
		{"there is room", long, used(0, memory-2*long), true},
		{"there is none", long, used(0, memory-long), false},
		{"there is none for a short prompt", short, used(0, memory-short/2), false},
		{"a short prompt takes the last", short, used(0, memory-short), true},
		{"there is none anywhere", long, used(memory, memory), true},
	}
	for _, c := range cases {
		got := pick(t, balance.New(1), all, prompt(c.tokens, c.loads))
		if diff := cmp.Diff(c.stays, got == first); diff != "" {
			t.Error(c.name, diff)
		}
	}
}

// What was sent to an engine counts until its own word can tell of it.
func TestWhatWasSentTakesRoom(t *testing.T) {
	b := balance.New(1)
	all := instances(4)
	loads := loadsOf(balance.EngineLoad{}, "i0", balance.EngineLoad{})
	first := pick(t, b, all, prompt(long, loads))
	free := func(at time.Time) int {
		tokens, known := b.Free(life(first), prompt(long, loads), at)
		if !known {
			t.Fatal("nothing is known")
		}
		return tokens
	}
	for range 4 {
		b.Reserve(life(first), prompt(long, loads), now)
	}
	if diff := cmp.Diff(memory-4*long, free(now)); diff != "" {
		t.Error(diff)
	}
	if id := pick(t, b, all, prompt(long, loads)); id == first {
		t.Error("an engine was chosen that is full by now")
	}
	later := now.Add(time.Second)
	if diff := cmp.Diff(memory, free(later)); diff != "" {
		t.Error(diff)
	}
	if got, _ := b.Pick(all, prompt(long, loads), later); got.ID != first {
		t.Error("an engine was passed over for what its word counts already")
	}
	if _, known := b.Free(life(first), prompt(long, nil), later); known {
		t.Error("something is known of an engine that told nothing")
	}
}

// A long prompt is refused only when most engines told of themselves and none has room; the
// largest prompts are not refused where others are served.
func TestRefusedOnlyWhenItIsKnown(t *testing.T) {
	full := balance.EngineLoad{Used: memory - long}
	queue := balance.EngineLoad{Waiting: 1}
	room := balance.EngineLoad{Used: memory - 2*long}
	some := func(ids ...string) map[registry.Incarnation]balance.EngineLoad {
		out := map[registry.Incarnation]balance.EngineLoad{}
		for _, id := range ids {
			out[life(id)] = full
		}
		return out
	}
	cases := []struct {
		name   string
		tokens int
		loads  map[registry.Incarnation]balance.EngineLoad
		want   bool
	}{
		{"no engine has room", long, loadsOf(full, "i0", full), false},
		{"one has", long, loadsOf(full, "i2", room), true},
		{"requests wait everywhere", long, loadsOf(queue, "i0", queue), false},
		{"short prompts are never refused", short, loadsOf(full, "i0", balance.EngineLoad{Used: memory}), true},
		{"nothing is known", long, nil, true},
		{"little is known", long, some("i0"), true},
		{"half is known", long, some("i0", "i1"), false},
		{"a prompt of half an engine where one of a quarter fits", memory / 2, loadsOf(full, "i2", room), true},
	}
	for _, c := range cases {
		_, got := balance.New(1).Admit(instances(4), prompt(c.tokens, c.loads), now)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Error(c.name, diff)
		}
	}
	w := prompt(long, loadsOf(full, "i0", full))
	w.Memory = 0
	if _, ok := balance.New(1).Admit(instances(4), w, now); !ok {
		t.Error("refused though engines do not tell how much memory they have")
	}
}

// Entries that share engines refuse together what those have no room for, each a part of its
// own prompts; a single entry, and many that ask for little, refuse nothing while there is room.
func TestEntriesShareTheRoom(t *testing.T) {
	// There is room for four long prompts in the whole fleet at any moment.
	loads := loadsOf(balance.EngineLoad{Used: memory - 2*long}, "i0", balance.EngineLoad{Used: memory - 2*long})
	admitted := func(entries int, pause time.Duration) int {
		b := balance.New(1)
		w := prompt(long, loads)
		w.Entries = entries
		n := 0
		for i := range 200 {
			if _, ok := b.Admit(instances(4), w, now.Add(time.Duration(i)*pause)); ok {
				n++
			}
		}
		return n
	}
	if diff := cmp.Diff(200, admitted(1, 100*time.Millisecond)); diff != "" {
		t.Error("one entry: ", diff)
	}
	if n := admitted(10, time.Second); n < 180 {
		t.Errorf("ten entries that ask for little sent %d of 200", n)
	}
	some, few := admitted(10, 200*time.Millisecond), admitted(80, 200*time.Millisecond)
	if some < few || few == 0 || few > 60 {
		t.Errorf("ten entries sent %d of 200 each, and eighty %d", some, few)
	}
}
