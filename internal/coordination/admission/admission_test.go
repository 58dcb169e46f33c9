package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/admission"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

var start = time.Unix(1000, 0)

func arrive(id uint64, team string) admission.Arrive {
	return admission.Arrive{ID: id, Team: team, Share: 1, MaxQueued: 1000, Cost: 100}
}

// finishAndCollect finishes n requests and returns the teams of the requests started by that, in
// order.
func finishAndCollect(q *admission.Queue, team map[uint64]string, running []uint64, n int) []string {
	var order []string
	now := start
	for range n {
		now = now.Add(100 * time.Millisecond)
		id := running[0]
		running = running[1:]
		for _, e := range q.Step(admission.Finish{ID: id}, now) {
			if s, ok := e.(admission.Start); ok {
				running = append(running, s.ID)
				order = append(order, team[s.ID])
			}
		}
	}
	return order
}

// One team sends twenty times as many requests as the others. As long as the others have waiting
// requests, they must start as often as it does.
func TestTeamsShareFairly(t *testing.T) {
	q := admission.New(2, 1000)
	team := map[uint64]string{}
	var running []uint64
	id := uint64(0)
	put := func(name string, n int) {
		for range n {
			id++
			team[id] = name
			for _, e := range q.Step(arrive(id, name), start) {
				if s, ok := e.(admission.Start); ok {
					running = append(running, s.ID)
				}
			}
		}
	}
	put("greedy", 200)
	put("small", 10)
	put("other", 10)
	counts := map[string]int{}
	for _, name := range finishAndCollect(q, team, running, 30) {
		counts[name]++
	}
	if diff := cmp.Diff(map[string]int{"greedy": 10, "small": 10, "other": 10}, counts); diff != "" {
		t.Fatal(diff)
	}
}

// A team's batch requests must wait behind its interactive ones.
func TestInteractiveGoesFirst(t *testing.T) {
	q := admission.New(1, 100)
	q.Step(arrive(1, "a"), start)
	for id := uint64(2); id < 12; id++ {
		in := arrive(id, "a")
		in.Class = admission.Batch
		q.Step(in, start)
	}
	q.Step(arrive(20, "a"), start)
	effects := q.Step(admission.Finish{ID: 1}, start.Add(time.Second))
	if diff := cmp.Diff([]admission.Effect{admission.Start{ID: 20}}, effects); diff != "" {
		// The first batch request has the same start tag and came earlier.
		if diff := cmp.Diff([]admission.Effect{admission.Start{ID: 2}}, effects); diff != "" {
			t.Fatal(diff)
		}
		effects = q.Step(admission.Finish{ID: 2}, start.Add(2*time.Second))
		if diff := cmp.Diff([]admission.Effect{admission.Start{ID: 20}}, effects); diff != "" {
			t.Fatal(diff)
		}
	}
}

func TestRefusals(t *testing.T) {
	full := func(maxQueued int) (*admission.Queue, admission.Arrive) {
		q := admission.New(1, 3)
		for id := uint64(1); id <= 4; id++ {
			q.Step(arrive(id, "greedy"), start)
		}
		in := arrive(10, "greedy")
		in.MaxQueued = maxQueued
		return q, in
	}
	refused := func(id uint64, reason outcome.Reason, after time.Duration) []admission.Effect {
		return []admission.Effect{admission.Refuse{ID: id, Outcome: outcome.NotRun{RetryAfter: after, Reason: reason}}}
	}
	t.Run("the queue is full, and its longest flow is that of the request", func(t *testing.T) {
		q, in := full(100)
		if diff := cmp.Diff(refused(10, outcome.ReasonQueueFull, time.Second), q.Step(in, start)); diff != "" {
			t.Fatal(diff)
		}
	})
	t.Run("the team's queue is full", func(t *testing.T) {
		q, in := full(2)
		if diff := cmp.Diff(refused(10, outcome.ReasonTeamQueueFull, time.Second), q.Step(in, start)); diff != "" {
			t.Fatal(diff)
		}
	})
	t.Run("another team evicts the newest request of the longest flow", func(t *testing.T) {
		q, _ := full(100)
		if diff := cmp.Diff(refused(4, outcome.ReasonQueueFull, time.Second), q.Step(arrive(11, "small"), start)); diff != "" {
			t.Fatal(diff)
		}
		if q.Waiting() != 3 {
			t.Fatalf("%d wait", q.Waiting())
		}
	})
	t.Run("the deadline cannot be met, and RetryAfter is the estimated wait", func(t *testing.T) {
		q := admission.New(1, 100)
		now := start
		for id := uint64(1); id <= 30; id++ {
			q.Step(arrive(id, "a"), now)
		}
		for id := uint64(1); id <= 20; id++ {
			now = now.Add(time.Second)
			q.Step(admission.Finish{ID: id}, now)
		}
		in := arrive(100, "a")
		in.Deadline = now.Add(2 * time.Second)
		effects := q.Step(in, now)
		r, ok := effects[0].(admission.Refuse)
		if !ok || r.Outcome.Reason != outcome.ReasonDeadline {
			t.Fatalf("%+v", effects)
		}
		// Ten requests wait and one finishes per second, so the wait is about ten seconds.
		if after := r.Outcome.RetryAfter; after < 8*time.Second || after > 14*time.Second {
			t.Fatalf("Retry-After %v", after)
		}
	})
}

