package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

// relaysPerFollower is the number of relaying sources that a follower polls: while one of them is
// lost, the other one still tells it of every change.
const relaysPerFollower = 2

// leaderlessLimit is how long a source may be without a leader before another one is polled in its
// place. An election takes 0.5 s to 1.5 s; it is below unreachableAfter, so that a process with a
// cut-off source does not count as cut off itself.
const leaderlessLimit = 2 * time.Second

// usable reports whether a source tells a follower everything that it needs: it answered the last
// poll, relays what the other sources learned, and knows a leader. A source that has not answered yet
// counts as usable, so that a follower does not poll all of them at once.
func (s *sourceState) usable(now time.Time) bool {
	leaderless := !s.leaderlessSince.IsZero() && now.Sub(s.leaderlessSince) >= leaderlessLimit
	return !s.polled || s.reachable && s.relayed && !leaderless
}

// targetSources returns the sources to poll, in the order of preference; mu must be held.
//
// A control instance polls all of them, as it relays what they learned. Any other process polls the
// first relaysPerFollower usable ones, and those before them, so as to notice when they become usable
// again. A source that is no longer needed is kept until all others have answered. As sources of an
// earlier version do not relay, all are polled as long as too few others are known.
func (f *Follower) targetSources() []string {
	order := f.preferred(f.knownSources())
	if f.Relay != nil {
		return order
	}
	now := clock.Now()
	count, answered := 0, true
	end := len(order)
	for i, address := range order {
		s := f.sources[address]
		if s != nil && !s.usable(now) {
			continue
		}
		count++
		answered = answered && s != nil && s.polled
		if count == relaysPerFollower {
			end = i + 1
			break
		}
	}
	targets := order[:end:end]
	for _, address := range order[end:] {
		s := f.sources[address]
		if s != nil && !answered && s.reachable {
			targets = append(targets, address)
		}
	}
	return targets
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
