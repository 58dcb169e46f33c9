package loads

import "time"

// recovery tells when the engines of a service respond one after another after most of them have been unresponsive. Entries prefer
// engines whose load is known, so the loads of the first few would have all entries send to these.
type recovery struct {
	// responsive is how many engines responded before the last round, and few whether that was under half of them.
	responsive int
	few        bool
	// active is true until half of the engines respond, or until recoveryTimeout has passed since lastGrowth, when more responded
	// than before.
	active     bool
	lastGrowth time.Time
}

// update records how many engines are responsive before a round.
func (r *recovery) update(responsive, engines int, now time.Time) {
	fewBefore := r.few
	r.few = 2*responsive < engines
	begins := r.few && (responsive == 0 || !fewBefore)
	if begins || responsive > r.responsive {
		r.lastGrowth = now
	}
	r.responsive = responsive
	r.active = r.few && (begins || r.active && now.Sub(r.lastGrowth) <= recoveryTimeout)
}

// withholds reports whether the loads that are known are not to be published.
func (r *recovery) withholds(known, engines int) bool {
	fell := !r.few && 2*known < engines
	return r.active || fell
}
