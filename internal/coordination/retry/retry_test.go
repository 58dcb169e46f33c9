package retry_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

func TestNext(t *testing.T) {
	notRun := func(r outcome.Reason) retry.Step {
		return retry.Stop{Outcome: outcome.NotRun{RetryAfter: 1e9, Reason: r}}
	}
	cases := []struct {
		name     string
		ends     []retry.Result
		streamed bool
		want     retry.Step
	}{
		{"whole", []retry.Result{retry.Completed{Status: 200}}, true, retry.Stop{Outcome: outcome.Answered{Status: 200}}},
		{"refused once", []retry.Result{retry.Refused{}}, false, retry.Dispatch{}},
		{"refused everywhere", []retry.Result{retry.Refused{}, retry.Refused{}, retry.Refused{}}, false, notRun(outcome.ReasonRefused)},
		{"unreached three times: others may be reachable", []retry.Result{retry.Unreached{}, retry.Unreached{}, retry.Unreached{}}, true, retry.Dispatch{}},
		{"unreached everywhere", slices.Repeat([]retry.Result{retry.Unreached{}}, retry.MaxUnreached), true, notRun(outcome.ReasonUnreachable)},
		{"unreached does not use up attempts", []retry.Result{retry.Unreached{}, retry.Unreached{}, retry.Refused{}, retry.Refused{}}, false, retry.Dispatch{}},
		{"broken, then refused: may have run", []retry.Result{retry.Broken{}, retry.Refused{}, retry.Refused{}}, false,
			retry.Stop{Outcome: outcome.Failed{Detail: "no upstream gave a whole answer"}}},
		{"a broken stream resumes", []retry.Result{retry.Broken{Sent: 5}}, true, retry.Resume{Offset: 5}},
		{"a broken stream that cannot resume is never spliced", []retry.Result{retry.Broken{Sent: 5}, retry.Broken{Sent: 7}, retry.Broken{Sent: 7}}, true,
			retry.Stop{Outcome: outcome.Failed{Detail: "the answer broke off and its run cannot go on"}}},
		{"a stream without a sent event may run elsewhere", []retry.Result{retry.Broken{}, retry.Broken{}, retry.Broken{}}, true, retry.Dispatch{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r retry.PromptAttempts
			budget := retry.NewBudget()
			var step retry.Step = retry.Dispatch{}
			for _, end := range c.ends {
				if _, ok := step.(retry.Dispatch); ok {
					r.Begin()
				}
				step = r.Next(end, c.streamed, budget)
			}
			if diff := cmp.Diff(c.want, step); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestNoRetryStorm guards against retry storms: every upstream fails every request, and beyond the
// accumulated budget the retries must stay at a tenth of the requests.
func TestNoRetryStorm(t *testing.T) {
	const requests = 1000
	budget := retry.NewBudget()
	attempts := 0
	for range requests {
		budget.Earn()
		var r retry.PromptAttempts
		var step retry.Step = retry.Dispatch{}
		for {
			if _, ok := step.(retry.Dispatch); !ok {
				break
			}
			r.Begin()
			step = r.Next(retry.Refused{}, false, budget)
		}
		attempts += r.Attempts()
	}
	if attempts > requests*112/100+20 {
		t.Fatalf("%d attempts for %d requests", attempts, requests)
	}
}
