package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

func allow() bool { return true }
func deny() bool  { return false }

func TestRequestAttempts(t *testing.T) {
	stop := func(o outcome.Outcome) retry.Step { return retry.Stop{Outcome: o} }
	notRun := func(reason outcome.Reason) retry.Step {
		return stop(outcome.NotRun{RetryAfter: 300 * time.Millisecond, Reason: reason})
	}
	cases := []struct {
		name       string
		tries      retry.RequestAttempts
		ends       []retry.Result
		takeBudget func() bool
		want       retry.Step
	}{
		{"whole", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Completed{Status: 200}}, allow, stop(outcome.Answered{Status: 200})},
		{"refused, one retry", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Refused{}}, allow, retry.Dispatch{}},
		{"refused, the last attempt", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Refused{}}, allow, notRun(outcome.ReasonRefused)},
		{"refused, no budget", retry.RequestAttempts{MaxAttempts: 2}, []retry.Result{retry.Refused{}}, deny, notRun(outcome.ReasonRefused)},
		{"unreached does not use up attempts", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Unreached{}}, deny, retry.Dispatch{}},
		{"unreached four times", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Unreached{}, retry.Unreached{}, retry.Unreached{}, retry.Unreached{}}, allow, notRun(outcome.ReasonUnreachable)},
		{"misdirected counts against the budget", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Misdirected{}}, deny, notRun(outcome.ReasonRefused)},
		{"misdirected, sent elsewhere", retry.RequestAttempts{MaxAttempts: 1}, []retry.Result{retry.Misdirected{}}, allow, retry.Dispatch{}},
		{"not idempotent: may have run", retry.RequestAttempts{MaxAttempts: 3}, []retry.Result{retry.Broken{}}, allow, stop(outcome.Unknown{Detail: "the instance gave no whole answer"})},
		{"not idempotent: status 500 is the answer", retry.RequestAttempts{MaxAttempts: 3}, []retry.Result{retry.Completed{Status: 500}}, allow, stop(outcome.Answered{Status: 500})},
		{"idempotent: retried after status 500", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Completed{Status: 500}}, allow, retry.Dispatch{}},
		{"idempotent: no attempt left", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Completed{Status: 500}, retry.Completed{Status: 500}}, allow, stop(outcome.Answered{Status: 500})},
		{"a resumable stream resumes", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true, Streamed: true}, []retry.Result{retry.Broken{Sent: 3}}, allow, retry.Resume{Offset: 3}},
		{"a stream that is not resumable fails", retry.RequestAttempts{MaxAttempts: 2, Streamed: true}, []retry.Result{retry.Broken{Sent: 3}}, allow, stop(outcome.Failed{Detail: "the answer broke off"})},
		{"never NotRun after an attempt may have run", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.Broken{}, retry.Refused{}}, allow, stop(outcome.Failed{Detail: "no instance gave a whole answer"})},
		{"the caller has gone", retry.RequestAttempts{MaxAttempts: 2, Idempotent: true}, []retry.Result{retry.CallerGone{}}, allow, stop(outcome.Unknown{Detail: "the caller has gone"})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got retry.Step
			for _, end := range c.ends {
				got = c.tries.Next(end, c.takeBudget)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The retries of all entries together stay within the ratio of the requests plus the slack, for any
// number of entries and any position within a window.
func TestWindowsShareTheAllowance(t *testing.T) {
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
				t.Fatalf("%d entries: %d retries within %s, allowed %d", entries, n, allowance.Window, allowed)
			}
		}
		if entries == 1 && len(sent) < allowed {
			t.Errorf("only %d retries in three windows", len(sent))
		}
	}
}

// Guards against retries beyond the allowance: one that is given back later must not count against later ones once its
// own time has left the window.
func TestReturnedRetryIsTakenFromItsOwnTime(t *testing.T) {
	w := retry.Window{Allowance: retry.Allowance{Window: 10 * time.Second, Slack: 12.5}}
	start := time.Unix(1000, 0)
	take := func(at time.Duration) (n int) {
		for w.Take(start.Add(at), 1) {
			n++
		}
		return n
	}
	allowed := take(0)
	for range allowed {
		w.Return(start, start.Add(1500*time.Millisecond))
	}
	if got := take(1500*time.Millisecond) + take(10100*time.Millisecond); got != allowed {
		t.Errorf("%d retries within a window that allows %d", got, allowed)
	}
	w.Return(start, start.Add(20*time.Second))
	if got := take(20 * time.Second); got != allowed {
		t.Errorf("%d retries in a later window that allows %d", got, allowed)
	}
}
