package balance

import "time"

const (
	// windowDecrease is what is left of a window after a refusal, and minWindowShare the least that is left of its
	// share of the slots.
	windowDecrease = 0.6
	minWindowShare = 0.1
	// windowIncrease is by how much of its share a window that is in full use grows in a second at most, times the refusals
	// per second that the instance can give to each entry. At the rate at which such windows meet refusals, all
	// entries together use an eighth of the limit.
	windowIncrease = 0.05
	// refusalShare is the part of an instance's refusal limit that the entries which know of each other use, so that two
	// groups of them stay within it together.
	refusalShare = 0.5
	// minRefusalLimit and maxRefusalLimit bound the refusals per second that windows reckon with.
	minRefusalLimit = 0.5
	maxRefusalLimit = 100
	// minWindowStop and maxWindowStop bound the time without requests after a refusal.
	minWindowStop = 300 * time.Millisecond
	maxWindowStop = 10 * time.Second
)

// window bounds how many requests of its own this entry has in flight at an instance with a refusal limit. It begins with the
// entry's share of the instance's slots, shrinks by a factor with each refusal, and grows slowly while it is in full use
// (additive increase, multiplicative decrease). A window below 1 stands for one request at a time with pauses, so that
// its part of the time is in use.
type window struct {
	// size is the number of requests in flight, valid for the time without a break that began at episode.
	size    float64
	episode time.Time
	// used is true once a request was sent under the window. What ends before was sent without it.
	used bool
	// sharing is what share and sharers were computed for: the entry's share of the slots, and the number of entries with
	// a share.
	sharing        sharing
	share, sharers float64
	// slots is the number of the instance's slots at the latest request.
	slots int
	// pace, from 0.5 to 1, is that of its growth. It differs between entries and instances, so that the windows of all
	// entries do not allow one more request at the same time.
	pace float64
	// stopUntil is until when nothing is sent after a refusal.
	stopUntil time.Time
	// grownAt is when it last grew or shrank, or began.
	grownAt time.Time
	// busySince is when the latest request was sent while none was in flight, and nextSend when the next one may be if
	// size is below 1.
	busySince, nextSend time.Time
}

// sharing is what an entry's share of an instance's slots depends on.
type sharing struct {
	entries, rank int
	// limit is the refusal limit in refusals per second.
	limit float64
}

// fragility is what a choice needs to know about the refusal limits of a service.
type fragility struct {
	service *fragileService
	dealtSlots
	// latency is the mean latency of the service in seconds.
	latency float64
}

// fragility returns nil unless the service has refusal limits.
func (b *Balancer) fragility(set *candidateSet, info PickInfo, now time.Time) *fragility {
	if len(b.fragile) == 0 || len(set.candidates) == 0 {
		return nil
	}
	s := b.fragile[set.service()]
	if s == nil || now.Sub(s.last) > refusalLimitTTL {
		return nil
	}
	f := &fragility{service: s, dealtSlots: set.dealtSlots(info), latency: initialLatency}
	if latency, ok := b.latencies[set.service()]; ok {
		f.latency = latency
	}
	for i := range set.candidates {
		// Also instances that were not used yet have windows, whose pauses begin when they are first looked at.
		if c := &set.candidates[i]; c.load == b.unused {
			b.load(c.in.Incarnation())
		}
	}
	return f
}

// refusalLimit returns the refusal limit of an instance, if it has one, within the bounds that windows reckon with.
func (c *candidate) refusalLimit(info PickInfo, now time.Time) (perSecond float64, ok bool) {
	if info.fragility == nil {
		return 0, false
	}
	perSecond, ok = info.fragility.service.limitOf(c.load, now)
	return min(max(perSecond, minRefusalLimit), maxRefusalLimit), ok
}

// withinWindow reports whether an instance, if it has a refusal limit, has room for one more request of this entry.
func (c *candidate) withinWindow(info PickInfo, now time.Time) bool {
	limit, limited := c.refusalLimit(info, now)
	if !limited {
		return true
	}
	inFlight := float64(c.load.own())
	w := c.window(info, limit, now)
	switch {
	case now.Before(w.stopUntil):
		return false
	case w.size >= 1 && inFlight+1 > w.size:
		return false
	case w.size < 1 && (w.size <= 0 || inFlight > 0 || now.Before(w.nextSend)):
		return false
	}
	return c.fitsShare(info, now)
}

