package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// A Follower with a Relay passes on what it learns from the sources to the pollers of its own Source.
// Among control instances, each polls each other and receives only what the other learned itself, so
// no report is relayed twice. An entry receives from any source what all of them learned, one relay
// later; the work for an entry therefore does not grow with the number of control instances, nor the
// work for a control instance with the number of all entries.

// relayAnswer relays the changes in an answer of the source at an address; mu must be held.
func (f *Follower) relayAnswer(address string, s *sourceState, out *wire.FleetResponse, now time.Time) {
	if f.Relay == nil {
		return
	}
	f.relayReachability(now)
	f.relayInstances(now)
	f.relayAsOf()
	f.Relay.publishRelayed(relayedChanges{
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
	f.relayReachability(now)
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
	f.Relay.publishRelayedInstances(reports, forgotten)
}

// relayEntries relays the entries that poll any source; mu must be held.
func (f *Follower) relayEntries() {
	peers := map[string]entryPeer{}
	for _, s := range f.sources {
		for name, p := range s.entryPeers {
			if known, ok := peers[name]; !ok || p.newer(known) {
				peers[name] = p
			}
		}
	}
	f.Relay.setRelayedEntries(peers)
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
		f.Relay.publishRelayedLoads(newest)
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
