package fleet

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// relayedChanges is what one answer of a source has changed.
type relayedChanges struct {
	at              time.Time
	facts           []quarantine.Fact
	weightHistories map[string]weights.History
	busy            []registry.Incarnation
	// stores holds all stores of the source at the address origin, and changedStores those of which
	// more than Until has changed, each with whether it is gone.
	origin        string
	stores        map[string]keeping.StoreContents
	changedStores map[string]bool
}

// startRelaying makes the source answer entries with what all control instances learned.
func (s *Source) startRelaying() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayed == nil {
		s.relayed = newPublication(&s.table)
		s.relayed.relaying = true
		s.storeOrigins = map[string]string{}
	}
}

// publishRelayed publishes the changes in one answer of a source.
func (s *Source) publishRelayed(c relayedChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.relayed
	for _, fact := range c.facts {
		p.pending = p.facts.Merge(fact) || p.pending
	}
	s.publishRelayedStores(c)
	if !slices.Equal(p.busy, c.busy) {
		p.busy = c.busy
		p.notifyNow()
	}
	newer := anyNewer(newestVersions(c.weightHistories), newestVersions(p.weightHistories))
	p.weightHistories = c.weightHistories
	if newer {
		p.notifyNow()
	}
}

// publishRelayedStores publishes the stores of one source; mu must be held.
func (s *Source) publishRelayedStores(c relayedChanges) {
	p := s.relayed
	for address, gone := range c.changedStores {
		if gone && s.storeOrigins[address] == c.origin {
			p.stores.remove(address, c.at)
			delete(s.storeOrigins, address)
			p.pending = true
		}
	}
	for address, contents := range c.stores {
		known := p.stores.stores[address]
		_, changed := c.changedStores[address]
		switch {
		case known != nil && known.removedAt.IsZero() && contents.Until < known.contents.Until:
			// Another source has read the store later.
			continue
		case known == nil || !known.removedAt.IsZero() || changed || s.storeOrigins[address] != c.origin:
			p.stores.publish(address, contents, c.at)
			s.storeOrigins[address] = c.origin
		case contents.Until > known.contents.Until:
			p.stores.setUntil(known, contents.Until, contents.ReceivedAt)
		default:
			continue
		}
		p.pending = true
	}
}

// publishRelayedInstances publishes reports, and removes the instances that are forgotten.
func (s *Source) publishRelayedInstances(reports []registry.Report, forgotten []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range forgotten {
		s.table.Remove(id)
	}
	p := s.relayed
	changed, urgent := false, false
	for _, r := range reports {
		if !s.table.Put(r) {
			continue
		}
		changed = true
		if isUrgent(r) {
			urgent = true
			p.urgentChange = s.table.Change()
		}
	}
	if changed {
		p.notify(urgent)
	}
}

// setRelayedEntries sets the entries that poll other control instances, by name.
func (s *Source) setRelayedEntries(peers map[string]entryPeer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.setRelayed(peers)
}

// publishRelayedLoads publishes the loads that another control instance sent; none are known if there are no
// loads in it.
func (s *Source) publishRelayedLoads(k loadsState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed.pending = s.relayed.loads.publish(k.loads, k.at, k.interval) || s.relayed.pending
}
