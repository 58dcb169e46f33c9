// Package balance chooses the instance for a request from what an entry saw of its own
// requests: no shared knowledge is needed, so it works the same in a cut.
//
// Prompts go by rendezvous hashing of their shared part, with a bound on the load of the
// instance that is first in rank; other requests go where the expected wait is shortest.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// loadFactor is how far above the mean an instance may be loaded before the next one
	// in rank is taken: consistent hashing with bounded loads (Mirrokni et al., 2018)
	// shows that a quarter more keeps most keys in place.
	loadFactor = 1.25
	// loadSpare lets one request more pass at small loads, where a quarter is nothing.
	loadSpare = 1.0
	// smooth is the weight of a new outcome in the averages: about the last ten count.
	smooth = 0.1
	// failedBase is one and a little more, so that an instance that failed all lately still
	// has a finite wait and is tried now and then: twenty times as long as a sound one's.
	failedBase = 1.05
	// firstPause is how long an instance that failed is avoided; it doubles up to mostPause.
	firstPause = 250 * time.Millisecond
	mostPause  = 2 * time.Second
	// silentFor and silentTimes say when an instance that has requests of ours counts as
	// silent: after so long without a word, and so many times its usual latency. The
	// longest quiet of a sound engine on a calm day was about 0.7 s.
	silentFor   = time.Second
	silentTimes = 5
	// firstLatency stands for instances that were not used yet.
	firstLatency = 0.02
	// newerShare is how much more than their part of the instances gets the requests while
	// weights change: the new ones are preferred, and not overrun while they are few.
	newerShare = 1.5
)

// Wish is what a request asks for.
type Wish struct {
	// Key is 0 for requests that may run anywhere as well.
	Key uint64
	// Repeats says that the request may run once more elsewhere, if nothing is heard of it.
	Repeats bool
	// Tried are the ids of instances that had the request already.
	Tried []string
	// Busy are instances that are taken only when nothing else is left.
	Busy map[string]bool
	// Waiting holds how many requests of all entries wait at each instance, as far as it is
	// known. A prompt that is soon read goes by its key alone: it overtakes what waits.
	Waiting map[string]int
	// Model and Weights, when set, name the weight version that is preferred.
	Model   string
	Weights uint64
}

// load is what is known of one instance.
type load struct {
	// domain is the instance's failure domain.
	domain   string
	inFlight int
	// latency is a moving average in seconds, and failed the share of failures.
	latency, failed float64
	failures        int
	avoidUntil      time.Time
	seen            time.Time
	// heard is when the instance last said anything, or when it was given a request while
	// it had none.
	heard time.Time
}

// silent reports whether an instance keeps requests without a word: it may hang while its
// connections and its health look well.
func (l *load) silent(now time.Time) bool {
	usual := time.Duration(l.latency * float64(time.Second))
	return l.inFlight > 0 && now.Sub(l.heard) > max(silentFor, silentTimes*usual)
}

// Board holds the loads. Make one with New. It is not safe for concurrent use.
type Board struct {
	random  *rand.Rand
	loads   map[string]*load
	domains map[string]*domain
}

// New returns an empty board.
func New(seed uint64) *Board {
	return &Board{random: rand.New(rand.NewPCG(seed, 0xba1a)), loads: map[string]*load{}, domains: map[string]*domain{}}
}

func (b *Board) load(id string) *load {
	l, ok := b.loads[id]
	if !ok {
		l = &load{latency: firstLatency}
		b.loads[id] = l
	}
	return l
}

// Pick chooses an instance; ok is false when there is none that was not tried.
func (b *Board) Pick(instances []registry.Instance, w Wish, now time.Time) (chosen registry.Instance, ok bool) {
	open := b.open(instances, w, now)
	if len(open) == 0 {
		return registry.Instance{}, false
	}
	open = b.preferNewer(open, w)
	if w.Key != 0 {
		return b.pickByKey(notCrowded(open, w.Waiting), w.Key), true
	}
	return b.pickByWait(open), true
}

