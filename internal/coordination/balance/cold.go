package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// coldShare is the share of a cold instance's capacity that entries use where no maximum is
	// declared.
	coldShare = 0.7
	// coldWindow is the period in which an entry sends its quota. It is a little longer than a
	// second because requests differ in how long they take to arrive.
	coldWindow = 1050 * time.Millisecond
	// coldPartitions is the number of groups into which a network partition may divide the entries,
	// so that they do not know of each other, while all of them reach an instance.
	coldPartitions = 2
)

// Capacity is the number of requests that an instance can take from all entries together in a
// period, which is a second for cold instances; the zero value stands for no bound.
type Capacity struct {
	// Rate is the number of requests that it can take in a period.
	Rate float64
	// Max is the number of requests that it must not exceed in any period, or 0 where none is
	// declared.
	Max float64
}

// groupQuota is the number of requests that a group of entries that know of each other sends an
// instance in a period.
func (b Capacity) groupQuota() int {
	if b.Max <= 0 {
		return max(1, int(coldShare*b.Rate))
	}
	return max(1, int(min(b.Rate, b.Max/coldPartitions)))
}

// quota is the part of a total that this entry gets. The total is dealt out to the entries in the
// order of their ranks, beginning with a different one for each instance, so that exactly the total
// is given out. If there are more entries than the total, some get nothing: if all of them took
// turns over time, an entry with nothing to send at its turn would leave it unused.
func (info PickInfo) quota(total int, hash uint64) int {
	entries := max(info.Entries, 1)
	rank := min(max(info.Rank, 0), entries-1)
	offset := (rank - firstRank(hash, entries) + entries) % entries
	return (total - offset + entries - 1) / entries
}

// firstRank is the rank of the entry with which the dealing of an instance's quotas begins.
func firstRank(hash uint64, entries int) int {
	return int(float64(hash>>11) / (1 << 53) * float64(entries))
}

// coldUntil is until when an instance counts as cold: by its heartbeats, by its answers, or because
// the evacuation of its failure domain has just ended.
func (c *candidate) coldUntil() time.Time {
	return latest(c.in.ColdUntil, c.domain.coldUntil, c.load.coldUntil)
}

func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// isCold reports whether an instance is cold and its capacity is bounded.
func (c *candidate) isCold(info PickInfo, now time.Time) bool {
	return info.Cold.Rate > 0 && now.Before(c.coldUntil())
}

// coldInterval is the time between two requests of one entry to a cold instance; ok is false when
// the entry has no quota. Without it, all entries would send to an instance that returns at once,
// because it looks idle beside the others.
func (c *candidate) coldInterval(info PickInfo) (interval time.Duration, ok bool) {
	n := info.quota(info.Cold.groupQuota(), c.hash)
	if n <= 0 {
		return 0, false
	}
	return coldWindow / time.Duration(n), true
}

// acceptsCold reports whether an instance, if it is cold, can take one more request from this
// entry.
func (c *candidate) acceptsCold(info PickInfo, now time.Time) bool {
	if !c.isCold(info, now) {
		return true
	}
	_, ok := c.coldInterval(info)
	return ok && !now.Before(c.load.nextColdSend)
}

// recordColdSend records that a request is sent to an instance that may be cold.
func (c *candidate) recordColdSend(info PickInfo, now time.Time) {
	if !c.isCold(info, now) {
		return
	}
	if interval, ok := c.coldInterval(info); ok {
		c.load.nextColdSend = now.Add(interval)
	}
}

// SetColdUntil records until when an instance is cold by one of its answers, which may arrive
// before the heartbeat that reports it.
func (b *Balancer) SetColdUntil(target registry.Incarnation, until time.Time) {
	l := b.load(target)
	l.coldUntil = latest(l.coldUntil, until)
}
