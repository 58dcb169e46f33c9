package placement_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	guardTeams    = 9
	guardContexts = 80
	guardSpace    = 1000
	guardStore    = "10.0.1.1:1"
)

// shelf is one full store and the board that says what leaves it.
type shelf struct {
	board *placement.Planner
	held  map[prefix.Key]uint64
	space int
	next  uint64
}

func newShelf(t *testing.T, shares string) *shelf {
	docs := []string{"document: stores\nversion: 1\nstores:\n  - {name: s, address: \"" + guardStore + "\", failure_domain: d, memory_bytes: 1, link_bytes_per_second: 1}\n"}
	if shares != "" {
		docs = append(docs, "document: teams\nversion: 1\nteams:\n"+shares)
	}
	state := stateOf(t, docs...)
	board := placement.New("d", 100_000, 1)
	board.ApplyDeclared(state)
	return &shelf{board: board, held: map[prefix.Key]uint64{}, space: guardSpace}
}

// use asks for a team's context and keeps it if it is not held; it reports whether it was.
func (s *shelf) use(team string, context int) (held bool) {
	var key prefix.Key
	copy(key[:], team)
	binary.BigEndian.PutUint64(key[8:], uint64(context+1))
	now := time.Unix(1, 0)
	if _, ok := s.held[key]; ok {
		s.board.Apply(placement.Note{Team: team, Key: key, Blocks: 10, Upstream: "u"}, now)
		s.touch(team, key)
		return true
	}
	if len(s.held) >= s.space {
		for _, k := range s.board.EvictObjects(guardStore, 10) {
			s.drop(k.Object)
		}
	}
	if len(s.held) < s.space {
		s.touch(team, key)
	}
	return false
}

// touch notes an object anew, which makes its context the newest.
func (s *shelf) touch(team string, key prefix.Key) {
	object, ok := s.held[key]
	if !ok {
		s.next++
		object = s.next
		s.held[key] = object
	}
	kept := placement.StoredObject{Store: guardStore, Incarnation: "i", Object: object, Generation: object, Blocks: 10, End: 10}
	s.board.Apply(placement.Note{Team: team, Key: key, Blocks: 10, Object: &kept}, time.Unix(1, 0))
}

func (s *shelf) drop(object uint64) {
	for key, held := range s.held {
		if held == object {
			delete(s.held, key)
		}
	}
}

// hits runs teams that return to their contexts beside one that sends twenty times as
// much and never returns; it returns the part of the others' requests that found theirs.
func hits(s *shelf, guarded bool) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	asked, found := 0, 0
	const requests = 30_000
	for n := range requests {
		who := random.IntN(guardTeams + 20)
		team := fmt.Sprint("team-", min(who, guardTeams))
		if !guarded {
			team = "one-for-all"
		}
		if who >= guardTeams {
			s.use(team, 1_000_000+n)
			continue
		}
		held := s.use(team, who*guardContexts+random.IntN(guardContexts))
		if n > requests/2 {
			asked++
			if held {
				found++
			}
		}
	}
	return float64(found) / float64(asked)
}

// TestGreedyTeamDoesNotEmptyTheStore holds the guard: without it the least recently used
// objects leave, whoever's they are.
func TestGreedyTeamDoesNotEmptyTheStore(t *testing.T) {
	with, without := hits(newShelf(t, ""), true), hits(newShelf(t, ""), false)
	t.Logf("contexts of teams that return, found: %.3f with the guard, %.3f without", with, without)
	if with < 0.95 || without > 0.5 {
		t.Fatal("the guard does not hold, or the test shows nothing")
	}
}

// TestUnusedShareIsLent has one team alone: it may fill the store.
func TestUnusedShareIsLent(t *testing.T) {
	s := newShelf(t, "")
	for i := range 2 * guardSpace {
		s.use("team-0", i)
	}
	if n := len(s.held); n < guardSpace-1 {
		t.Fatalf("%d of %d contexts are held", n, guardSpace)
	}
}