// open leaves out what was tried, and what is busy, silent, cut off or failed lately unless
// nothing else is left.
func (b *Board) open(instances []registry.Instance, w Wish, now time.Time) []registry.Instance {
	var sound, rest []registry.Instance
	dark := b.dark(instances, w, now)
	for _, in := range instances {
		switch {
		case slices.Contains(w.Tried, in.ID):
		case dark[in.FailureDomain] || w.Busy[in.ID] || now.Before(b.load(in.ID).avoidUntil) || b.load(in.ID).silent(now):
			rest = append(rest, in)
		default:
			sound = append(sound, in)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}

// preferNewer keeps the instances with the wanted weights for most requests.
func (b *Board) preferNewer(open []registry.Instance, w Wish) []registry.Instance {
	if w.Weights == 0 {
		return open
	}
	var newer []registry.Instance
	for _, in := range open {
		if in.Weights[w.Model] >= w.Weights {
			newer = append(newer, in)
		}
	}
	share := newerShare * float64(len(newer)) / float64(len(open))
	if len(newer) == 0 || b.random.Float64() >= share {
		return open
	}
	return newer
}

// notCrowded leaves out the instances at which more waits than the bound allows, of which an
// entry sees little by itself. Those of which nothing is known stay.
func notCrowded(open []registry.Instance, waiting map[string]int) []registry.Instance {
	total, known := 0, 0
	for _, in := range open {
		if n, ok := waiting[in.ID]; ok {
			total += n
			known++
		}
	}
	if total == 0 {
		return open
	}
	bound := bounded(total, known)
	var out []registry.Instance
	for _, in := range open {
		if float64(waiting[in.ID]+1) <= bound {
			out = append(out, in)
		}
	}
	return out
}

// bounded is the most that one of some instances may have of a total, and one more.
func bounded(total, instances int) float64 {
	return loadFactor*float64(total+instances)/float64(instances) + loadSpare
}

// pickByKey takes the first instance in the key's rank whose load is within the bound.
func (b *Board) pickByKey(open []registry.Instance, key uint64) registry.Instance {
	total := 0
	for _, in := range open {
		total += b.load(in.ID).inFlight
	}
	bound := loadFactor*float64(total+1)/float64(len(open)) + loadSpare
	best := -1
	var bestRank uint64
	for i, in := range open {
		if float64(b.load(in.ID).inFlight+1) > bound {
			continue
		}
		if rank := rank(in.ID, key); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best < 0 {
		return b.pickByWait(open)
	}
	return open[best]
}

func rank(id string, key uint64) uint64 {
	x := xxhash.Sum64String(id) ^ key
	// The finaliser of splitmix64 spreads the bits of the two.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickByWait takes the instance with the shortest expected wait; a share of failures
// counts as time lost.
func (b *Board) pickByWait(open []registry.Instance) registry.Instance {
	offset := b.random.IntN(len(open))
	best := math.Inf(1)
	var chosen registry.Instance
	for i := range open {
		in := open[(i+offset)%len(open)]
		l := b.load(in.ID)
		slots := float64(max(in.Slots, 1))
		wait := l.latency * (1 + float64(l.inFlight)/slots) * (1 + float64(l.inFlight)) / (failedBase - l.failed)
		if wait < best {
			best = wait
			chosen = in
		}
	}
	return chosen
}

// Begin notes that a request goes to an instance.
func (b *Board) Begin(in registry.Instance, now time.Time) {
	l := b.load(in.ID)
	l.domain = in.FailureDomain
	d := b.domain(l.domain)
	if now.Sub(d.heard) >= darkAfter {
		d.probed = now
	}
	if l.inFlight == 0 {
		l.heard = now
	}
	l.inFlight++
	l.seen = now
}

// Heard notes that an instance answered a request, though the answer may go on.
func (b *Board) Heard(id string, now time.Time) {
	l := b.load(id)
	l.heard = now
	b.domain(l.domain).hear(now)
}

// Result says how a request at an instance ended.
type Result struct {
	// Failed counts against the instance; Unreached also has it avoided for a while, and
	// TimedOut says that nothing was heard from its address until the time was over.
	Failed, Unreached, TimedOut bool
	// Latency is the time to the first byte of an answer, or 0 when there was none.
	Latency time.Duration
}

// End notes the end of a request.
func (b *Board) End(id string, r Result, now time.Time) {
	l := b.load(id)
	l.inFlight--
	l.seen = now
	share := 0.0
	if r.Failed {
		share = 1
	}
	l.failed += smooth * (share - l.failed)
	if r.Latency > 0 {
		l.latency += smooth * (r.Latency.Seconds() - l.latency)
	}
	if r.TimedOut {
		b.domain(l.domain).unreached[id] = true
	}
	if !r.Unreached {
		l.failures = 0
		return
	}
	pause := firstPause << min(l.failures, 3)
	l.failures++
	l.avoidUntil = now.Add(min(pause, mostPause))
}

// Forget drops the loads of instances that were not used lately.
func (b *Board) Forget(before time.Time) {
	for id, l := range b.loads {
		if l.inFlight == 0 && l.seen.Before(before) {
			delete(b.loads, id)
		}
	}
}
