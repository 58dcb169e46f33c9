package arbiter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
)

// While room is short and none appears, no request may be admitted after a more urgent one of at most its
// size was refused.
func TestMoreUrgentFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(3, balance.EngineLoad{Used: rapid.IntRange(0, memory).Draw(t, "used")})
		type refused struct{ urgency, tokens int }
		var before []refused
		for i := range 40 {
			r := f.request()
			r.Urgency, r.Tokens = rapid.IntRange(0, 2).Draw(t, "urgency"), rapid.IntRange(memory/16, memory/3).Draw(t, "tokens")
			if !granted(f.Decide(r, at(time.Duration(i)*10*time.Millisecond))) {
				before = append(before, refused{r.Urgency, r.Tokens})
				continue
			}
			for _, b := range before {
				if b.urgency < r.Urgency && b.tokens <= r.Tokens {
					t.Fatalf("%d tokens of urgency %d were admitted after %d of urgency %d were refused", r.Tokens, r.Urgency, b.tokens, b.urgency)
				}
			}
		}
	})
}

// Guards against a larger, less urgent request that is admitted after a smaller, more urgent one was refused,
// because room was counted in whole requests: here one request of 5,765 tokens fits each engine, and so does one of
// 3,843, but the room that is left over by the latter is more.
func TestLargerAndLessUrgentIsNotAdmitted(t *testing.T) {
	f := newFixture(3, balance.EngineLoad{Used: 47_315})
	var got []bool
	for urgency, tokens := range []int{7_687, 3_843, 5_765} {
		r := f.request()
		r.Urgency, r.Tokens = urgency, tokens
		got = append(got, granted(f.Decide(r, at(time.Duration(urgency)*10*time.Millisecond))))
	}
	// The first fits no engine, and must not keep out what it could not use.
	if diff := cmp.Diff([]bool{false, true, true}, got); diff != "" {
		t.Error(diff)
	}
}

// Room that appears must go to the more urgent requests that were refused, for a second, and no longer:
// their callers may never retry.
func TestWithholdsRoomForMoreUrgent(t *testing.T) {
	f := newFixture(1, balance.EngineLoad{})
	ids := f.fill(start, urgency(1))
	urgent := f.request()
	if diff := cmp.Diff(refusal(arbiter.NoRoom), f.Decide(urgent, start)); diff != "" {
		t.Error(diff)
	}
	f.Release(ids[0], start)
	if diff := cmp.Diff(refusal(arbiter.NoRoom), f.decide(at(900*time.Millisecond), urgency(1))); diff != "" {
		t.Error(diff)
	}
	if !granted(f.decide(at(1100*time.Millisecond), urgency(1))) {
		t.Error("room is withheld for too long")
	}
	f.Release(ids[1], at(1100*time.Millisecond))
	f.decide(at(1100*time.Millisecond), urgency(0))
	if diff := cmp.Diff(refusal(arbiter.NoRoom), f.decide(at(1100*time.Millisecond), urgency(0))); diff != "" {
		t.Error(diff)
	}
	f.Release(ids[2], at(1200*time.Millisecond))
	if !granted(f.decide(at(1200*time.Millisecond), urgency(0))) {
		t.Error("room is withheld from equally urgent requests")
	}
}

// A request that is refused again takes no more room than once, and none when it has been granted.
func TestWithholdsRoomOnce(t *testing.T) {
	f := newFixture(1, balance.EngineLoad{})
	ids := f.fill(start, urgency(1))
	urgent := f.request()
	f.Decide(urgent, start)
	f.Decide(urgent, start)
	f.Release(ids[0], start)
	f.Release(ids[1], start)
	if !granted(f.decide(start, urgency(1))) {
		t.Error("room is withheld twice for one request")
	}
	f.Decide(urgent, start)
	f.Release(ids[2], start)
	if !granted(f.decide(start, urgency(1))) {
		t.Error("room is withheld for a request that was granted")
	}
}

// Room that is too scattered for the requests that go first must not be granted as if they could use it.
func TestCountsRoomForWholeRequests(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{Waiting: 1})
	f.decide(start, urgency(0))
	f.decide(start, urgency(0))
	f.report(balance.EngineLoad{Used: memory - headroom - 2*tokens + 1}, at(100*time.Millisecond))
	if diff := cmp.Diff(refusal(arbiter.NoRoom), f.decide(at(100*time.Millisecond), urgency(1))); diff != "" {
		t.Error(diff)
	}
}
