package retry_test

import (
	"testing"

	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// A caller gets NotRun only if no attempt can have run. Checks every sequence of results, for every
// kind of request, with and without retry budget.
func TestNotRunOnlyIfNoAttemptRan(t *testing.T) {
	ends := []retry.Result{
		retry.Completed{Status: 200}, retry.Completed{Status: 500}, retry.Refused{}, retry.Unreached{}, retry.Misdirected{},
		retry.Broken{}, retry.Broken{Sent: 3}, retry.CallerGone{},
	}
	const maxDepth = 5
	var try func(tries retry.RequestAttempts, takeBudget func() bool, ran bool, depth int)
	try = func(tries retry.RequestAttempts, takeBudget func() bool, ran bool, depth int) {
		if notRun(tries.GiveUp()) && ran {
			t.Errorf("%+v: GiveUp returned NotRun after an attempt that may have run", tries)
		}
		if depth == maxDepth {
			return
		}
		for _, end := range ends {
			next := tries
			ranSoFar := ran || mayHaveRun(end)
			stop, ok := next.Next(end, takeBudget).(retry.Stop)
			if !ok {
				try(next, takeBudget, ranSoFar, depth+1)
				continue
			}
			if ranSoFar && notRun(stop.Outcome) {
				t.Errorf("%+v: NotRun after %#v, although an attempt may have run", tries, end)
			}
		}
	}
	for _, attempts := range []int{1, 2, 3} {
		for _, kind := range []retry.RequestAttempts{{}, {Idempotent: true}, {Streamed: true}, {Idempotent: true, Streamed: true}} {
			kind.MaxAttempts = attempts
			try(kind, allow, false, 0)
			try(kind, deny, false, 0)
		}
	}
}

func mayHaveRun(end retry.Result) bool {
	switch end.(type) {
	case retry.Completed, retry.Broken:
		return true
	}
	return false
}

func notRun(o outcome.Outcome) bool {
	_, ok := o.(outcome.NotRun)
	return ok
}
