// Package suspects detects instances that accept requests and fail them while they report that they
// are healthy (outlier detection), from the failures that all entries see. One of many entries
// sends a request to a given instance only every few seconds; by itself it would notice the
// failures only after hundreds of requests had failed.
//
// Entries report to control instances which requests failed at which instance. Each control
// instance evaluates the recent reports by itself and tells the entries which instances are
// ejected; no leader is needed. An instance is ejected only if it fails far more than the others of
// its service, because a route with a high base rate of failures fails on every instance. The
// failures must come from two teams, so that one team whose requests always fail causes no
// ejection. If many instances of a service look faulty, something else is the cause, such as a
// network partition, and none is ejected. An instance that sends more than a sound one does is ejected at its first
// report, unless all instances do so.
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
	// window is the period over which failures are counted.
	window = 2 * time.Second
	// mergeInterval is the period after the first report of a batch in which further reports are
	// added to it, which bounds the number of batches kept for each instance.
	mergeInterval = 100 * time.Millisecond
	// rateDecayTime is the period over which request rates are averaged.
	rateDecayTime = time.Second
	// minFailures is the least number of failures for an ejection.
	minFailures = 4
	// minFailedShare is the share of its requests that an instance must fail for an ejection. The
	// number of its requests is estimated from the mean rate of its service, beginning reportDelay
	// before the first failure was reported.
	minFailedShare = 0.3
	reportDelay    = 100 * time.Millisecond
	// outlierDeviations is by how many standard deviations an instance's failures must exceed the
	// baseline of its service.
	outlierDeviations = 6
	// minTeams is the least number of teams that the failures must come from, if the service has
	// that many.
	minTeams = 2
	// maxEjectedDivisor bounds the instances of a service that are ejected at once to
	// 1/maxEjectedDivisor of them, or to one; if there would be more, none is ejected.
	maxEjectedDivisor = 5
	// ejectionTime is how long an instance stays ejected. The ejection is renewed while at least
	// minProbeFailures of the requests that probe the instance fail; a single one may fail for
	// another reason.
	ejectionTime     = 2500 * time.Millisecond
	minProbeFailures = 2
	// teamBits is the number of hash buckets for teams.
	teamBits = 32
	// maxReported bounds the number of instances in one report of an entry.
	maxReported = 64
)

// Failures holds the failures that one entry saw at one instance since its last report.
type Failures struct {
	Target  registry.Incarnation
	Service string
	// Count is the number of failed requests, at most one for each bucket of teams.
	Count int
	// Teams has a bit for each bucket of teams whose requests failed.
	Teams uint32
	// Expected is the number of requests per second that an instance of the service gets from this
	// entry, and Instances the number of instances. AllTeams has a bit for each bucket of teams
	// whose requests the entry sends to the service.
	Expected  float64
	Instances int
	AllTeams  uint32
	// Excessive is true if the instance sent more than a sound one does.
	Excessive bool
}

// TeamBit returns the bit of the hash bucket of a team.
func TeamBit(team string) uint32 { return 1 << (xxhash.Sum64String(team) % teamBits) }

// Collector records the requests and failures that one entry sees. Use NewCollector to make one. It
// is not safe for concurrent use.
type Collector struct {
	services map[string]*serviceUsage
	failures map[registry.Incarnation]*Failures
}

// serviceUsage is an entry's use of a service. Its rate is in requests per second, averaged with a
// decay over rateDecayTime.
type serviceUsage struct {
	rate    float64
	updated time.Time
	teams   uint32
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{services: map[string]*serviceUsage{}, failures: map[registry.Incarnation]*Failures{}}
}

// RecordRequest records that a request is sent to an instance of a service.
func (c *Collector) RecordRequest(service, team string, now time.Time) {
	u := c.services[service]
	if u == nil {
		u = &serviceUsage{updated: now}
		c.services[service] = u
	}
	u.decay(now)
	u.rate += 1 / rateDecayTime.Seconds()
	u.teams |= TeamBit(team)
}

func (u *serviceUsage) decay(now time.Time) {
	elapsed := now.Sub(u.updated).Seconds() / rateDecayTime.Seconds()
	u.rate /= 1 + elapsed
	u.updated = now
}

// RecordFailure records that a request of a team failed at one of a service's instances. excessive is true if the
// instance sent more than a sound one does.
func (c *Collector) RecordFailure(in registry.Instance, team string, excessive bool, instances int, now time.Time) {
	target := in.Incarnation()
	f := c.failures[target]
	if f == nil {
		if len(c.failures) >= maxReported {
			return
		}
		f = &Failures{Target: target, Service: in.Service}
		c.failures[target] = f
	}
	if bit := TeamBit(team); f.Teams&bit == 0 {
		f.Teams |= bit
		f.Count++
	}
	f.Excessive = f.Excessive || excessive
	f.Instances = max(instances, 1)
	if u := c.services[in.Service]; u != nil {
		u.decay(now)
		f.Expected = u.rate / float64(f.Instances)
		f.AllTeams = u.teams
	}
}

// Drain returns the failures recorded since the last call.
func (c *Collector) Drain() []Failures {
	var out []Failures
	for _, f := range c.failures {
		out = append(out, *f)
	}
	clear(c.failures)
	return out
}

// Detector holds the failures reported to one control instance. Use New to make one. It is not safe
// for concurrent use.
type Detector struct {
	instances map[registry.Incarnation]*suspect
	services  map[string]*service
}

