package arbiter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
)

// A team that holds more than its fair share must leave the next room to a team that holds less, but not
// more than that team lacks.
func TestTeamsShareRoom(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{})
	ids := f.fill(start, team("a"))
	if diff := cmp.Diff(refusal(arbiter.NoRoom), f.decide(start, team("b"))); diff != "" {
		t.Error(diff)
	}
	f.Release(ids[0], at(10*time.Millisecond))
	if diff := cmp.Diff(refusal(arbiter.OverShare), f.decide(at(10*time.Millisecond), team("a"))); diff != "" {
		t.Error(diff)
	}
	if !granted(f.decide(at(20*time.Millisecond), team("b"))) {
		t.Error("a team without memory was refused")
	}
	f.decide(at(20*time.Millisecond), team("b"))
	for _, id := range ids[1:5] {
		f.Release(id, at(30*time.Millisecond))
	}
	if !granted(f.decide(at(40*time.Millisecond), team("a"))) {
		t.Error("more room is withheld than the other team lacks")
	}
}

// What a team was granted some seconds ago must not count for ever.
func TestTeamsBurstIsForgotten(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{})
	ids := f.fill(start, team("a"))
	f.decide(start, team("b"))
	later := at(4100 * time.Millisecond)
	f.report(balance.EngineLoad{Used: 5 * tokens}, later)
	f.decide(later, team("b"))
	f.Release(ids[0], later)
	if !granted(f.decide(later, team("a"))) {
		t.Error("a team without recent grants was refused")
	}
}

// Without a second team of the same urgency no room needs to be reserved.
func TestSingleTeamIsNotCharged(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{})
	ids := f.fill(start, team("a"))
	f.decide(start, func(r *arbiter.Request) { r.Team, r.Urgency = "b", 1 })
	f.Release(ids[0], start)
	if !granted(f.decide(start, team("a"))) {
		t.Error("refused for a team of another urgency")
	}
}
