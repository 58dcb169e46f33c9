package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/admission"
)

// event is a finished or arriving request in the simulation of one entry.
type event struct {
	at time.Time
	// finish is the id of the request that ends, or 0 for a request of team that arrives.
	finish uint64
	team   int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// waits simulates ten minutes of ten teams that share 32 slots, with requests of a second on
// average; team 0 sends factor times as many requests as each other team. It returns the 95th
// percentile of the other teams' waits, where a refused request counts as a minute. With singleTeam
// all requests belong to one team, and so are served in the order of arrival.
func waits(factor float64, singleTeam bool) time.Duration {
	const slots, teams, each, minutes = 32, 10, 1.0, 10
	random := rand.New(rand.NewPCG(7, 7))
	q := admission.New(slots, 1024)
	pending := &events{}
	next := func(team int, at time.Time) {
		rate := each
		if team == 0 {
			rate *= factor
		}
		heap.Push(pending, event{at: at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))), team: team})
	}
	for team := range teams {
		next(team, start)
	}
	end := start.Add(minutes * time.Minute)
	arrived := map[uint64]event{}
	var others []time.Duration
	id := uint64(0)
	for pending.Len() > 0 {
		e := heap.Pop(pending).(event)
		if e.at.After(end) {
			break
		}
		var effects []admission.Effect
		if e.finish != 0 {
			effects = q.Step(admission.Finish{ID: e.finish}, e.at)
		} else {
			next(e.team, e.at)
			id++
			arrived[id] = e
			name := fmt.Sprint("team-", e.team)
			if singleTeam {
				name = "all"
			}
			in := arrive(id, name)
			in.MaxQueued = 1024
			effects = q.Step(in, e.at)
		}
		for _, effect := range effects {
			switch effect := effect.(type) {
			case admission.Start:
				a := arrived[effect.ID]
				if a.team != 0 {
					others = append(others, e.at.Sub(a.at))
				}
				heap.Push(pending, event{at: e.at.Add(time.Duration(random.ExpFloat64() * float64(time.Second))), finish: effect.ID})
			case admission.Refuse:
				if arrived[effect.ID].team != 0 {
					others = append(others, time.Minute)
				}
			}
		}
	}
	slices.Sort(others)
	return others[len(others)*95/100]
}

// Measures the waits of other teams when one team sends as many requests as each of them, twenty
// and forty times as many, and when requests are served in the order of arrival.
func TestOverloadingTeamBarelyDelaysOthers(t *testing.T) {
	calm, twenty, forty, byArrival := waits(1, false), waits(20, false), waits(40, false), waits(40, true)
	t.Logf("95th percentile of the other teams' waits: equal load %v, 20 times %v, 40 times %v; 40 times in the order of arrival %v", calm, twenty, forty, byArrival)
	if forty > 300*time.Millisecond || byArrival < 10*forty {
		t.Fatalf("equal load %v, 20 times %v, 40 times %v, in the order of arrival %v", calm, twenty, forty, byArrival)
	}
}
