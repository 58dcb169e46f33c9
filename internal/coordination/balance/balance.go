// Package balance chooses the instance for a request from what an entry saw of its own
// requests, and from the queues and the memory of engines where they are known; without those,
// and in a cut, it works by itself.
//
// Prompts go by rendezvous hashing of their shared part, past engines without room for them and
// instances with more than their bound; other requests go where the expected wait is shortest.
// A failure domain of which nothing is heard any more is avoided as a whole.
package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// smooth is the weight of a new outcome in the averages: about the last ten count.
	smooth = 0.1
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
)

// load is what is known of one instance.
type load struct {
	// domain is the instance's failure domain.
	domain   string
	inFlight int
	// latency is a moving average in seconds, and failed the share of failures.
	latency, failed float64
	failures        int
	avoidUntil      time.Time
	// seen is when it was last used, and listed when it was last prepared for choices.
	seen, listed time.Time
	// heard is when the instance last said anything, or when it was given a request while
	// it had none.
	heard time.Time
	// sent holds the last requests that took memory, the oldest first.
	sent []sent
	// probeNext is when the instance may be tried next while it fails.
	probeNext time.Time
	condition
}

// silent reports whether an instance keeps requests without a word: it may hang while its
// connections and its health look well.
func (l *load) silent(now time.Time) bool {
	return l.wordless(now, silentFor, silentTimes)
}

// wordless reports whether an instance keeps requests and said nothing for longer than least,
// and than so many times its usual latency.
func (l *load) wordless(now time.Time, least time.Duration, times int) bool {
	usual := time.Duration(l.latency * float64(time.Second))
	return l.inFlight > 0 && now.Sub(l.heard) > max(least, time.Duration(times)*usual)
}

// Balancer holds the loads. Make one with New. It is not safe for concurrent use.
type Balancer struct {
	random  *rand.Rand
	loads   map[registry.Incarnation]*load
	domains map[string]*domain
	// demand holds the tokens of long prompts as they were asked for, each fading with
	// demandOver; demandAt is when it was brought up to date.
	demand   float64
	demandAt time.Time
	// rosters are the lists of instances that were chosen from lately, the oldest first.
	rosters []*roster
	scratch scratch
}

// New returns an empty board.
func New(seed uint64) *Balancer {
	return &Balancer{random: rand.New(rand.NewPCG(seed, 0xba1a)), loads: map[registry.Incarnation]*load{}, domains: map[string]*domain{}}
}

// load returns what is known of an incarnation. Nothing of it passes to the next one of its id.
func (b *Balancer) load(of registry.Incarnation) *load {
	l, ok := b.loads[of]
	if !ok {
		l = &load{latency: firstLatency}
		b.loads[of] = l
	}
	return l
}

// Begin notes that a request goes to an instance.
func (b *Balancer) Begin(in registry.Instance, now time.Time) {
	l := b.load(in.Incarnation())
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

// RecordResponse notes that an instance answered a request, though the answer may go on.
func (b *Balancer) RecordResponse(from registry.Incarnation, now time.Time) {
	l := b.load(from)
	l.heard = now
	b.domain(l.domain).hear(now)
}

// Result says how a request at an instance ended.
type Result struct {
	// Failed counts against the instance; Unreachable also has it avoided for a while, and
	// TimedOut says that nothing was heard from its address until the time was over.
	Failed, Unreachable, TimedOut bool
	// Canceled says that this side ended it, as when the caller leaves, so that nothing follows
	// for the instance.
	Canceled bool
	// Latency is the time to the first byte of an answer, or 0 when there was none.
	Latency time.Duration
}

// End notes the end of a request.
func (b *Balancer) End(at registry.Incarnation, r Result, now time.Time) {
	l := b.load(at)
	l.inFlight--
	l.seen = now
	if r.Canceled {
		return
	}
	share := 0.0
	if r.Failed {
		share = 1
	}
	l.failed += smooth * (share - l.failed)
	if r.Latency > 0 {
		l.latency += smooth * (r.Latency.Seconds() - l.latency)
	}
	if r.TimedOut {
		b.domain(l.domain).unreached[at] = true
	}
	if !r.Unreachable {
		l.failures = 0
		return
	}
	pause := firstPause << min(l.failures, 3)
	l.failures++
	l.avoidUntil = now.Add(min(pause, mostPause))
}

// Prune drops what is known of instances that were not used lately, and of the failure domains
// that have no other.
func (b *Balancer) Prune(before time.Time) {
	known := len(b.loads) + len(b.domains)
	used := map[string]bool{}
	for of, l := range b.loads {
		unused := l.inFlight == 0 && l.seen.Before(before)
		if unused && l.listed.Before(before) {
			delete(b.loads, of)
			continue
		}
		if unused {
			*l = load{domain: l.domain, latency: firstLatency, listed: l.listed, condition: l.condition}
		}
		used[l.domain] = true
	}
	maps.DeleteFunc(b.domains, func(name string, _ *domain) bool { return !used[name] })
	if len(b.loads)+len(b.domains) < known {
		b.rosters = nil
	}
}
