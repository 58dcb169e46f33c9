// Package routing chooses the upstream for a prompt, and decides whether its stored KV cache is
// fetched from a store first.
//
// For each upstream it estimates the time to first token: the wait for a slot, then the cheaper of
// recomputing and fetching what the engine does not have cached. The score adds the weighted cost
// of the recomputed tokens. Load reports lag, so the runs of this entry, which it can count
// exactly, replace what the report says about them.
package routing

import (
	"time"
)

const (
	// durationWeight is the weight of a new run's duration in the moving average.
	durationWeight = 0.1
	// defaultRunDuration is the duration assumed before any run has ended.
	defaultRunDuration = 2 * time.Second
	// ejectAfterFailures is how many consecutive failures eject an upstream.
	ejectAfterFailures = 3
	// minEjection is the length of the first ejection; each further one doubles it, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// halfOpenTime is how long an upstream gets at most one run at a time after an ejection.
	halfOpenTime = 2 * time.Second
)

// Upstream is the state that one entry holds about one engine.
type Upstream struct {
	// Slots, PrefillRate (tokens per second) and LinkRate (bytes per second) are declared.
	Slots       int
	PrefillRate float64
	LinkRate    float64
	// Version is the weight version that the engine last reported, empty while unknown. SameDomain
	// is true for upstreams in the entry's own failure domain.
	Model      string
	Version    string
	SameDomain bool

	// leaving is set by the declared state, a load report or a refusal, and listedLeaving by the
	// platform's list of instances. Either of them stops new runs.
	leaving, listedLeaving bool
	// reportedRuns is the number of running and queued runs in the last load report.
	reportedRuns int
	// ownRunsAtReport is the number of this entry's runs at the time of the report.
	ownRunsAtReport int
	// ownRuns is the number of this entry's runs now.
	ownRuns int
	// pendingTokens, pendingTokensAtReport and reportedPendingTokens are the same counts for prompt
	// tokens that wait for prefill: an engine computes one prompt after another.
	pendingTokens, pendingTokensAtReport, reportedPendingTokens int
	// mean is the moving average of how long a run holds a slot.
	mean time.Duration
	// failures counts consecutive failures, and ejections counts consecutive ejections.
	failures, ejections int
	ejectedUntil        time.Time
	halfOpenUntil       time.Time
	// backoffUntil is the time until which the upstream asked for no runs from this entry.
	backoffUntil time.Time
}

// NoteLoad records a load report; pendingTokens is the number of prompt tokens that wait for
// prefill at the engine.
func (u *Upstream) NoteLoad(running, queued, pendingTokens int, leaving bool) {
	u.reportedRuns = running + queued
	u.ownRunsAtReport = u.ownRuns
	u.reportedPendingTokens = pendingTokens
	u.pendingTokensAtReport = u.pendingTokens
	u.leaving = u.leaving || leaving
}

// NoteLeaving stops new runs on the upstream, or allows them again.
func (u *Upstream) NoteLeaving(leaving bool) { u.leaving = leaving }

// NoteListedLeaving records whether the platform's list has the instance as leaving.
func (u *Upstream) NoteListedLeaving(leaving bool) { u.listedLeaving = leaving }

// Leaving reports whether the upstream accepts no new runs.
func (u *Upstream) Leaving() bool { return u.leaving || u.listedLeaving }

// NoteBackoff records that the upstream asked for no runs from this entry until a time. It never
// shortens a backoff.
func (u *Upstream) NoteBackoff(until time.Time) {
	if until.After(u.backoffUntil) {
		u.backoffUntil = until
	}
}

// ClearBackoff ends the backoff, because another process has taken the upstream's address.
func (u *Upstream) ClearBackoff() { u.backoffUntil = time.Time{} }

// InBackoff reports whether the upstream asked for no runs from this entry at this time.
func (u *Upstream) InBackoff(now time.Time) bool { return now.Before(u.backoffUntil) }

// Begin records a dispatch; tokens is how many tokens of the prompt are to be computed.
func (u *Upstream) Begin(tokens int) {
	u.ownRuns++
	u.pendingTokens += tokens
}

// FirstToken records that the tokens of a dispatch were computed, or never will be.
func (u *Upstream) FirstToken(tokens int) { u.pendingTokens -= tokens }

// End records the end of a run that held a slot for d; d is 0 if the run never started.
func (u *Upstream) End(d time.Duration) {
	u.ownRuns--
	if d <= 0 {
		return
	}
	if u.mean == 0 {
		u.mean = d
		return
	}
	u.mean += time.Duration(durationWeight * float64(d-u.mean))
}

// NoteSuccess resets the counts of consecutive failures and ejections.
func (u *Upstream) NoteSuccess() { u.ForgetFailures() }

// ForgetFailures drops all failures and ends an ejection, because they had another cause than the upstream.
func (u *Upstream) ForgetFailures() {
	u.failures = 0
	u.ejections = 0
}

// NoteProbeSuccess resets the count of consecutive failures if no run is in flight. An answered
// status probe does not prove that runs succeed, so a current ejection stays in force.
func (u *Upstream) NoteProbeSuccess() {
	if u.ownRuns == 0 {
		u.failures = 0
	}
}

// NoteFailure counts a failure, and ejects the upstream after ejectAfterFailures consecutive ones. One during an ejection is of a run
// that was sent before it.
func (u *Upstream) NoteFailure(now time.Time) {
	if u.ejections > 0 && now.Before(u.ejectedUntil) {
		return
	}
	u.failures++
	if u.failures < ejectAfterFailures {
		return
	}
	u.failures = ejectAfterFailures - 1
	length := min(minEjection<<u.ejections, maxEjection)
	if u.ejections < 16 {
		u.ejections++
	}
	u.ejectedUntil = now.Add(length)
	u.halfOpenUntil = u.ejectedUntil.Add(halfOpenTime)
}

// Ejected reports whether the upstream gets no run because of its failures.
func (u *Upstream) Ejected(now time.Time) bool {
	if u.ejections == 0 {
		return false
	}
	if now.Before(u.ejectedUntil) {
		return true
	}
	return now.Before(u.halfOpenUntil) && u.ownRuns > 0
}

// occupancy estimates how many runs the upstream has: this entry's own, which are known, plus those
// of other entries according to the last report.
func (u *Upstream) occupancy() int {
	return u.ownRuns + max(u.reportedRuns-u.ownRunsAtReport, 0)
}

// expectedWait estimates, in seconds, how long a new run waits for a slot and for the prefill of
// the prompts before it.
func (u *Upstream) expectedWait() float64 {
	waiting := u.pendingTokens + max(u.reportedPendingTokens-u.pendingTokensAtReport, 0)
	return float64(waiting)/u.PrefillRate + u.expectedSlotWait()
}

func (u *Upstream) expectedSlotWait() float64 {
	ahead := u.occupancy() - u.Slots + 1
	if ahead <= 0 {
		return 0
	}
	mean := u.mean
	if mean == 0 {
		mean = defaultRunDuration
	}
	return float64(ahead) * mean.Seconds() / float64(u.Slots)
}
