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

// fullStore is one store that is filled, and the planner that evicts from it.
type fullStore struct {
	planner *placement.Planner
	held    map[prefix.Key]uint64
	space   int
	next    uint64
}

func newFullStore(t *testing.T, shares string) *fullStore {
	docs := []string{"document: stores\nversion: 1\nstores:\n  - {name: s, address: \"" + guardStore + "\", failure_domain: d, memory_bytes: 1, link_bytes_per_second: 1}\n"}
	if shares != "" {
		docs = append(docs, "document: teams\nversion: 1\nteams:\n"+shares)
	}
	state := stateOf(t, docs...)
	planner := placement.New("d", 100_000, 1)
	planner.ApplyDeclared(state)
	return &fullStore{planner: planner, held: map[prefix.Key]uint64{}, space: guardSpace}
}

// use requests a team's context and stores it if it is not held; it reports whether it was held.
func (s *fullStore) use(team string, context int) (held bool) {
	var key prefix.Key
	copy(key[:], team)
	binary.BigEndian.PutUint64(key[8:], uint64(context+1))
	now := time.Unix(1, 0)
	if _, ok := s.held[key]; ok {
		s.planner.Apply(placement.Note{Team: team, Key: key, Blocks: 10, Upstream: "u"}, now)
		s.touch(team, key)
		return true
	}
	if len(s.held) >= s.space {
		for _, k := range s.planner.EvictObjects(guardStore, 10) {
			s.drop(k.Object)
		}
	}
	if len(s.held) < s.space {
		s.touch(team, key)
	}
	return false
}

// touch records an object again, which makes its context the most recently used.
func (s *fullStore) touch(team string, key prefix.Key) {
	object, ok := s.held[key]
	if !ok {
		s.next++
		object = s.next
		s.held[key] = object
	}
	kept := placement.StoredObject{Store: guardStore, Incarnation: "i", Object: object, Generation: object, Blocks: 10, End: 10}
	s.planner.Apply(placement.Note{Team: team, Key: key, Blocks: 10, Object: &kept}, time.Unix(1, 0))
}

func (s *fullStore) drop(object uint64) {
	for key, held := range s.held {
		if held == object {
			delete(s.held, key)
		}
	}
}

// hits simulates teams that reuse their contexts next to one that sends twenty times as much and
// never reuses any. It returns the hit rate of the other teams.
func hits(s *fullStore, guarded bool) float64 {
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

// TestGreedyTeamDoesNotEmptyTheStore checks the guarantee: without it, the least recently used
// objects of any team are evicted.
func TestGreedyTeamDoesNotEmptyTheStore(t *testing.T) {
	with, without := hits(newFullStore(t, ""), true), hits(newFullStore(t, ""), false)
	t.Logf("hit rate of teams that reuse contexts: %.3f with the guarantee, %.3f without", with, without)
	if with < 0.95 || without > 0.5 {
		t.Fatal("the guarantee does not hold, or the workload does not need it")
	}
}

// TestUnusedShareIsLent checks that a team that is alone may fill the store.
func TestUnusedShareIsLent(t *testing.T) {
	s := newFullStore(t, "")
	for i := range 2 * guardSpace {
		s.use("team-0", i)
	}
	if n := len(s.held); n < guardSpace-1 {
		t.Fatalf("%d of %d contexts are held", n, guardSpace)
	}
}
