package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// A Follower with a Relay passes on what it learns from the sources to the pollers of its own Source.
// Among control instances, each polls each other and is told only what the other learned itself, so
// nothing travels in circles. An entry is told by any source what all of them learned, one relay
// later; the work for an entry therefore does not grow with the number of control instances, nor the
// work for a control instance with the number of all entries.

// relayAnswer relays the changes in an answer of the source at an address; mu must be held.
func (f *Follower) relayAnswer(address string, s *sourceState, out *wire.FleetResponse, now time.Time) {
	if f.Relay == nil {
		return
	}
	f.relayInstances(now)
	f.Relay.relay(relayedChanges{
		at: now, facts: wire.ToFacts(out.Facts, now), weightHistories: maps.Clone(f.weightHistories),
		origin: address, stores: s.stores.stores, changedStores: storeChanges(out), busy: f.busy(now),
	})
	f.relayLoads()
	if len(out.EntryNames) > 0 {
		f.relayEntries()
	}
}

// relayExpiry relays what has changed by the passage of time; mu must be held.
func (f *Follower) relayExpiry(now time.Time) {
	if f.Relay == nil {
		return
	}
	f.relayInstances(now)
	f.relayEntries()
}

// relayInstances relays the reports of the instances that have changed; mu must be held.
func (f *Follower) relayInstances(now time.Time) {
	ids := f.merged.Changed()
	if len(ids) == 0 {
		return
	}
	var reports []registry.Report
	var forgotten []string
	for _, id := range ids {
		r, known := f.merged.Report(id, now)
		if known {
			reports = append(reports, r)
		} else {
			forgotten = append(forgotten, id)
		}
	}
	f.Relay.relayInstances(reports, forgotten)
}

// relayEntries relays the names of the entries that poll any source; mu must be held.
func (f *Follower) relayEntries() {
	var names []string
	for _, s := range f.sources {
		names = append(names, s.entryNames...)
	}
	slices.Sort(names)
	f.Relay.relayEntries(slices.Compact(names))
}

// loadsVersion identifies the loads that a source sent with an answer.
type loadsVersion struct {
	address       string
	epoch, change uint64
}

// relayLoads relays the loads of the source that sent the newest; mu must be held.
func (f *Follower) relayLoads() {
	var newest loadsState
	var version loadsVersion
	for address, s := range f.sources {
		if len(s.loads.loads) > 0 && s.loads.at.After(newest.at) {
			newest = s.loads
			version = loadsVersion{address, s.epoch, s.loads.change}
		}
	}
	if version != f.relayedLoads {
		f.relayedLoads = version
		f.Relay.relayLoads(newest)
	}
}

// busy returns the instances that any source reported as busy lately, in a fixed order; mu must be
// held.
func (f *Follower) busy(now time.Time) []registry.Incarnation {
	var out []registry.Incarnation
	for _, s := range f.sources {
		if now.Sub(s.answeredAt) < busyRetention {
			out = append(out, s.busy...)
		}
	}
	slices.SortFunc(out, compareIncarnations)
	return slices.Compact(out)
}

// storeChanges returns the addresses of the stores of which more than Until has changed, and whether
// each is gone.
func storeChanges(out *wire.FleetResponse) map[string]bool {
	changed := make(map[string]bool, len(out.Stores))
	for _, state := range out.Stores {
		changed[state.Address] = state.Gone
	}
	return changed
}

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

// relay publishes the changes in one answer of a source.
func (s *Source) relay(c relayedChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.relayed
	for _, fact := range c.facts {
		p.pending = p.facts.Merge(fact) || p.pending
	}
	s.relayStores(c)
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

// relayStores publishes the stores of one source; mu must be held.
func (s *Source) relayStores(c relayedChanges) {
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

// relayInstances publishes reports, and removes the instances that are forgotten.
func (s *Source) relayInstances(reports []registry.Report, forgotten []string) {
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

// relayEntries sets the entries that poll any control instance, in ascending order of their names.
func (s *Source) relayEntries(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.setRelayed(names)
}

// relayLoads publishes the loads that another control instance sent; none are known if there are no
// loads in it.
func (s *Source) relayLoads(k loadsState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed.pending = s.relayed.loads.publish(k.loads, k.at, k.interval) || s.relayed.pending
}
