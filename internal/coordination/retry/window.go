package retry

import "time"

const (
	// windowBuckets is the number of buckets in a sliding window.
	windowBuckets = 10
	// safetyFactor is the part of the allowance that is used. The rest covers entries that count
	// the same second slightly differently, and requests that were taken for lost but arrived.
	safetyFactor = 0.8
)

// Allowance limits retries over all entries together.
type Allowance struct {
	// Ratio is the share of the requests within Window that may be retried, and Slack how many
	// retries are allowed in addition. Both may be fractions.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Window counts the requests and retries of one service at one entry. The allowance holds for all
// entries together: each one gets the ratio of its own requests, and an equal part of the slack. It
// is not safe for concurrent use.
type Window struct {
	Allowance Allowance

	buckets [windowBuckets]counts
	// start is the time of the first call. Only differences from it are used, so that changes of
	// the wall clock have no effect. index is the number of the newest bucket, counted from start.
	start time.Time
	index int64
}

type counts struct{ requests, retries int }

// CountRequest counts a request.
func (w *Window) CountRequest(now time.Time) { w.bucket(now).requests++ }

// Take counts one retry and returns true if it is within the allowance; entries is the number of
// entries that share the allowance.
func (w *Window) Take(now time.Time, entries int) bool {
	p := w.bucket(now)
	var sum counts
	for _, c := range w.buckets {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	allowed := safetyFactor * (w.Allowance.Ratio*float64(sum.requests) + w.Allowance.Slack/float64(max(entries, 1)))
	if float64(sum.retries+1) > allowed {
		return false
	}
	p.retries++
	return true
}

// Return gives back a retry that was taken at a time and not made.
func (w *Window) Return(taken, now time.Time) {
	w.bucket(now)
	index := int64(taken.Sub(w.start) / w.bucketLength())
	if w.index-index < windowBuckets {
		w.buckets[index%windowBuckets].retries--
	}
}

func (w *Window) bucketLength() time.Duration {
	return max(w.Allowance.Window/windowBuckets, time.Millisecond)
}

// bucket returns the current bucket, after clearing those that are outside the window.
func (w *Window) bucket(now time.Time) *counts {
	if w.start.IsZero() {
		w.start = now
	}
	index := int64(now.Sub(w.start) / w.bucketLength())
	if index-w.index >= windowBuckets {
		w.buckets = [windowBuckets]counts{}
		w.index = index
	}
	for w.index < index {
		w.index++
		w.buckets[w.index%windowBuckets] = counts{}
	}
	return &w.buckets[w.index%windowBuckets]
}
