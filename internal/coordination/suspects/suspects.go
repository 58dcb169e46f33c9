// Package suspects finds instances that answer and fail, though they say that they are well, from what
// all entries see of them together: one entry of many meets an instance every few seconds, and learns
// by itself only when hundreds have failed.
//
// Entries tell control instances which requests failed at which instance. Each control instance judges
// by itself, from what it was told lately, and tells entries whom to leave alone; no leader is needed.
// A failure counts against the instance only if it fails far more than the others of its service: a
// route that fails by nature does so everywhere. It takes two teams, so that one that sends what
// always fails gets nobody left alone; and when many instances of a service look ill, something else
// is, as a cut, and none is left alone.
package suspects

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// window is the span in which failures are counted.
	window = 2 * time.Second
	// joined is within what time reports are kept as one, which bounds them to some for each instance.
	joined = 100 * time.Millisecond
	// useSpan is the span over which requests are averaged.
	useSpan = time.Second
	// leastFailures is how many it takes at least.
	leastFailures = 4
	// failedShare is the part of its requests, as many as others get, that an instance must fail since
	// the first that it failed, which happened within late before it was told.
	failedShare = 0.3
	late        = 100 * time.Millisecond
	// deviations is by how many standard deviations it must fail more than is usual in its service.
	deviations = 6
	// leastTeams is from how many teams the failed requests must be, where there are as many.
	leastTeams = 2
	// mostShare is the part of a service's instances that may be left alone at once, and one at least.
	mostShare = 5
	// quietFor is after how long an instance is used again that failed fewer than stillFailing of the
	// requests that it got now and then meanwhile; one of them may fail by nature.
	quietFor     = 2500 * time.Millisecond
	stillFailing = 2
	// teamBits is into how many classes teams fall.
	teamBits = 32
	// mostReported bounds the instances in one report of an entry.
	mostReported = 64
)

// Failures is what one entry saw of one instance since its last report.
type Failures struct {
	Target  registry.Incarnation
	Service string
	// Count is how many requests failed there, at most one for each team.
	Count int
	// Teams has a bit for each class of teams whose requests failed.
	Teams uint32
	// Expected is how many requests a second an instance of the service gets from this entry, and
	// Instances how many there are. AllTeams has a bit for each class of teams that the entry serves.
	Expected  float64
	Instances int
	AllTeams  uint32
}

// TeamBit returns the class of a team.
func TeamBit(team string) uint32 { return 1 << (xxhash.Sum64String(team) % teamBits) }

// Collector gathers what one entry sees. Make one with NewCollector. It is not safe for concurrent
// use.
type Collector struct {
	services map[string]*use
	failures map[registry.Incarnation]*Failures
}

// use is how an entry uses a service: requests a second, as a mean that fades with useSpan.
type use struct {
	rate  float64
	at    time.Time
	teams uint32
}

// NewCollector returns one that has seen nothing.
func NewCollector() *Collector {
	return &Collector{services: map[string]*use{}, failures: map[registry.Incarnation]*Failures{}}
}

// RecordRequest notes that a request goes to an instance of a service.
func (c *Collector) RecordRequest(service, team string, now time.Time) {
	u := c.services[service]
	if u == nil {
		u = &use{at: now}
		c.services[service] = u
	}
	u.fade(now)
	u.rate += 1 / useSpan.Seconds()
	u.teams |= TeamBit(team)
}

func (u *use) fade(now time.Time) {
	past := now.Sub(u.at).Seconds() / useSpan.Seconds()
	u.rate /= 1 + past
	u.at = now
}

// RecordFailure notes that a request of a team failed at one of a service's instances.
func (c *Collector) RecordFailure(in registry.Instance, team string, instances int, now time.Time) {
	of := in.Incarnation()
	f := c.failures[of]
	if f == nil {
		if len(c.failures) >= mostReported {
			return
		}
		f = &Failures{Target: of, Service: in.Service}
		c.failures[of] = f
	}
	if bit := TeamBit(team); f.Teams&bit == 0 {
		f.Teams |= bit
		f.Count++
	}
	f.Instances = max(instances, 1)
	if u := c.services[in.Service]; u != nil {
		u.fade(now)
		f.Expected = u.rate / float64(f.Instances)
		f.AllTeams = u.teams
	}
}

// Drain returns what was gathered since the last call.
func (c *Collector) Drain() []Failures {
	var out []Failures
	for _, f := range c.failures {
		out = append(out, *f)
	}
	clear(c.failures)
	return out
}

