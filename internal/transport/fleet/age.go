package fleet

import (
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// When an answer was received does not tell how old it is: it may have been delayed in a link or a socket, or come from a control
// instance whose own state is outdated. An answer holds all that its source knew when the poll had arrived there and
// been held, which is not before the poll was sent, plus the time for which it was held. A relay adds how old its
// own knowledge of the other control instances is, which it learns in the same way.

// addAge adds to an answer how long its poll was held and, if it is relayed, how old its contents may be; mu must be held.
func (s *Source) addAge(out *wire.FleetResponse, arrived time.Time) {
	now := clock.Now()
	out.HeldMilliseconds = uint32(max(0, now.Sub(arrived).Milliseconds()))
	if !out.Relayed || s.relayedAsOf.IsZero() {
		return
	}
	// Rounded up, so that the knowledge never seems younger than it is.
	age := uint32(max(0, now.Sub(s.relayedAsOf).Milliseconds()) + 1)
	out.RelayAgeMilliseconds = &age
}

// publishRelayedAsOf sets until when this source relays all that the other control instances learned.
func (s *Source) publishRelayedAsOf(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayedAsOf = asOf
}

// applyAge records until when the state of a source is known, by an answer to the poll that was sent last. An answer that
// leaves out anything, as those to a standby do, is no evidence.
func (s *sourceState) applyAge(out *wire.FleetResponse) {
	if s.standby || out.More || out.Backlog > 0 {
		return
	}
	asOf := s.polledAt.Add(time.Duration(out.HeldMilliseconds) * time.Millisecond)
	if out.Relayed {
		if out.RelayAgeMilliseconds == nil {
			return
		}
		asOf = asOf.Add(-time.Duration(*out.RelayAgeMilliseconds) * time.Millisecond)
	}
	if asOf.After(s.asOf) {
		s.asOf = asOf
	}
}

// relayAsOf has the own source tell until when it relays all that the other control instances learned: the oldest time of
// all that are listed. mu must be held.
func (f *Follower) relayAsOf() {
	oldest := clock.Now()
	for _, address := range f.replicas() {
		if address == f.Address {
			continue
		}
		s := f.sources[address]
		if s == nil || s.asOf.IsZero() {
			f.Relay.publishRelayedAsOf(time.Time{})
			return
		}
		if s.asOf.Before(oldest) {
			oldest = s.asOf
		}
	}
	f.Relay.publishRelayedAsOf(oldest)
}

// latestAsOf returns until when this process knows all that any control instance learned, by the answer of any source that
// knows a leader, or zero. mu must be held.
func (f *Follower) latestAsOf() time.Time {
	var latest time.Time
	for _, s := range f.sources {
		if s.relayed && s.leaderlessSince.IsZero() && s.asOf.After(latest) {
			latest = s.asOf
		}
	}
	return latest
}
