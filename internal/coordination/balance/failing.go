package balance

import "time"

// probeFailing is how often an instance that answers and fails is tried, by all entries together.
const probeFailing = time.Second

// mayProbe reports whether this request is to try a failing instance: one that may run again
// elsewhere, of the entry whose turn it is.
func (c *candidate) mayProbe(w PickInfo, now time.Time) bool {
	return w.Retryable && w.turn(1, c.hash) > 0 && !now.Before(c.load.probeNext)
}
