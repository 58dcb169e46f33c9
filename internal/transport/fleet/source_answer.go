package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// maxWait limits the duration of a long poll.
	maxWait = 5 * time.Second
	// entryLifetime is how long an entry is counted after its last poll, so that the retry
	// allowance of entries that are cut off is not given to others immediately.
	entryLifetime = 30 * time.Second
)

// Watch answers when there are changes since the poller's cursors, or when the wait is over.
func (s *Source) Watch(ctx context.Context, in *wire.FleetRequest) (*wire.FleetResponse, error) {
	wait := time.NewTimer(min(time.Duration(in.WaitMilliseconds)*time.Millisecond, maxWait))
	defer wait.Stop()
	for {
		out, ready, changed := s.poll(in)
		if ready {
			return out, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return out, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// cursors are a poller's positions in all that a Source publishes.
type cursors struct {
	instances, stores cursor
	// storesUntil is the latest Until of any store.
	storesUntil    time.Duration
	control        uint64
	loads, engines uint64
	facts          uint64
}

// cursorsOf returns the poller's cursors. Those of an earlier run of this source (another epoch)
// are ignored.
func (s *Source) cursorsOf(in *wire.FleetRequest) cursors {
	if in.Epoch != s.epoch {
		return cursors{}
	}
	return cursors{
		instances: cursor{in.Change, in.Backlog}, stores: cursor{in.StoreChange, in.StoreBacklog},
		storesUntil: time.Duration(in.StoresUntil) * time.Millisecond,
		control:     in.ControlChange, loads: in.LoadsChange, engines: in.EnginesChange, facts: in.FactsChange,
	}
}

// poll returns the answer to a poller, whether it must be sent now, and a channel that is closed at
// the next notification.
func (s *Source) poll(in *wire.FleetRequest) (*wire.FleetResponse, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Entry {
		s.entries[in.Name] = entryStatus{polledAt: clock.Now(), evacuations: in.Evacuations}
	}
	since := s.cursorsOf(in)
	out := s.delta(in, since)
	behind := out.More || since.instances.backlog > 0 || since.stores.backlog > 0
	ready := in.Epoch != s.epoch || behind || since.instances.change < s.notified.instances.change || s.installed.Version > in.ConfigVersion ||
		anyNewer(newestVersions(s.weightHistories), toWeights(in.Weights)) || s.evacuationRevision > in.Evacuations || in.Entry && s.readyForEntry(in, since)
	return out, ready, s.changed
}

// delta returns what has changed since the poller's cursors, as far as it fits into one answer.
// Instances come first, as nothing can be served without them, and then the facts about requests
// that must not be sent. mu must be held.
func (s *Source) delta(in *wire.FleetRequest, since cursors) *wire.FleetResponse {
	out := &wire.FleetResponse{
		Epoch: s.epoch, ConfigVersion: s.installed.Version,
		Entries: uint32(s.countEntries()), Weights: fromWeights(newestVersions(s.weightHistories)), Named: fromHistories(s.weightHistories, clock.Now()), Due: fromWeights(enforcedVersions(s.weightHistories)), Busy: fromIncarnations(s.busy), Failing: fromIncarnations(s.failing), ControlChange: s.controlChange,
		Rank: s.rankOf(in.Name), LoadsChange: since.loads, EnginesChange: since.engines, Leaderless: s.leaderless,
	}
	if since.control != s.controlChange {
		out.Control = s.control
	}
	s.addEvacuations(in.Evacuations, out)
	p := newPage(in.Paged)
	s.addInstances(since.instances, p, out)
	s.addFacts(since.facts, p, out)
	s.addLoads(since, p, out)
	s.stores.addTo(since.stores, since.storesUntil, p, out)
	out.More = p.more
	return out
}

// addInstances adds the reports that the poller lacks; mu must be held.
func (s *Source) addInstances(since cursor, p *page, out *wire.FleetResponse) {
	last := s.registry.Change()
	if since.change == 0 {
		since = resyncFrom(last)
	}
	now := clock.Now()
	add := func(r registry.Report) int {
		report := fromReport(r, now)
		out.Instances = append(out.Instances, report)
		return proto.Size(report)
	}
	out.Change = addChanges(p, s.registry.After(since.change), since.change, last, add)
	out.Backlog = addBacklog(p, s.registry.UpTo(since.backlog), add)
}

// addLoads adds all loads, unless the poller does not know all engines yet; mu must be held.
func (s *Source) addLoads(since cursors, p *page, out *wire.FleetResponse) {
	if since.loads == s.loads.change || out.Backlog > 0 {
		return
	}
	s.loads.addTo(since, p, out)
}

// readyForEntry reports whether there are changes for which only the polls of entries are answered;
// mu must be held.
func (s *Source) readyForEntry(in *wire.FleetRequest, since cursors) bool {
	return since.stores.change < s.notified.stores.change || s.notified.storesUntil >= since.storesUntil+untilStep ||
		since.facts < s.notified.facts || since.loads < s.notified.loads || !slices.Equal(s.busy, toIncarnations(in.Busy)) ||
		!slices.Equal(s.failing, toIncarnations(in.Failing))
}

// rankOf returns an entry's rank by name among the entries that polled lately; mu must be held.
func (s *Source) rankOf(name string) uint32 {
	rank := uint32(0)
	for other := range s.entries {
		if other < name {
			rank++
		}
	}
	return rank
}

// countEntries returns the number of entries that polled lately, including those restored after a
// restart of this control instance; mu must be held.
func (s *Source) countEntries() int {
	now := clock.Now()
	s.discountPause(now)
	maps.DeleteFunc(s.entries, func(_ string, w entryStatus) bool { return now.Sub(w.polledAt) > entryLifetime })
	if now.Sub(s.restoredAt) > entryLifetime {
		return len(s.entries)
	}
	return max(len(s.entries), s.restoredEntries)
}
