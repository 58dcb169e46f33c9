package fleet

import (
	"slices"
	"time"
)

const (
	// witnessPollWait is how long a source in another failure domain may hold the poll of a control instance
	// where the answers tell whether the domain is within reach, and ownDomainPollWait a source in the own
	// one. The former is longer, to limit the traffic between domains.
	witnessPollWait   = 500 * time.Millisecond
	ownDomainPollWait = 250 * time.Millisecond
	// domainUnreachableAfter is how long no control instance of a failure domain must have answered for the
	// domain to count as unreachable: one poll, plus a margin for slow processes.
	domainUnreachableAfter = 800 * time.Millisecond
	// minDomainWitnesses is how many control instances a failure domain must have for that: a single one
	// may have failed itself.
	minDomainWitnesses = 2
	// unreachableRetention is how long the unreachable domains reported by a source remain in effect after
	// its last answer.
	unreachableRetention = 2 * time.Second
)

// domainWitness summarises the polls of the other control instances in one failure domain.
type domainWitness struct {
	// instances is their number, and answeredAt is when any of them last answered.
	instances  int
	answeredAt time.Time
}

// relayReachability publishes the failure domains that this control instance can't reach, so that entries
// of its own failure domain need not detect that by requests that time out. mu must be held.
//
// A process that is cut off or frozen itself gets no answers either. Therefore only the time during which
// control instances of the own domain have answered without a gap counts.
func (f *Follower) relayReachability(now time.Time) {
	witnesses := f.domainWitnesses()
	own := witnesses[f.FailureDomain]
	if own.instances == 0 || now.Sub(own.answeredAt) > 2*ownDomainPollWait {
		f.ownDomainSince = time.Time{}
		f.Relay.publishUnreachable(nil)
		return
	}
	if f.ownDomainSince.IsZero() {
		f.ownDomainSince = now
	}
	var unreachable []string
	for domain, w := range witnesses {
		silentSince := w.answeredAt
		if silentSince.Before(f.ownDomainSince) {
			silentSince = f.ownDomainSince
		}
		if domain != f.FailureDomain && w.instances >= minDomainWitnesses && now.Sub(silentSince) >= domainUnreachableAfter {
			unreachable = append(unreachable, domain)
		}
	}
	slices.Sort(unreachable)
	f.Relay.publishUnreachable(unreachable)
}

// pollWait returns how long the source at an address may hold a poll of this process. mu must be held.
func (f *Follower) pollWait(address string) time.Duration {
	if f.Relay == nil {
		return pollWait
	}
	witnesses := f.domainWitnesses()
	domain := f.domains[address]
	switch {
	case witnesses[f.FailureDomain].instances == 0:
		return pollWait
	case domain == f.FailureDomain:
		return ownDomainPollWait
	case witnesses[domain].instances < minDomainWitnesses:
		return pollWait
	}
	return witnessPollWait
}

// domainWitnesses returns the witnesses of each failure domain. mu must be held.
func (f *Follower) domainWitnesses() map[string]domainWitness {
	out := map[string]domainWitness{}
	for address, s := range f.sources {
		domain := f.domains[address]
		if domain == "" || address == f.Address {
			continue
		}
		w := out[domain]
		w.instances++
		if s.answeredAt.After(w.answeredAt) {
			w.answeredAt = s.answeredAt
		}
		out[domain] = w
	}
	return out
}

// unreachable returns the failure domains that this entry's own domain can't reach, each with since when,
// by what control instances of the own domain report. mu must be held.
func (f *Follower) unreachable(now time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	for address, s := range f.sources {
		if !f.inOwnDomain(address) || now.Sub(s.answeredAt) > unreachableRetention {
			continue
		}
		for _, domain := range s.unreachableDomains {
			if at, known := out[domain]; !known || s.unreachableSince.Before(at) {
				out[domain] = s.unreachableSince
			}
		}
	}
	return out
}

// setUnreachable records the failure domains that a source reports as unreachable.
func (s *sourceState) setUnreachable(domains []string, now time.Time) {
	if slices.Equal(domains, s.unreachableDomains) {
		return
	}
	s.unreachableDomains = domains
	s.unreachableSince = now.Add(-domainUnreachableAfter)
}

// publishUnreachable sets the failure domains that this control instance can't reach, in order.
func (s *Source) publishUnreachable(domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.unreachable, domains) {
		return
	}
	for _, domain := range domains {
		if !slices.Contains(s.unreachable, domain) {
			s.log.Info().Str("event", "domain_unreachable").Str("domain", domain).Msg("")
		}
	}
	for _, domain := range s.unreachable {
		if !slices.Contains(domains, domain) {
			s.log.Info().Str("event", "domain_reachable").Str("domain", domain).Msg("")
		}
	}
	s.unreachable = domains
	s.notifyNow()
}
