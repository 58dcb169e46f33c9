package retry

import "time"

const (
	// windowParts is how finely a window slides.
	windowParts = 10
	// safety is the part of the allowance that is used: entries see the same second a
	// little differently, and a message that was lost may have arrived.
	safety = 0.8
)

// Allowance bounds repeated sends over all entries together.
type Allowance struct {
	// Ratio is the share of the requests in Window that may be sent again, and Slack is how
	// many may be besides; both may be fractions.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Window counts the requests and repeated sends of one service at one entry. The
// allowance holds for all entries: each takes the share of its own requests, and an equal
// part of the slack. It is not safe for concurrent use.
type Window struct {
	Allowance Allowance

	parts [windowParts]counts
	// start is the first time seen: only differences count, so that a step of the time of
	// day changes nothing. at is the number of the newest part since then.
	start time.Time
	at    int64
}

type counts struct{ requests, repeats int }

// CountRequest notes a request.
func (w *Window) CountRequest(now time.Time) { w.part(now).requests++ }

// Take counts one repeated send if it is within the allowance; entries is how many entries
// share it.
func (w *Window) Take(now time.Time, entries int) bool {
	p := w.part(now)
	var sum counts
	for _, c := range w.parts {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	allowed := safety * (w.Allowance.Ratio*float64(sum.requests) + w.Allowance.Slack/float64(max(entries, 1)))
	if float64(sum.repeats+1) > allowed {
		return false
	}
	p.repeats++
	return true
}

// part returns the newest part, after dropping those that are out of the window.
func (w *Window) part(now time.Time) *counts {
	length := max(w.Allowance.Window/windowParts, time.Millisecond)
	if w.start.IsZero() {
		w.start = now
	}
	at := int64(now.Sub(w.start) / length)
	if at-w.at >= windowParts {
		w.parts = [windowParts]counts{}
		w.at = at
	}
	for w.at < at {
		w.at++
		w.parts[w.at%windowParts] = counts{}
	}
	return &w.parts[w.at%windowParts]
}
