package balance

import "time"

// commonSilence is how far apart instances may fall silent for one cause, such as the link that they share.
const commonSilence = partitionedAfter

// lastSign returns when any candidate last gave a sign of life: when the last of them fell silent, or now if one is
// idle or responds. Instances that get no requests do not count.
func (set *candidateSet) lastSign(now time.Time) time.Time {
	var last time.Time
	for i := range set.candidates {
		c := &set.candidates[i]
		if c.domain.excluded || c.load.leaving || now.Before(c.load.avoidUntil) {
			continue
		}
		if c.load.inFlight == 0 || now.Sub(c.load.lastResponse) < commonSilence {
			return now
		}
		last = latest(last, c.load.lastResponse)
	}
	return last
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
