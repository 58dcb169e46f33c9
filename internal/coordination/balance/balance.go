// Package balance chooses the instance for a request from what an entry has observed of its own
// requests and, where they are known, from the queues and the memory use of engines. Without those,
// and during a network partition, it relies on the local observations alone.
//
// Prompts are placed by rendezvous hashing of their shared prefix with bounded loads, skipping
// engines without room for them; other requests go to the instance with the shortest expected wait.
// A failure domain from which there are no responses any more is avoided as a whole.
package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// averageWeight is the weight of a new sample in the moving averages, so that about the last
	// ten samples count.
	averageWeight = 0.1
	// minBackoff is how long an unreachable instance is avoided; the time doubles with each further
	// failure, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minFullTime is how long an instance is avoided that refused a request; the time doubles with each further
	// refusal in a row, up to maxFullTime.
	minFullTime = 20 * time.Millisecond
	maxFullTime = 640 * time.Millisecond
	// An instance with requests in flight is unresponsive if it has sent nothing for
	// unresponsiveAfter and for unresponsiveLatencies times its mean latency. A healthy engine at
	// normal load may send nothing for about 0.7 s.
	unresponsiveAfter     = time.Second
	unresponsiveLatencies = 5
	// initialLatency is the assumed latency, in seconds, of instances that have not been used yet.
	initialLatency = 0.02
)

// load is the state that this entry keeps of one instance.
type load struct {
	// domain is the name of the instance's failure domain.
	domain string
	// inFlight is the number of requests in flight, of which forwarded are those of other entries.
	inFlight, forwarded int
	// latency is a moving average in seconds, and failureRate a moving average of the share of
	// requests that failed. consecutiveFailures counts the times in a row that the instance was
	// unreachable.
	latency, failureRate float64
	consecutiveFailures  int
	avoidUntil           time.Time
	// consecutiveRefusals counts the times in a row that the instance refused a request, and fullUntil is until when it
	// is taken to have no room.
	consecutiveRefusals int
	fullUntil           time.Time
	// lastUsed is when it was last used, and lastListed when a choice was last made of a list that
	// contains it.
	lastUsed, lastListed time.Time
	// lastResponse is when the instance last sent a response, or when a request was sent to it
	// while none was in flight.
	lastResponse time.Time
	// reservations holds the latest requests that take memory, the oldest first.
	reservations []reservation
	// nextProbe is when the next probe may be sent to the instance while it is failing.
	nextProbe time.Time
	// service is that of the instance.
	service string
	window  window
	condition
}

// own is the number of this entry's own requests in flight.
func (l *load) own() int { return l.inFlight - l.forwarded }

// unresponsive reports whether an instance has requests in flight and sends nothing: it may hang
// although its connections and its health checks look well.
func (l *load) unresponsive(now time.Time) bool {
	return l.noResponseFor(now, unresponsiveAfter, unresponsiveLatencies)
}

// noResponseFor reports whether an instance has requests in flight and has sent nothing for longer
// than minDuration and than the given multiple of its mean latency.
func (l *load) noResponseFor(now time.Time, minDuration time.Duration, latencies int) bool {
	usual := time.Duration(l.latency * float64(time.Second))
	return l.inFlight > 0 && now.Sub(l.lastResponse) > max(minDuration, time.Duration(latencies)*usual)
}

// Balancer holds the state of all known instances. Use New to make one. It is not safe for
// concurrent use.
type Balancer struct {
	random *rand.Rand
	// loads holds the state of the instances that were used or have reported a condition. unused is the
	// state of all others, and is never modified.
	loads  map[registry.Incarnation]*load
	unused *load
	// active holds the loads with requests in flight.
	active  map[registry.Incarnation]*load
	domains map[string]*domain
	// rests holds the latest rest that each instance asked for, by its ID.
	rests map[string]restReport
	// latencies holds the mean latency of each service in seconds.
	latencies map[string]float64
	// fragile holds the services whose instances reported refusal limits.
	fragile map[string]*fragileService
	// demand is the sum of the tokens of long prompts that were asked for, decaying with
	// demandDecayTime; demandAt is when it was last updated.
	demand   float64
	demandAt time.Time
	// candidateSets caches the lists of instances that were used lately, the oldest first.
	candidateSets []*candidateSet
	scratch       scratch
}

// New returns an empty Balancer.
func New(seed uint64) *Balancer {
	return &Balancer{
		random: rand.New(rand.NewPCG(seed, 0xba1a)), loads: map[registry.Incarnation]*load{}, unused: newLoad(), active: map[registry.Incarnation]*load{},
		domains: map[string]*domain{}, rests: map[string]restReport{}, latencies: map[string]float64{}, fragile: map[string]*fragileService{},
	}
}

func newLoad() *load { return &load{latency: initialLatency} }

// load returns the state of an incarnation, to be modified. No state passes to the next incarnation with
// the same id, but for a rest that may be its own: see carryRest.
func (b *Balancer) load(target registry.Incarnation) *load {
	l, ok := b.loads[target]
	if ok {
		return l
	}
	l = newLoad()
	b.loads[target] = l
	for _, set := range b.candidateSets {
		if c := set.find(target); c != nil {
			c.setLoad(l, set.usedAt)
		}
	}
	return l
}

// dropLoad drops the state of an incarnation.
func (b *Balancer) dropLoad(target registry.Incarnation) {
	delete(b.loads, target)
	for _, set := range b.candidateSets {
		if c := set.find(target); c != nil {
			c.load = b.unused
		}
	}
}