// New returns a Detector without reports.
func New() *Detector {
	return &Detector{instances: map[registry.Incarnation]*suspect{}, services: map[string]*service{}}
}

// suspect is an instance with recent failures.
type suspect struct {
	service string
	// batches holds the reports within the window, the oldest first, merged by mergeInterval.
	batches    []batch
	lastReport time.Time
	// ejectedUntil is when the ejection ends. excessive is true if it was ejected, or its ejection renewed, because it
	// sent more than a sound instance does.
	ejectedUntil time.Time
	excessive    bool
}

// batch holds what entries reported within mergeInterval.
type batch struct {
	at    time.Time
	count int
	teams uint32
}

// service is what entries reported of their use of a service.
type service struct {
	instances int
	// expected is the number of requests per second that an entry sends to an instance, as a moving
	// average of the reports.
	expected   float64
	teams      uint32
	lastReport time.Time
}

// expectedWeight is the weight of one report in the moving average.
const expectedWeight = 0.1

// AddReports adds the reports of an entry.
func (d *Detector) AddReports(reports []Failures, now time.Time) {
	for _, f := range reports {
		s := d.services[f.Service]
		if s == nil {
			s = &service{expected: f.Expected}
			d.services[f.Service] = s
		}
		s.expected += expectedWeight * (f.Expected - s.expected)
		s.instances = f.Instances
		s.teams |= f.AllTeams
		s.lastReport = now
		k := d.instances[f.Target]
		if k == nil {
			k = &suspect{service: f.Service}
			d.instances[f.Target] = k
		}
		k.add(f, now)
	}
}

// add adds the failures that one entry reported.
func (k *suspect) add(f Failures, now time.Time) {
	k.lastReport = now
	if f.Excessive {
		// No second report is needed: neither a request nor the network makes an instance send without end.
		k.ejectedUntil, k.excessive = now.Add(ejectionTime), true
	}
	if n := len(k.batches); n > 0 && now.Sub(k.batches[n-1].at) < mergeInterval {
		k.batches[n-1].count += f.Count
		k.batches[n-1].teams |= f.Teams
		return
	}
	k.batches = append(k.batches, batch{now, f.Count, f.Teams})
}

// Ejected returns the instances that are ejected, in the order of their ids and starts; entries is
// the number of entries that send requests. It drops reports that are older than the window.
func (d *Detector) Ejected(entries int, now time.Time) []registry.Incarnation {
	failed := map[string][]int{}
	for target, k := range d.instances {
		k.expire(now)
		if now.Sub(k.lastReport) > ejectionTime && !now.Before(k.ejectedUntil) {
			delete(d.instances, target)
			continue
		}
		failed[k.service] = append(failed[k.service], k.failed())
	}
	for name, s := range d.services {
		if now.Sub(s.lastReport) > ejectionTime && failed[name] == nil {
			delete(d.services, name)
		}
	}
	ejected, excessive := map[string][]registry.Incarnation{}, map[string][]registry.Incarnation{}
	for target, k := range d.instances {
		s := d.services[k.service]
		fails := now.Before(k.ejectedUntil) && k.failed() >= minProbeFailures
		if fails || s.outlier(k, s.baseline(failed[k.service]), entries, now) {
			k.ejectedUntil = now.Add(ejectionTime)
		}
		switch {
		case !now.Before(k.ejectedUntil):
			k.excessive = false
		case k.excessive:
			excessive[k.service] = append(excessive[k.service], target)
		default:
			ejected[k.service] = append(ejected[k.service], target)
		}
	}
	var out []registry.Incarnation
	for name, targets := range excessive {
		if len(targets) < d.services[name].instances {
			out = append(out, targets...)
		}
	}
	for name, targets := range ejected {
		if len(targets) <= max(1, d.services[name].instances/maxEjectedDivisor) {
			out = append(out, targets...)
		}
	}
	slices.SortFunc(out, func(a, b registry.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// baseline returns the mean number of failures of the three quarters of a service's instances that
// fail least; failed holds the counts of the instances that fail at all.
func (s *service) baseline(failed []int) float64 {
	slices.Sort(failed)
	considered := s.instances * 3 / 4
	healthy := max(s.instances-len(failed), 0)
	sum := 0
	for _, n := range failed[:min(max(considered-healthy, 0), len(failed))] {
		sum += n
	}
	return float64(sum) / float64(max(considered, 1))
}

// outlier reports whether an instance fails a large share of its requests, and far more than the
// baseline.
func (s *service) outlier(k *suspect, baseline float64, entries int, now time.Time) bool {
	n := float64(k.failed())
	if n < minFailures || s.instances < 2 {
		return false
	}
	since := now.Sub(k.batches[0].at) + reportDelay
	shareThreshold := minFailedShare * s.expected * float64(max(entries, 1)) * since.Seconds()
	baselineThreshold := minFailures + baseline + outlierDeviations*math.Sqrt(baseline)
	teams := min(minTeams, bits.OnesCount32(s.teams))
	return n >= shareThreshold && n >= baselineThreshold && bits.OnesCount32(k.teams()) >= teams
}

func (k *suspect) expire(now time.Time) {
	k.batches = slices.DeleteFunc(k.batches, func(r batch) bool { return now.Sub(r.at) > window })
}

func (k *suspect) failed() int {
	n := 0
	for _, r := range k.batches {
		n += r.count
	}
	return n
}

func (k *suspect) teams() uint32 {
	var out uint32
	for _, r := range k.batches {
		out |= r.teams
	}
	return out
}
