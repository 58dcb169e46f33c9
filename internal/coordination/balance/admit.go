package balance

import (
	"math"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// meanLoadDelay is the mean delay until an entry gets a measured engine load, besides half of
	// the polling interval. With twice as much in total, prompts were refused at normal load.
	meanLoadDelay = 150 * time.Millisecond
	// demandDecayTime is the period over which an entry's long prompts are averaged: one of 79
	// entries gets about one a second, and a burst lasts some seconds.
	demandDecayTime = 4 * time.Second
)

// Admit reports whether a request is to be sent now, and how many tokens are known to be free in
// the engines with room for it. It refuses a long prompt when no eligible engine has room, or when
// all entries together ask for more room than there is; then each entry refuses that share of its
// prompts for which there would be no room. Otherwise these prompts would wait in memory that those
// ahead of them need, and all of them would be late.
//
// Of the long prompts in a burst of 16 s at 9 engines a quarter was in time without admission, and
// three fifths with it. Without the estimate of the other entries' demand, 79 entries at 60 engines
// still sent to each engine with room at once: 0.47 were in time, and 0.58 with it.
func (b *Balancer) Admit(instances []registry.Instance, info PickInfo, now time.Time) (room int, ok bool) {
	if !info.Long() {
		return 0, true
	}
	b.RecordDemand(info.Tokens, now)
	set := b.candidateSet(instances, now)
	b.prepare(set, &info, now)
	demand := b.peerDemand(info)
	if room, ok := b.findRoom(set, demand, info, now); ok {
		return room, true
	}
	eligible := b.eligible(set, info, now)
	room, known := roomFor(eligible, info, now)
	if 2*known < len(eligible) || known == 0 {
		return room, true
	}
	return room, room > 0 && b.random.Float64()*demand <= float64(room)
}

// findRoom adds up the room of healthy candidates until it covers the demand; among thousands of candidates,
// few must be evaluated. ok is false if there is not enough room.
func (b *Balancer) findRoom(set *candidateSet, demand float64, info PickInfo, now time.Time) (room int, ok bool) {
	n := len(set.candidates)
	if n == 0 || len(info.Loads) == 0 {
		return 0, false
	}
	offset := b.random.IntN(n)
	for i := range n {
		c := &set.candidates[(offset+i)%n]
		if c.eligibility(info, now) != healthy {
			continue
		}
		if free, _, fits := c.room(info, now); fits {
			room += UsableRoom(info.Memory, free)
		}
		if room > 0 && float64(room) >= demand {
			return room, true
		}
	}
	return room, false
}

// roomFor returns how many tokens are free in all engines that have room for a request, and the
// number of engines whose load is known.
func roomFor(eligible []*candidate, info PickInfo, now time.Time) (room, known int) {
	for _, c := range eligible {
		free, ok, fits := c.room(info, now)
		if ok {
			known++
		}
		if fits {
			room += UsableRoom(info.Memory, free)
		}
	}
	return room, known
}

// RecordDemand adds the tokens of a long prompt, whether or not it is admitted. Admit calls it; so must a
// caller that lets the leader decide, for the estimates of later decisions without the leader.
func (b *Balancer) RecordDemand(tokens int, now time.Time) {
	elapsed := now.Sub(b.demandAt).Seconds() / demandDecayTime.Seconds()
	b.demand = b.demand*math.Exp(-elapsed) + float64(tokens)
	b.demandAt = now
}

// meanLoadAge is the mean age of an engine load when an entry uses it.
func (info PickInfo) meanLoadAge() time.Duration { return meanLoadDelay + info.loadsInterval()/2 }

// peerDemand estimates how many tokens of long prompts the other entries have sent since the known
// engine loads were measured, assuming that each sends as many as this one.
func (b *Balancer) peerDemand(info PickInfo) float64 {
	return b.demand / demandDecayTime.Seconds() * info.meanLoadAge().Seconds() * float64(max(info.Entries, 1)-1)
}
