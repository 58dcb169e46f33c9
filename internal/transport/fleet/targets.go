package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

// leaderlessLimit is how long a source may be without a leader before another one is polled in its
// place. An election takes 0.5 s to 1.5 s; it is below unreachableAfter, so that a process with a
// cut-off source does not count as cut off itself.
const leaderlessLimit = 2 * time.Second

// usable reports whether a source can be a follower's primary or standby: it answered the last
// poll, relays what the other sources learned, and knows a leader. A source that has not answered yet
// counts as usable, so that a follower does not poll all of them at once.
func (s *sourceState) usable(now time.Time) bool {
	leaderless := !s.leaderlessSince.IsZero() && now.Sub(s.leaderlessSince) >= leaderlessLimit
	return !s.polled || s.reachable && s.relayed && !leaderless
}

// targetSources returns the sources to poll, and chooses the primary; mu must be held.
//
// A control instance polls all of them, as it relays what they learned. Any other process receives
// all state from one, its primary, and polls a second one as a standby, which sends only urgent changes,
// so that these arrive even if the primary is lost. It also polls the unusable sources that it would prefer, so as to
// notice when they are usable again. As sources of an earlier version do not relay, all are polled as
// long as no others are known.
func (f *Follower) targetSources() []string {
	order := f.preferred(f.knownSources())
	if f.Relay != nil {
		return order
	}
	now := clock.Now()
	f.choosePrimary(order, now)
	var targets []string
	hasStandby := false
	for _, address := range order {
		s := f.sources[address]
		usable := s == nil || s.usable(now)
		switch {
		case address == f.primary:
		case hasStandby && !f.mustKeep(s):
			continue
		case usable:
			hasStandby = true
		}
		targets = append(targets, address)
	}
	return targets
}

// choosePrimary chooses the primary: it stays the same while it is usable and the known sources stay the
// same; else it is the first usable one. mu must be held.
func (f *Follower) choosePrimary(order []string, now time.Time) {
	known := slices.Sorted(slices.Values(order))
	current := f.sources[f.primary]
	if current != nil && current.usable(now) && slices.Equal(known, f.known) {
		return
	}
	f.known = known
	i := slices.IndexFunc(order, func(address string) bool {
		s := f.sources[address]
		return s == nil || s.usable(now)
	})
	if i < 0 {
		f.primary = ""
		return
	}
	f.primary = order[i]
}

// mustKeep reports whether a source is still needed because the primary has not sent all state yet; mu must be
// held.
func (f *Follower) mustKeep(s *sourceState) bool {
	primary := f.sources[f.primary]
	caughtUp := primary != nil && primary.change > 0 && primary.backlog == 0
	return s != nil && s.reachable && !caughtUp
}

// assignRoles sets which sources are standbys. One that becomes the primary sends everything
// anew, and what a former primary sent of stores and loads is dropped. mu must be held.
func (f *Follower) assignRoles() {
	for address, s := range f.sources {
		standby := f.Relay == nil && f.primary != "" && address != f.primary
		if standby == s.standby {
			continue
		}
		if standby {
			s.stores, s.loads = storesState{}, loadsState{}
		} else {
			s.change, s.backlog = 0, 0
		}
		s.standby = standby
		// The answer to a poll in the former role is ignored.
		s.cursorReset = true
	}
}

// knownSources returns the seeds, all control instances listed by reachable sources, and all sources
// that still answer, even if none lists them; mu must be held.
func (f *Follower) knownSources() []string {
	set := map[string]bool{}
	for _, address := range f.Seeds() {
		set[address] = true
	}
	for address, s := range f.sources {
		if s.reachable {
			for _, listed := range s.control {
				set[listed] = true
			}
		}
		if s.reachable || clock.Since(s.answeredAt) < sourceLostAfter {
			set[address] = true
		}
	}
	return slices.Collect(maps.Keys(set))
}

// preferred sorts sources by preference: the best of the own failure domain first, as it can be
// reached while the domain is cut off, then the others, of which the best is elsewhere as long as
// there is one. Each process has a different order (rendezvous hashing), so that the sources of a
// failure domain have about as many pollers each, and a lost source's pollers are spread over all
// others. mu must be held.
func (f *Follower) preferred(addresses []string) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(f.Name, a), rendezvousWeight(f.Name, b)), cmp.Compare(a, b))
	})
	first := slices.IndexFunc(addresses, f.inOwnDomain)
	if first < 0 {
		return addresses
	}
	own := addresses[first]
	addresses = slices.Insert(slices.Delete(addresses, first, first+1), 0, own)
	second := slices.IndexFunc(addresses, func(address string) bool { return !f.inOwnDomain(address) })
	if second < 0 {
		return addresses
	}
	other := addresses[second]
	return slices.Insert(slices.Delete(addresses, second, second+1), 1, other)
}

// inOwnDomain reports whether a source is in the failure domain of this process.
func (f *Follower) inOwnDomain(address string) bool {
	return f.FailureDomain != "" && f.domains[address] == f.FailureDomain
}
