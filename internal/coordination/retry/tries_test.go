package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

func yes() bool { return true }
func no() bool  { return false }

func TestTries(t *testing.T) {
	stop := func(o outcome.Outcome) retry.Step { return retry.Stop{Outcome: o} }
	notRun := func(reason outcome.Reason) retry.Step {
		return stop(outcome.NotRun{RetryAfter: 300 * time.Millisecond, Reason: reason})
	}
	cases := []struct {
		name  string
		tries retry.RequestAttempts
		ends  []retry.Result
		may   func() bool
		want  retry.Step
	}{
		{"whole", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Completed{Status: 200}}, yes, stop(outcome.Answered{Status: 200})},
		{"refused, once more", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Refused{}}, yes, retry.Dispatch{}},
		{"refused, the last attempt", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Refused{}}, yes, notRun(outcome.ReasonRefused)},
		{"refused, no budget", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Refused{}}, no, notRun(outcome.ReasonRefused)},
		{"unreached costs no attempt", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Unreached{}}, no, retry.Dispatch{}},
		{"unreached four times", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Unreached{}, retry.Unreached{}, retry.Unreached{}, retry.Unreached{}}, yes, notRun(outcome.ReasonUnreachable)},
		{"misdirected counts against the budget", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Misdirected{}}, no, notRun(outcome.ReasonRefused)},
		{"misdirected, elsewhere", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Misdirected{}}, yes, retry.Dispatch{}},
		{"once only: it may have run", retry.RequestAttempts{MaxAttempts: 3}, []retry.Result{retry.Broken{}}, yes, stop(outcome.Unknown{Detail: "the instance gave no whole answer"})},
		{"once only: a failure is its answer", retry.RequestAttempts{MaxAttempts: 3}, []retry.Result{retry.Completed{Status: 500}}, yes, stop(outcome.Answered{Status: 500})},
		{"repeats after a failure", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Completed{Status: 500}}, yes, retry.Dispatch{}},
		{"repeats, no attempt left", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Completed{Status: 500}, retry.Completed{Status: 500}}, yes, stop(outcome.Answered{Status: 500})},
		{"a stream goes on", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true, Streamed: true}, []retry.Result{retry.Broken{Sent: 3}}, yes, retry.Resume{Offset: 3}},
		{"a stream that may not", retry.RequestAttempts{MaxAttempts: 2, Streamed: true}, []retry.Result{retry.Broken{Sent: 3}}, yes, stop(outcome.Failed{Detail: "the answer broke off"})},
		{"never not run after it ran", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Broken{}, retry.Refused{}}, yes, stop(outcome.Failed{Detail: "no instance gave a whole answer"})},
		{"the caller has gone", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.CallerGone{}}, yes, stop(outcome.Unknown{Detail: "the caller has gone"})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got retry.Step
			for _, end := range c.ends {
				got = c.tries.Next(end, c.may)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Over all entries, repeated sends stay within the share of the requests and the slack,
// however many entries there are, and in whichever part of a window they come.
func TestWindowsHoldTheAllowanceTogether(t *testing.T) {
	allowance := retry.Allowance{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	for _, entries := range []int{1, 8, 87} {
		windows := make([]*retry.Window, entries)
		for i := range windows {
			windows[i] = &retry.Window{Allowance: allowance}
		}
		var sent []time.Duration
		requests := 0
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			w := windows[int(at/time.Millisecond)%entries]
			now := time.Unix(0, 0).Add(at)
			w.CountRequest(now)
			requests++
			for w.Take(now, entries) {
				sent = append(sent, at)
			}
		}
		allowed := int(0.2*float64(requests)/3) + 56
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+allowance.Window {
					n++
				}
			}
			if n > allowed {
				t.Fatalf("%d entries: %d repeated sends within %s, allowed are %d", entries, n, allowance.Window, allowed)
			}
		}
		if entries == 1 && len(sent) < allowed {
			t.Errorf("only %d repeated sends in three windows", len(sent))
		}
	}
}