// window returns the window of an instance with a refusal limit: a new one if the limit or the instance is. It follows the
// entry's share. Windows below 1 begin one after the other, in the order of the entries' ranks.
func (c *candidate) window(info PickInfo, limit float64, now time.Time) *window {
	w := &c.load.window
	episode, to := info.fragility.service.first, sharing{entries: info.Entries, rank: info.Rank, limit: limit}
	if !w.episode.Equal(episode) {
		*w = window{episode: episode, grownAt: now, pace: growthPace(info.Rank, c.hash)}
	} else if w.sharing == to {
		return w
	}
	wasFraction := w.size > 0 && w.size < 1
	w.sharing = to
	share, sharers := c.windowShare(info, limit)
	w.resize(share, sharers)
	if w.size > 0 && w.size < 1 && !wasFraction {
		turn := float64(info.Rank) / float64(max(info.Entries, 1))
		w.nextSend = now.Add(time.Duration(turn * info.fragility.latency / w.size * float64(time.Second)))
	}
	return w
}

// growthPace returns the pace at which the window of an entry with a rank grows at an instance.
func growthPace(rank int, instance uint64) float64 {
	mixed := (instance ^ uint64(rank)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return 0.5 + 0.5*float64(mixed>>11)/(1<<53)
}

// resize has the window be as large a part of a new share as it was of the share before.
func (w *window) resize(share, sharers float64) {
	if w.share > 0 {
		w.size *= share / w.share
	} else {
		w.size = share
	}
	w.share, w.sharers = share, sharers
}

// fitsShare reports whether this entry's share of an engine's free memory has room for a request, where the memory is
// known. Requests that wait for memory take the places in the engine's queue.
func (c *candidate) fitsShare(info PickInfo, now time.Time) bool {
	reported, known := info.Loads[c.in.Incarnation()]
	if !known || info.Memory == 0 || info.Tokens == 0 {
		return true
	}
	free, required := info.Memory-reported.Used, info.Tokens
	if info.Long() {
		if reported.Waiting > 0 {
			return false
		}
		free, required = UsableRoom(info.Memory, free), RequiredRoom(info.Tokens, info.Memory)
	}
	reserved := 0
	for _, s := range c.load.recentReservations(now, info.maxLoadAge()) {
		reserved += s.tokens
	}
	return reserved+required <= info.quota(max(free, 0)/required, c.hash)*required
}

// recordWindowSend records that a request is sent to an instance that may have a refusal limit.
func (c *candidate) recordWindowSend(info PickInfo, now time.Time) {
	limit, limited := c.refusalLimit(info, now)
	if !limited {
		c.load.window = window{}
		return
	}
	w := c.window(info, limit, now)
	w.used, w.slots = true, c.slots()
	if c.load.own() == 0 {
		w.busySince = now
	}
}

// recordEnd records the end of a request; inFlight is the number of requests in flight before that, and silence for how long
// the instance was silent. That does not lengthen the pause that follows: a second would become many at each instance.
func (w *window) recordEnd(r Result, inFlight int, silence time.Duration, now time.Time) {
	switch {
	case !w.used:
		return
	case r.Aborted:
	case r.Refused:
		w.size = max(w.size*windowDecrease, w.share*minWindowShare)
		w.grownAt = now
		stop := time.Duration(w.sharers / (w.sharing.limit * refusalShare) * float64(time.Second))
		w.stopUntil = now.Add(min(max(stop, minWindowStop), maxWindowStop))
	case float64(inFlight)+1 > w.size:
		grown := min(now.Sub(w.grownAt), time.Second).Seconds() * windowIncrease * w.pace * w.share * w.sharing.limit / w.sharers
		w.size = min(w.size+grown, float64(w.slots))
		w.grownAt = now
	}
	if w.size < 1 && inFlight == 1 && !r.Refused {
		w.nextSend = now.Add(time.Duration(float64(now.Sub(w.busySince)-silence) * (1/w.size - 1)))
	}
}
