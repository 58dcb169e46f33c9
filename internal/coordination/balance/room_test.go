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
	// memory is the memory of each engine; long prompts take a fifth of it, short ones a fiftieth.
	memory = 50_000
	long   = 10_000
	short  = 1_000
)

// prompt describes a prompt with a number of tokens.
func prompt(tokens int, loads map[registry.Incarnation]balance.EngineLoad) balance.PickInfo {
	return balance.PickInfo{Key: key, Tokens: tokens, Memory: memory, Loads: loads}
}

// loadsOf gives four engines the same load, except for the one with the given id.
func loadsOf(all balance.EngineLoad, id string, other balance.EngineLoad) map[registry.Incarnation]balance.EngineLoad {
	out := map[registry.Incarnation]balance.EngineLoad{}
	for _, in := range instances(4) {
		out[in.Incarnation()] = all
	}
	out[incarnation(id)] = other
	return out
}

// An engine where requests of other entries wait, or without room for a prompt, must get no prompt
// that other engines can take; one whose load is not known must keep its keys.
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
		{"no load is known", long, nil, true},
		{"no requests wait", long, waiting(0, 0), true},
		{"slightly more requests wait there", long, waiting(1, 2), true},
		{"far more requests wait there", long, waiting(1, 9), false},
		{"all have long queues", long, waiting(9, 9), true},
		{"a short prompt overtakes waiting requests", short, waiting(0, 9), true},
		{"there is room", long, used(0, memory-2*long), true},
		{"there is no room", long, used(0, memory-long), false},
		{"there is no room for a short prompt", short, used(0, memory-short/2), false},
		{"a short prompt takes the last tokens", short, used(0, memory-short), true},
		{"there is no room anywhere", long, used(memory, memory), true},
	}
	for _, c := range cases {
		got := pick(t, balance.New(1), all, prompt(c.tokens, c.loads))
		if diff := cmp.Diff(c.stays, got == first); diff != "" {
			t.Error(c.name, diff)
		}
	}
}

// The memory of a request counts as taken until the engine's reported load can include it.
func TestReservationTakesRoom(t *testing.T) {
	b := balance.New(1)
	all := instances(4)
	loads := loadsOf(balance.EngineLoad{}, "i0", balance.EngineLoad{})
	first := pick(t, b, all, prompt(long, loads))
	free := func(at time.Time) int {
		tokens, known := b.Free(incarnation(first), prompt(long, loads), at)
		if !known {
			t.Fatal("the load is not known")
		}
		return tokens
	}
	for range 4 {
		b.Reserve(incarnation(first), prompt(long, loads), now)
	}
	if diff := cmp.Diff(memory-4*long, free(now)); diff != "" {
		t.Error(diff)
	}
	if id := pick(t, b, all, prompt(long, loads)); id == first {
		t.Error("an engine without room for the request was chosen")
	}
	later := now.Add(time.Second)
	if diff := cmp.Diff(memory, free(later)); diff != "" {
		t.Error(diff)
	}
	if got, _ := b.Pick(all, prompt(long, loads), later); got.ID != first {
		t.Error("an engine was skipped for a reservation that its reported load includes")
	}
	if _, known := b.Free(incarnation(first), prompt(long, nil), later); known {
		t.Error("the load of an engine is known that reported none")
	}
}

// A long prompt must be refused only if the loads of at least half of the engines are known and
// none of these has room; the largest prompts must not be refused where others are served.
func TestRefusesOnlyByKnownLoads(t *testing.T) {
	full := balance.EngineLoad{Used: memory - long}
	queue := balance.EngineLoad{Waiting: 1}
	room := balance.EngineLoad{Used: memory - 2*long}
	some := func(ids ...string) map[registry.Incarnation]balance.EngineLoad {
		out := map[registry.Incarnation]balance.EngineLoad{}
		for _, id := range ids {
			out[incarnation(id)] = full
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
		{"one engine has room", long, loadsOf(full, "i2", room), true},
		{"requests wait everywhere", long, loadsOf(queue, "i0", queue), false},
		{"short prompts are never refused", short, loadsOf(full, "i0", balance.EngineLoad{Used: memory}), true},
		{"no load is known", long, nil, true},
		{"few loads are known", long, some("i0"), true},
		{"half of the loads are known", long, some("i0", "i1"), false},
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
		t.Error("refused although the memory of the engines is not known")
	}
}

// Entries that share engines must refuse together the prompts for which there is no room, each a
// part of its own. A single entry, and many with little demand, must refuse nothing while there is
// room.
func TestEntriesShareTheRoom(t *testing.T) {
	// The fleet always has room for four long prompts.
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
		t.Errorf("ten entries with little demand sent %d of 200", n)
	}
	some, few := admitted(10, 200*time.Millisecond), admitted(80, 200*time.Millisecond)
	if some < few || few == 0 || few > 60 {
		t.Errorf("ten entries sent %d of 200 prompts each, and eighty %d", some, few)
	}
}