// Detector is what one control instance was told. Make one with New. It is not safe for concurrent use.
type Detector struct {
	instances map[registry.Incarnation]*suspect
	services  map[string]*service
}

// New returns a book that was told nothing.
func New() *Detector {
	return &Detector{instances: map[registry.Incarnation]*suspect{}, services: map[string]*service{}}
}

// suspect is an instance at which requests failed lately.
type suspect struct {
	service string
	// told holds what was told in the last window, the oldest first, joined by joined.
	told []told
	last time.Time
	// left is until when it is left alone.
	left time.Time
}

// told is what entries told within some time.
type told struct {
	at    time.Time
	count int
	teams uint32
}

// service is what entries said of their use of a service.
type service struct {
	instances int
	// expected is how many requests a second an entry sends an instance, as a mean of what entries
	// said.
	expected float64
	teams    uint32
	last     time.Time
}

// expectedWeight is the weight of what one entry says of its use.
const expectedWeight = 0.1

// Add joins a report of an entry.
func (b *Detector) Add(reports []Failures, now time.Time) {
	for _, f := range reports {
		s := b.services[f.Service]
		if s == nil {
			s = &service{expected: f.Expected}
			b.services[f.Service] = s
		}
		s.expected += expectedWeight * (f.Expected - s.expected)
		s.instances = f.Instances
		s.teams |= f.AllTeams
		s.last = now
		k := b.instances[f.Target]
		if k == nil {
			k = &suspect{service: f.Service}
			b.instances[f.Target] = k
		}
		k.take(f, now)
	}
}

// take joins what one entry saw.
func (k *suspect) take(f Failures, now time.Time) {
	k.last = now
	if n := len(k.told); n > 0 && now.Sub(k.told[n-1].at) < joined {
		k.told[n-1].count += f.Count
		k.told[n-1].teams |= f.Teams
		return
	}
	k.told = append(k.told, told{now, f.Count, f.Teams})
}

// Ejected returns the instances that are to be left alone, as entries so many, in the order of their ids.
// It forgets what is old.
func (b *Detector) Ejected(entries int, now time.Time) []registry.Incarnation {
	failed := map[string][]int{}
	for of, k := range b.instances {
		k.forget(now)
		if now.Sub(k.last) > quietFor && !now.Before(k.left) {
			delete(b.instances, of)
			continue
		}
		failed[k.service] = append(failed[k.service], k.failed())
	}
	for name, s := range b.services {
		if now.Sub(s.last) > quietFor && failed[name] == nil {
			delete(b.services, name)
		}
	}
	left := map[string][]registry.Incarnation{}
	for of, k := range b.instances {
		s := b.services[k.service]
		fails := now.Before(k.left) && k.failed() >= stillFailing
		if fails || s.outlier(k, s.usual(failed[k.service]), entries, now) {
			k.left = now.Add(quietFor)
		}
		if now.Before(k.left) {
			left[k.service] = append(left[k.service], of)
		}
	}
	var out []registry.Incarnation
	for name, of := range left {
		if len(of) <= max(1, b.services[name].instances/mostShare) {
			out = append(out, of...)
		}
	}
	slices.SortFunc(out, func(a, b registry.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// usual returns how often an instance fails in the mean of those that fail least, three quarters of a
// service; failed holds those that fail at all.
func (s *service) usual(failed []int) float64 {
	slices.Sort(failed)
	least := s.instances * 3 / 4
	sound := max(s.instances-len(failed), 0)
	sum := 0
	for _, n := range failed[:min(max(least-sound, 0), len(failed))] {
		sum += n
	}
	return float64(sum) / float64(max(least, 1))
}

// outlier reports whether an instance fails much of what it gets, and far more than is usual.
func (s *service) outlier(k *suspect, usual float64, entries int, now time.Time) bool {
	n := float64(k.failed())
	if n < leastFailures || s.instances < 2 {
		return false
	}
	since := now.Sub(k.told[0].at) + late
	much := failedShare * s.expected * float64(max(entries, 1)) * since.Seconds()
	more := leastFailures + usual + deviations*math.Sqrt(usual)
	teams := min(leastTeams, bits.OnesCount32(s.teams))
	return n >= much && n >= more && bits.OnesCount32(k.teams()) >= teams
}

func (k *suspect) forget(now time.Time) {
	k.told = slices.DeleteFunc(k.told, func(r told) bool { return now.Sub(r.at) > window })
}

func (k *suspect) failed() int {
	n := 0
	for _, r := range k.told {
		n += r.count
	}
	return n
}

func (k *suspect) teams() uint32 {
	var out uint32
	for _, r := range k.told {
		out |= r.teams
	}
	return out
}