// BeginForwarded records that a request of another entry, which chose the instance, is sent there.
func (b *Balancer) BeginForwarded(in registry.Instance, now time.Time) {
	b.Begin(in, now)
	b.load(in.Incarnation()).forwarded++
}

// Begin records that a request is sent to an instance.
func (b *Balancer) Begin(in registry.Instance, now time.Time) {
	l := b.load(in.Incarnation())
	l.domain, l.service = in.FailureDomain, in.Service
	d := b.domain(l.domain)
	if now.Sub(d.lastResponse) >= partitionedAfter {
		d.lastProbe = now
	}
	if l.inFlight == 0 {
		l.lastResponse = now
	}
	l.inFlight++
	b.active[in.Incarnation()] = l
	l.lastUsed = now
}

// RecordResponse records that an instance began to answer a request; the answer may go on.
func (b *Balancer) RecordResponse(target registry.Incarnation, now time.Time) {
	l := b.load(target)
	l.lastResponse = now
	b.domain(l.domain).recordResponse(now)
}

// Result is how a request at an instance ended.
type Result struct {
	// Failed counts against the instance. Unreachable also has it avoided for a while. TimedOut
	// says that its address did not respond before the timeout.
	Failed, Unreachable, TimedOut bool
	// Refused says that the instance did not run the request. A refusal comes at once and leaves nothing in flight, but
	// it does not mean that the instance is idle.
	Refused bool
	// Aborted says that the request was ended by this side, as when the caller disconnects, and
	// says nothing about the instance.
	Aborted bool
	// Latency is the time to the first byte of the answer, or 0 when there was none.
	Latency time.Duration
	// Delayed says that the latency is not the instance's: a lost path delayed the answer.
	Delayed bool
}

// End records the end of a request.
func (b *Balancer) End(target registry.Incarnation, r Result, now time.Time) {
	l := b.load(target)
	l.window.recordEnd(r, l.own(), b.silence(l.service, r), now)
	b.end(target, r, now)
}

// EndForwarded records the end of a request of another entry.
func (b *Balancer) EndForwarded(target registry.Incarnation, r Result, now time.Time) {
	b.load(target).forwarded--
	b.end(target, r, now)
}

func (b *Balancer) end(target registry.Incarnation, r Result, now time.Time) {
	l := b.load(target)
	l.inFlight--
	if l.inFlight == 0 {
		delete(b.active, target)
	}
	l.lastUsed = now
	if r.Aborted {
		return
	}
	sample := 0.0
	if r.Failed || r.Refused {
		sample = 1
	}
	l.failureRate += averageWeight * (sample - l.failureRate)
	if r.Latency > 0 && !r.Delayed {
		l.latency += averageWeight * (r.Latency.Seconds() - l.latency)
		b.recordLatency(l.service, r.Latency.Seconds())
	}
	if r.TimedOut {
		b.domain(l.domain).timedOut[target] = true
	}
	l.recordRefusal(r, now)
	if !r.Unreachable {
		l.consecutiveFailures = 0
		return
	}
	backoff := minBackoff << min(l.consecutiveFailures, 3)
	l.consecutiveFailures++
	l.avoidUntil = now.Add(min(backoff, maxBackoff))
}

// MeanLatency returns the mean time to the first byte of the answers of a service; ok is false if none came yet.
func (b *Balancer) MeanLatency(service string) (mean time.Duration, ok bool) {
	seconds, ok := b.latencies[service]
	return time.Duration(seconds * float64(time.Second)), ok
}

// recordLatency records a latency in seconds of a service.
func (b *Balancer) recordLatency(service string, seconds float64) {
	mean, ok := b.latencies[service]
	if !ok {
		mean = seconds
	}
	b.latencies[service] = mean + averageWeight*(seconds-mean)
}

// recordRefusal records whether the instance refused a request.
func (l *load) recordRefusal(r Result, now time.Time) {
	if !r.Refused {
		l.consecutiveRefusals = 0
		return
	}
	l.fullUntil = now.Add(min(minFullTime<<min(l.consecutiveRefusals, 5), maxFullTime))
	l.consecutiveRefusals++
}

// lastListed returns when an instance was last among those that a choice was made of.
func (b *Balancer) lastListed(target registry.Incarnation, l *load) time.Time {
	listed := l.lastListed
	for _, set := range b.candidateSets {
		if set.find(target) != nil {
			listed = latest(listed, set.usedAt)
		}
	}
	return listed
}

// Prune drops the state of instances that have not been used since a time, and of failure domains
// without other instances. Instances that were listed since then keep their condition.
func (b *Balancer) Prune(before time.Time) {
	used, services := map[string]bool{}, map[string]bool{}
	for target, l := range b.loads {
		l.lastListed = b.lastListed(target, l)
		unused := l.inFlight == 0 && l.lastUsed.Before(before)
		if unused && (l.lastListed.Before(before) || !l.inForce(before)) {
			b.dropLoad(target)
			continue
		}
		if unused {
			*l = load{domain: l.domain, service: l.service, latency: initialLatency, lastListed: l.lastListed, condition: l.condition}
		}
		used[l.domain], services[l.service] = true, true
	}
	for _, set := range b.candidateSets {
		for _, d := range set.domains {
			used[d.name] = true
		}
	}
	maps.DeleteFunc(b.rests, func(_ string, r restReport) bool { return r.at.Before(before) })
	maps.DeleteFunc(b.latencies, func(service string, _ float64) bool { return !services[service] })
	maps.DeleteFunc(b.fragile, func(_ string, s *fragileService) bool { return s.last.Before(before) })
	maps.DeleteFunc(b.domains, func(name string, _ *domain) bool { return !used[name] })
}
