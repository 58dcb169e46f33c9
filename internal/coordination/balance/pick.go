package balance

import (
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// loadFactor is how far above the mean an instance may be loaded before the next one
	// in rank is taken: consistent hashing with bounded loads (Mirrokni et al., 2018)
	// shows that a quarter more keeps most keys in place.
	loadFactor = 1.25
	// loadSpare lets one request more pass at small loads, where a quarter is nothing.
	loadSpare = 1.0
	// failedBase is one and a little more, so that an instance that failed all lately still
	// has a finite wait and is tried now and then: twenty times as long as a sound one's.
	failedBase = 1.05
	// newerShare is how much more than their part of the instances gets the requests while
	// weights change: the new ones are preferred, and not overrun while they are few.
	newerShare = 1.5
)

// PickInfo is what a request asks for.
type PickInfo struct {
	// Key is 0 for requests that may run anywhere as well.
	Key uint64
	// Retryable says that the request may run once more elsewhere, if nothing is heard of it.
	Retryable bool
	// Tried are the instances that had the request already.
	Tried []registry.Incarnation
	// Failing are instances that answer and fail, and get a request now and then.
	Failing map[registry.Incarnation]bool
	// Busy are instances that are taken only when nothing else is left.
	Busy map[registry.Incarnation]bool
	// Tokens is the memory that the request takes at most, and Memory what each engine has;
	// both are 0 for requests that take none.
	Tokens, Memory int
	// Loads holds what engines told of themselves, as far as it is known.
	Loads map[registry.Incarnation]EngineLoad
	// LoadsInterval is how often engines are asked for their loads; 0 stands for the usual.
	LoadsInterval time.Duration
	// Entries is how many entries send requests there, at least 1, and Rank this one's place among
	// them, from 0.
	Entries, Rank int
	// Cold is what an instance bears from all entries while it is cold.
	Cold Capacity
	// ColdFor is for how long instances count as cold that are used again after an evacuation.
	ColdFor time.Duration
	// Evacuated holds the failure domains whose instances get no request, and Returned since when
	// others are used again; both by name, and nil for none.
	Evacuated, Returned map[string]time.Time
	// Model and Weights, when set, name the weight version that is preferred.
	Model   string
	Weights uint64
}

// tried reports whether an instance had the request already.
func (w PickInfo) tried(in *registry.Instance) bool {
	return len(w.Tried) > 0 && slices.Contains(w.Tried, in.Incarnation())
}

// Pick chooses an instance; ok is false when there is none that was not tried. The list must not
// be written to later.
func (b *Balancer) Pick(instances []registry.Instance, w PickInfo, now time.Time) (chosen registry.Instance, ok bool) {
	open := b.open(b.roster(instances, now), w, now)
	if c := b.scratch.probe; c != nil {
		c.load.probeNext = now.Add(probeFailing)
		c.noteSent(w, now)
		return *c.in, true
	}
	if len(open) == 0 {
		return registry.Instance{}, false
	}
	open = b.preferNewer(open, w)
	var best *candidate
	if w.Key != 0 {
		best = b.pickByKey(b.withRoom(open, w, now), w.Key)
	} else {
		best = b.pickByWait(open)
	}
	best.noteCold(w, now)
	best.noteSent(w, now)
	return *best.in, true
}

// open leaves out what was tried, what is evacuated, what leaves or asked for rest and what takes no
// more, and also what is busy, silent, cut off or failed lately unless nothing else is left. The list
// holds until the next choice.
func (b *Balancer) open(r *roster, w PickInfo, now time.Time) []*candidate {
	sound, rest := b.scratch.sound[:0], b.scratch.rest[:0]
	b.scratch.probe = nil
	r.markEvacuated(w)
	r.markDark(w, now)
	for i := range r.candidates {
		c := &r.candidates[i]
		switch {
		case c.domain.evacuated:
		case w.tried(c.in), c.load.leaving, c.load.rests(now):
		case !c.bears(w, now), !c.withinLimit(w, now):
		case len(w.Failing) > 0 && w.Failing[c.in.Incarnation()]:
			rest = append(rest, c)
			if c.mayProbe(w, now) {
				b.scratch.probe = c
			}
		case c.domain.dark || len(w.Busy) > 0 && w.Busy[c.in.Incarnation()] || now.Before(c.load.avoidUntil) || c.load.silent(now):
			rest = append(rest, c)
		default:
			sound = append(sound, c)
		}
	}
	b.scratch.sound, b.scratch.rest = sound, rest
	if len(sound) > 0 {
		return sound
	}
	return rest
}

// preferNewer keeps the instances with the wanted weights for most requests.
func (b *Balancer) preferNewer(open []*candidate, w PickInfo) []*candidate {
	if w.Weights == 0 {
		return open
	}
	newer := b.scratch.newer[:0]
	for _, c := range open {
		if c.in.Weights[w.Model] >= w.Weights {
			newer = append(newer, c)
		}
	}
	b.scratch.newer = newer
	share := newerShare * float64(len(newer)) / float64(len(open))
	if len(newer) == 0 || b.random.Float64() >= share {
		return open
	}
	return newer
}

// pickByKey takes the first instance in the key's rank whose load is within the bound.
func (b *Balancer) pickByKey(open []*candidate, key uint64) *candidate {
	total := 0
	for _, c := range open {
		total += c.load.inFlight
	}
	bound := loadFactor*float64(total+1)/float64(len(open)) + loadSpare
	var best *candidate
	var bestRank uint64
	for _, c := range open {
		if float64(c.load.inFlight+1) > bound {
			continue
		}
		if rank := c.rank(key); best == nil || rank > bestRank {
			best, bestRank = c, rank
		}
	}
	if best == nil {
		return b.pickByWait(open)
	}
	return best
}

// rank is the instance's place for a key: the highest goes first.
func (c *candidate) rank(key uint64) uint64 {
	x := c.hash ^ key
	// The finaliser of splitmix64 spreads the bits of the two.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickByWait takes the instance with the shortest expected wait; a share of failures
// counts as time lost.
func (b *Balancer) pickByWait(open []*candidate) *candidate {
	offset := b.random.IntN(len(open))
	best := math.Inf(1)
	var chosen *candidate
	for i := range open {
		c := open[(i+offset)%len(open)]
		l := c.load
		slots := float64(max(c.in.Slots, 1))
		wait := l.latency * (1 + float64(l.inFlight)/slots) * (1 + float64(l.inFlight)) / (failedBase - l.failed)
		if wait < best {
			best = wait
			chosen = c
		}
	}
	return chosen
}
