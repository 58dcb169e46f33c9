package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// A failure domain counts as cut off when it has been quiet for partitionedAfter and some of
	// its instances do not answer requests or cannot be reached. A healthy engine at normal load
	// may be quiet for up to 0.7 s; that two are while all others of the domain send nothing either
	// has not been seen.
	partitionedAfter = 500 * time.Millisecond
	// minUnresponsive is how many instances must be unresponsive; a single one may be faulty
	// itself.
	minUnresponsive = 2
	// quietLatencies is for how many times its mean latency an instance must have sent nothing to
	// count as unresponsive in its domain.
	quietLatencies = 3
	// retryableProbeInterval is how often a retryable request is sent to a domain that is cut off,
	// as a probe, and nonRetryableProbeInterval how often any other request is.
	retryableProbeInterval    = time.Second
	nonRetryableProbeInterval = 4 * time.Second
)

// domain is the state of a failure domain. In a partition it costs a request or a connection
// timeout to detect each unresponsive instance; the instances of a domain that is known to be cut
// off are avoided at no cost.
type domain struct {
	// lastResponse is when any of its instances last sent a response.
	lastResponse time.Time
	// timedOut holds the instances that did not respond before a timeout since then.
	timedOut map[registry.Incarnation]bool
	// lastProbe is when a request was last sent to it while it was cut off.
	lastProbe time.Time
	name      string
	// coldUntil is until when its instances count as cold.
	coldUntil time.Time
	// excluded, unresponsiveCount and partitioned belong to the choice in progress: whether the
	// request must not be sent to the domain, how many instances indicate that the domain is cut
	// off if it is quiet, and whether it is avoided for that.
	excluded          bool
	unresponsiveCount int
	partitioned       bool
}

func (b *Balancer) domain(name string) *domain {
	d, ok := b.domains[name]
	if !ok {
		d = &domain{name: name, timedOut: map[registry.Incarnation]bool{}}
		b.domains[name] = d
	}
	return d
}

func (d *domain) recordResponse(now time.Time) {
	d.lastResponse = now
	clear(d.timedOut)
}

// markExcluded marks the failure domains to which the request must not be sent: those that are
// evacuated, and those outside the regions in which its data may be. Instances of domains whose
// evacuation has ended count as cold for a while: they may have become cold meanwhile, and look idle
// beside all others.
func (set *candidateSet) markExcluded(info PickInfo) {
	for _, d := range set.domains {
		_, evacuated := info.Evacuated[d.name]
		d.excluded = evacuated || !info.Residency.Allows(d.name, info.Regions)
		d.coldUntil = time.Time{}
		if since, ok := info.Returned[d.name]; ok {
			d.coldUntil = since.Add(info.ColdFor)
		}
	}
}

// markPartitioned marks the failure domains of a candidate set that are cut off, except for those that the
// request may probe. If all domains would be marked, none is.
func (b *Balancer) markPartitioned(set *candidateSet, info PickInfo, now time.Time) {
	quiet := len(info.Unreachable) > 0
	for _, d := range set.domains {
		d.unresponsiveCount, d.partitioned = 0, false
		quiet = quiet || d.quiet(now) && !d.silentLike(info.lastSign)
	}
	if !quiet {
		return
	}
	b.countUnresponsive(set, now)
	excluded := 0
	for _, d := range set.domains {
		if d.excluded {
			excluded++
			continue
		}
		d.partitioned = d.unreachable(info.Unreachable) || d.cutOff(info, now)
		if d.partitioned {
			excluded++
		}
	}
	if excluded < len(set.domains) {
		return
	}
	for _, d := range set.domains {
		d.partitioned = false
	}
}

// countUnresponsive counts the candidates of each failure domain that indicate that the domain is cut
// off. Only instances with requests in flight, and those that timed out, can do so.
func (b *Balancer) countUnresponsive(set *candidateSet, now time.Time) {
	for target, l := range b.active {
		if c := set.find(target); c != nil && l.quiet(now) {
			c.domain.unresponsiveCount++
		}
	}
	for _, d := range set.domains {
		for target := range d.timedOut {
			if c := set.find(target); c != nil && !c.load.quiet(now) {
				d.unresponsiveCount++
			}
		}
	}
}

// unreachable reports whether a failure domain is known to be cut off from this one, and has sent no
// response since. No probes are needed: the control instances that report it also report its end.
func (d *domain) unreachable(domains map[string]time.Time) bool {
	since, ok := domains[d.name]
	return ok && d.lastResponse.Before(since)
}

// Unreachable reports whether an instance is in a failure domain that is known to be cut off from this
// one, and that has sent no response since. domains holds the former, each with since when.
func (b *Balancer) Unreachable(in registry.Instance, domains map[string]time.Time) bool {
	return b.domain(in.FailureDomain).unreachable(domains)
}

// quiet reports whether a failure domain has sent no response for partitionedAfter.
func (d *domain) quiet(now time.Time) bool { return now.Sub(d.lastResponse) >= partitionedAfter }

// cutOff reports whether a failure domain has gone silent while others have not, but for requests that probe it.
func (d *domain) cutOff(info PickInfo, now time.Time) bool {
	return d.quiet(now) && d.unresponsiveCount >= minUnresponsive && !d.silentLike(info.lastSign) && now.Sub(d.lastProbe) < info.probeInterval()
}

// probeInterval is the time after the last probe at which the request may be sent as the next one.
func (info PickInfo) probeInterval() time.Duration {
	if info.Retryable {
		return retryableProbeInterval
	}
	return nonRetryableProbeInterval
}

// quiet reports whether an instance has requests in flight and has sent nothing for longer than
// usual.
func (l *load) quiet(now time.Time) bool {
	return l.noResponseFor(now, partitionedAfter, quietLatencies)
}