// Over random inputs, each request must be started, refused or canceled once, and the maximum
// numbers of running and waiting requests must hold.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.New(3, 8)
		ended := map[uint64]string{}
		var running, waiting []uint64
		now := start
		note := func(effects []admission.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case admission.Start:
					if ended[e.ID] != "" {
						t.Fatalf("%d started after it was %s", e.ID, ended[e.ID])
					}
					ended[e.ID] = "started"
					running = append(running, e.ID)
				case admission.Refuse:
					if ended[e.ID] != "" {
						t.Fatalf("%d refused after it was %s", e.ID, ended[e.ID])
					}
					ended[e.ID] = "refused"
					if e.Outcome.RetryAfter < time.Second {
						t.Fatalf("Retry-After %v", e.Outcome.RetryAfter)
					}
				}
			}
		}
		for id := range uint64(80) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			in := arrive(id+1, fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")))
			in.Cost = float64(rapid.IntRange(0, 1000).Draw(t, "cost"))
			if rapid.Bool().Draw(t, "hurry") {
				in.Deadline = now.Add(time.Second)
			}
			waiting = append(waiting, in.ID)
			note(q.Step(in, now))
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				note(q.Step(admission.Finish{ID: running[0]}, now))
				running = running[1:]
			}
			if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
				victim := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "victim")]
				note(q.Step(admission.Cancel{ID: victim}, now))
				if ended[victim] == "" {
					ended[victim] = "canceled"
				}
			}
			if q.Running() > 3 || q.Waiting() > 8 || q.Running() != len(running) {
				t.Fatalf("%d run, %d wait", q.Running(), q.Waiting())
			}
		}
		for len(running) > 0 {
			note(q.Step(admission.Finish{ID: running[0]}, now))
			running = running[1:]
		}
		for _, id := range waiting {
			if ended[id] == "" {
				t.Fatalf("%d never ended", id)
			}
		}
	})
}

// When nothing can run any more, waiting and arriving requests must be refused at once; when
// requests can run again, they must be served.
func TestClosedQueueRefusesAtOnce(t *testing.T) {
	q := admission.New(1, 10)
	at := time.Unix(0, 0)
	arrive := func(id uint64) []admission.Effect {
		return q.Step(admission.Arrive{ID: id, Team: "t", Share: 1, MaxQueued: 10, Cost: 1}, at)
	}
	arrive(1)
	arrive(2)
	arrive(3)
	refused := func(effects []admission.Effect) (ids []uint64) {
		for _, e := range effects {
			r, ok := e.(admission.Refuse)
			if !ok || r.Outcome.Reason != outcome.ReasonNoUpstream || r.Outcome.RetryAfter <= 0 {
				t.Errorf("%+v", e)
				continue
			}
			ids = append(ids, r.ID)
		}
		return ids
	}
	if diff := cmp.Diff([]uint64{2, 3}, refused(q.Step(admission.Resize{Waiting: 10, Closed: true}, at))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{4}, refused(arrive(4))); diff != "" {
		t.Error(diff)
	}
	q.Step(admission.Finish{ID: 1}, at)
	q.Step(admission.Resize{Running: 1, Waiting: 10}, at)
	if diff := cmp.Diff([]admission.Effect{admission.Start{ID: 5}}, arrive(5)); diff != "" {
		t.Error(diff)
	}
}
