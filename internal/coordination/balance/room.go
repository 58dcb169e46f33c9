package balance

import (
	"cmp"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// longDivisor defines long prompts: those that take at least 1/longDivisor of an engine's
	// memory. A few of them fill the memory while most of the engine's slots are free. An engine
	// without room preempts its least urgent requests and computes their prompts again, and drops
	// what was fetched for waiting requests; in a burst at 9 engines over half of the long prompts
	// were late for that, and 3.5 million tokens were computed again in 34 s.
	longDivisor = 16
	// 1/headroomDivisor of an engine's memory is kept free for the answers of running requests and
	// for short prompts. A third of it and double gave the same results.
	headroomDivisor = 12
	// countedDivisor limits the room that is required for one prompt to 1/countedDivisor of the
	// memory: the largest prompts, of half an engine, would hardly ever find room under load, and
	// would be refused while others are served.
	countedDivisor = 4
	// MaxLoadDelay is the longest delay until an entry knows an engine's load, besides the polling
	// interval: engines report it 0.1 s late, entries get reports every 0.2 s, and both take time
	// to arrive.
	MaxLoadDelay = 400 * time.Millisecond
	// defaultLoadsInterval is the polling interval that is assumed where it is not known.
	defaultLoadsInterval = 200 * time.Millisecond
)

// EngineLoad is the load that an engine reported.
type EngineLoad struct {
	// Waiting is the number of requests in its queue, and Used the number of tokens of memory that
	// running requests take and that cannot be freed by preemption.
	Waiting, Used int
}

// reservation is the memory of a request that an engine's reported load may not include yet.
type reservation struct {
	at     time.Time
	tokens int
}

// loadsInterval is how often engines are polled for their loads.
func (info PickInfo) loadsInterval() time.Duration {
	return cmp.Or(info.LoadsInterval, defaultLoadsInterval)
}

// maxLoadAge is for how long an engine's reported load may not include a request that was sent to
// it.
func (info PickInfo) maxLoadAge() time.Duration { return MaxLoadDelay + info.loadsInterval() }

// Reserve records the memory of a request that is sent to an engine.
func (b *Balancer) Reserve(target registry.Incarnation, info PickInfo, now time.Time) {
	l := b.load(target)
	l.reservations = append(l.recentReservations(now, info.maxLoadAge()), reservation{at: now, tokens: info.Tokens})
}

// recentReservations returns the reservations that the engine's reported load may not include yet.
func (l *load) recentReservations(now time.Time, maxLoadAge time.Duration) []reservation {
	first := 0
	for first < len(l.reservations) && now.Sub(l.reservations[first].at) > maxLoadAge {
		first++
	}
	return l.reservations[first:]
}

// Long reports whether a few requests of this size fill an engine.
func (info PickInfo) Long() bool { return info.Memory > 0 && info.Tokens*longDivisor >= info.Memory }

// Free returns how many tokens of an engine's memory are free, if its load is known.
func (b *Balancer) Free(target registry.Incarnation, info PickInfo, now time.Time) (tokens int, known bool) {
	reported, known := info.Loads[target]
	if !known || info.Memory == 0 {
		return 0, false
	}
	return b.load(target).free(reported, info, now), true
}

// free returns how many tokens are free by an engine's reported load and the reservations since.
func (l *load) free(reported EngineLoad, info PickInfo, now time.Time) int {
	free := info.Memory - reported.Used
	for _, s := range l.recentReservations(now, info.maxLoadAge()) {
		free -= s.tokens
	}
	return free
}

// room returns how many tokens of an engine's memory are free, whether that is known, and whether
// the request fits. A long prompt fits only if no requests wait; a short one overtakes waiting
// requests.
func (c *candidate) room(info PickInfo, now time.Time) (free int, known, fits bool) {
	if info.Memory == 0 {
		return 0, false, false
	}
	reported, known := info.Loads[c.in.Incarnation()]
	if !known {
		return 0, false, false
	}
	free = c.load.free(reported, info, now)
	if info.Long() {
		return free, true, reported.FitsLong(info.Tokens, info.Memory, free)
	}
	return free, true, free >= info.Tokens
}

// FitsLong reports whether a long prompt fits an engine that reported the load and of whose memory some
// tokens are free. No request may wait there.
func (reported EngineLoad) FitsLong(tokens, memory, free int) bool {
	return reported.Waiting == 0 && UsableRoom(memory, free) >= RequiredRoom(tokens, memory)
}

// RequiredRoom returns the room that is required for a long prompt in an engine.
func RequiredRoom(tokens, memory int) int { return min(tokens, memory/countedDivisor) }

// UsableRoom returns how many of the free tokens of an engine's memory long prompts may take.
func UsableRoom(memory, free int) int { return free - memory/headroomDivisor }

// withRoom returns the engines that have room for a request. If none is known to have room, it
// leaves out the engines with the longest queues for a long prompt, and none for a short one.
func (b *Balancer) withRoom(eligible []*candidate, info PickInfo, now time.Time) []*candidate {
	out := b.scratch.fitting[:0]
	for _, c := range eligible {
		if _, _, fits := c.room(info, now); fits {
			out = append(out, c)
		}
	}
	b.scratch.fitting = out
	if len(out) > 0 {
		return out
	}
	if info.Long() {
		return b.withShortQueues(eligible, info.Loads)
	}
	return eligible
}

// withShortQueues leaves out the engines whose queues exceed the load bound. An entry sees few of
// the requests in a queue itself. Engines whose load is not known are kept.
func (b *Balancer) withShortQueues(eligible []*candidate, loads map[registry.Incarnation]EngineLoad) []*candidate {
	total, known := 0, 0
	for _, c := range eligible {
		if l, ok := loads[c.in.Incarnation()]; ok {
			total += l.Waiting
			known++
		}
	}
	if total == 0 {
		return eligible
	}
	bound := loadBound(total, known)
	out := b.scratch.shortQueued[:0]
	for _, c := range eligible {
		if float64(loads[c.in.Incarnation()].Waiting+1) <= bound {
			out = append(out, c)
		}
	}
	b.scratch.shortQueued = out
	return out
}

// loadBound returns the most that one of some instances may have of a total, when each gets one
// more.
func loadBound(total, instances int) float64 {
	return loadFactor*float64(total+instances)/float64(instances) + loadSlack
}
