package balance

import "time"

// commonSilence is how far apart instances may fall silent for one cause, such as the link that they share.
const commonSilence = partitionedAfter

// minCommon is how many instances must be silent for the silence to be common: nothing is known of the cause of a single
// one's.
const minCommon = 2

// lastSign returns when any candidate was last active: when the last of them fell silent, or now if one is
// idle or responds, or fewer than minCommon are silent. Candidates that are not available do not count.
func (set *candidateSet) lastSign(info PickInfo, now time.Time) time.Time {
	var last time.Time
	silent := 0
	for i := range set.candidates {
		c := &set.candidates[i]
		if !c.available(info, now) {
			continue
		}
		if c.load.inFlight == 0 || now.Sub(c.load.lastResponse) < commonSilence {
			return now
		}
		last = latest(last, c.load.lastResponse)
		silent++
	}
	if silent < minCommon {
		return now
	}
	return last
}

// available reports whether a request might be sent to a candidate before the fallback candidates, if only it is not silent.
func (c *candidate) available(info PickInfo, now time.Time) bool {
	switch {
	case c.domain.excluded, c.load.leaving, c.load.resting(now), info.tried(c.in):
		return false
	case now.Before(c.load.avoidUntil), info.isFailing(c.in), info.isBusy(c.in):
		return false
	}
	return c.acceptsCold(info, now) && c.withinLimit(info, now)
}

// silentLike reports whether an instance fell silent together with all others, given when the last of them did. Such a
// silence has a common cause and does not tell the instance from them: if it counted, the one that was asked last would get
// all requests.
func (l *load) silentLike(lastSign time.Time) bool {
	return lastSign.Sub(l.lastResponse) < commonSilence
}

// silentLike reports whether a failure domain fell silent together with all others. If that counted, a domain of a single
// instance, which never counts as cut off, would get all requests.
func (d *domain) silentLike(lastSign time.Time) bool {
	return lastSign.Sub(d.lastResponse) < commonSilence
}

// silence returns for how long an instance was silent before it answered a request, beyond the mean latency of its service,
// or 0 if that was no longer than usual. It takes up none of its slots meanwhile.
func (b *Balancer) silence(service string, r Result) time.Duration {
	mean := time.Duration(b.latencies[service] * float64(time.Second))
	if r.Latency < partitionedAfter || r.Latency < quietLatencies*mean {
		return 0
	}
	return r.Latency - mean
}
