// Package routing decides on which upstream a prompt runs, and whether its kept
// context is fetched from a store first.
//
// For each upstream it estimates the time to the first token: the wait for a
// slot, then the cheaper of recomputing and fetching what the engine does not
// have. The score adds what recomputed tokens cost the deployment. Load reports
// lag, so the entry's own runs, which it knows exactly, take the place of what
// the report says of them.
package routing

import (
	"time"
)

const (
	// meanMemory is the weight of a new run's duration in the running mean.
	meanMemory = 0.1
	// firstRun is the duration assumed before any run has ended.
	firstRun = 2 * time.Second
	// ejectAfter is how many failures in a row eject an upstream.
	ejectAfter = 3
	// ejectFirst is the first ejection's length; each next one doubles it up to
	// ejectMost.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// returnTime is how long a returning upstream is only tried with one run.
	returnTime = 2 * time.Second
)

// Upstream is what one entry knows of one engine.
type Upstream struct {
	// Slots, PrefillRate (tokens a second) and LinkRate (bytes a second) are
	// declared.
	Slots       int
	PrefillRate float64
	LinkRate    float64
	// Model, Version and Near say whether it may and should be used: Version is
	// what the engine last said it serves, empty while unknown; Near is true in
	// the entry's own failure domain.
	Model      string
	Version    string
	SameDomain bool

	// leaving is set by declaration, report or refusal, and listed by the platform's
	// list; either ends new work.
	leaving, listed bool
	// reported is what the last report said: running plus queued.
	reported int
	// ownAtReport is how many of this entry's runs were there at the report.
	ownAtReport int
	// own is how many of this entry's runs are there now.
	own int
	// reading, readingAtReport and reportedReading are the same for prompt tokens
	// that wait to be computed: an engine computes one prompt after another.
	reading, readingAtReport, reportedReading int
	// mean is the running mean of how long runs hold a slot.
	mean time.Duration
	// failures counts failures in a row; ejections those that ended in one.
	failures, ejections int
	ejectedUntil        time.Time
	returningUntil      time.Time
	// restUntil is until when it wants nothing from this entry.
	restUntil time.Time
}

// NoteLoad takes a load report; reading is the prompt tokens that wait there to be
// computed.
func (u *Upstream) NoteLoad(running, queued, reading int, leaving bool) {
	u.reported = running + queued
	u.ownAtReport = u.own
	u.reportedReading = reading
	u.readingAtReport = u.reading
	u.leaving = u.leaving || leaving
}

// NoteLeaving ends new work there, or begins it again.
func (u *Upstream) NoteLeaving(leaving bool) { u.leaving = leaving }

// NoteListedLeaving takes what the platform's list says.
func (u *Upstream) NoteListedLeaving(leaving bool) { u.listed = leaving }

// Leaving reports whether the upstream takes no new work.
func (u *Upstream) Leaving() bool { return u.leaving || u.listed }

// NoteBackoff takes that the upstream wants no run from this entry until some time; an earlier end takes
// nothing back.
func (u *Upstream) NoteBackoff(until time.Time) {
	if until.After(u.restUntil) {
		u.restUntil = until
	}
}

// ClearBackoff forgets a rest, as another process has the upstream's place.
func (u *Upstream) ClearBackoff() { u.restUntil = time.Time{} }

// InBackoff reports whether the upstream wants no run from this entry now.
func (u *Upstream) InBackoff(now time.Time) bool { return now.Before(u.restUntil) }

// Begin notes a dispatch; tokens is how many of the prompt are to be computed.
func (u *Upstream) Begin(tokens int) {
	u.own++
	u.reading += tokens
}

// FirstToken notes that the tokens of a dispatch are computed, or never will be.
func (u *Upstream) FirstToken(tokens int) { u.reading -= tokens }

// End notes the end of a run that held a slot for d; d is 0 when it never ran.
func (u *Upstream) End(d time.Duration) {
	u.own--
	if d <= 0 {
		return
	}
	if u.mean == 0 {
		u.mean = d
		return
	}
	u.mean += time.Duration(meanMemory * float64(d-u.mean))
}

// NoteSuccess ends a row of failures.
func (u *Upstream) NoteSuccess() {
	u.failures = 0
	u.ejections = 0
}

// NoteProbeSuccess ends a row of failures to answer questions; it does not vouch for
// runs, so an ejection takes its course.
func (u *Upstream) NoteProbeSuccess() {
	if u.own == 0 {
		u.failures = 0
	}
}

// NoteFailure counts a failure, and ejects the upstream after several in a row.
func (u *Upstream) NoteFailure(now time.Time) {
	u.failures++
	if u.failures < ejectAfter {
		return
	}
	u.failures = ejectAfter - 1
	length := min(ejectFirst<<u.ejections, ejectMost)
	if u.ejections < 16 {
		u.ejections++
	}
	u.ejectedUntil = now.Add(length)
	u.returningUntil = u.ejectedUntil.Add(returnTime)
}

// Ejected reports whether the upstream is out of use for its failures.
func (u *Upstream) Ejected(now time.Time) bool {
	if u.ejections == 0 {
		return false
	}
	if now.Before(u.ejectedUntil) {
		return true
	}
	return now.Before(u.returningUntil) && u.own > 0
}

// occupied estimates how many runs are there: this entry's own, which it knows,
// and those of others, which only the last report tells.
func (u *Upstream) occupied() int {
	return u.own + max(u.reported-u.ownAtReport, 0)
}

// wait estimates in seconds how long a new run waits for a slot and for the prompts
// before it.
func (u *Upstream) wait() float64 {
	waiting := u.reading + max(u.reportedReading-u.readingAtReport, 0)
	return float64(waiting)/u.PrefillRate + u.waitForSlot()
}

func (u *Upstream) waitForSlot() float64 {
	ahead := u.occupied() - u.Slots + 1
	if ahead <= 0 {
		return 0
	}
	mean := u.mean
	if mean == 0 {
		mean = firstRun
	}
	return float64(ahead) * mean.Seconds() / float64(u.Slots)
}
