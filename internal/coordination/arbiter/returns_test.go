package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

// fakeReturns has fixed answers and notes its calls.
type fakeReturns struct {
	due      quarantine.Digest
	reserved map[int]int
	calls    []string
}

func (f *fakeReturns) Refuse(_ quarantine.Digest, tokens, urgency int, maxWait time.Duration, _ time.Time) time.Duration {
	f.calls = append(f.calls, fmt.Sprint("refuse ", tokens, " ", urgency, " ", maxWait))
	return 700 * time.Millisecond
}
func (f *fakeReturns) Due(digest quarantine.Digest, _ time.Time) bool { return digest == f.due }
func (f *fakeReturns) Served(digest quarantine.Digest) {
	f.calls = append(f.calls, fmt.Sprint("served ", digest == f.due))
}
func (f *fakeReturns) Reserved(urgency int, _ time.Time) int { return f.reserved[urgency] }
func (f *fakeReturns) RecordRelease(tokens int, _ time.Time) {
	f.calls = append(f.calls, fmt.Sprint("release ", tokens))
}

func newReturnsFixture(line *fakeReturns) *fixture {
	f := &fixture{Arbiter: arbiter.New(1)}
	f.NewReturns = func() arbiter.Returns { return line }
	f.set(1)
	f.report(balance.EngineLoad{}, start)
	return f
}

// Room must be left to requests that are about to return and at least as urgent, except by those that return
// back themselves, which leave it to more urgent ones: otherwise requests would be refused twice while
// later ones are served.
func TestLeavesRoomForReturns(t *testing.T) {
	line := &fakeReturns{reserved: map[int]int{0: tokens, 1: 3 * tokens}}
	f := newReturnsFixture(line)
	if diff := cmp.Diff(2, len(f.fill(start, urgency(1)))); diff != "" {
		t.Error(diff)
	}
	back := f.fill(start, func(r *arbiter.Request) { r.Urgency, line.due = 1, r.Digest })
	if diff := cmp.Diff(2, len(back)); diff != "" {
		t.Error(diff)
	}
}

// A returning request must not be refused for the share of its team, and the line of returns must
// learn of refusals, grants and releases.
func TestReturns(t *testing.T) {
	line := &fakeReturns{}
	f := newReturnsFixture(line)
	var decisions []arbiter.Decision
	decide := func(change func(r *arbiter.Request)) { decisions = append(decisions, f.decide(start, change)) }
	ids := f.fill(start, team("a"))
	line.calls = nil
	decide(team("b"))
	f.Release(ids[0], start)
	decide(team("a"))
	decide(func(r *arbiter.Request) { line.due = r.Digest })
	f.decide(start, func(r *arbiter.Request) { r.Team, r.Remaining, r.Objective = "a", 4500*time.Millisecond, 4*time.Second })
	f.decide(start, func(r *arbiter.Request) { r.Team, r.Objective = "a", 0 })
	wait := 700 * time.Millisecond
	want := []arbiter.Decision{
		arbiter.Refusal{RetryAfter: wait, Reason: arbiter.NoRoom},
		arbiter.Refusal{RetryAfter: wait, Reason: arbiter.OverShare}, arbiter.Grant{Engine: f.engines[0].Incarnation, Free: memory - 4*tokens},
	}
	if diff := cmp.Diff(want, decisions); diff != "" {
		t.Error(diff)
	}
	calls := []string{"refuse 10000 0 750ms", "release 10000", "refuse 10000 0 750ms", "served true", "refuse 10000 0 1.5s", "refuse 10000 0 3.333333333s"}
	if diff := cmp.Diff(calls, line.calls); diff != "" {
		t.Error(diff)
	}
}
