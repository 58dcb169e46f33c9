package balance

import "time"

// failingProbeInterval is how often a failing instance is probed, by all entries together.
const failingProbeInterval = time.Second

// mayProbe reports whether this request may probe a failing instance: it must be retryable, and
// from the entry that has the quota for the probe.
func (c *candidate) mayProbe(info PickInfo, now time.Time) bool {
	return info.Retryable && info.quota(1, c.hash) > 0 && !now.Before(c.load.nextProbe)
}
