package fleet

import (
	"context"
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
	arrived := clock.Now()
	wait := time.NewTimer(min(time.Duration(in.WaitMilliseconds)*time.Millisecond, maxWait))
	defer wait.Stop()
	for {
		out, changed := s.poll(in, arrived)
		if out != nil {
			return out, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return s.answer(in, arrived), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// cursors are a poller's positions in all that a Source publishes.
type cursors struct {
	instances, stores cursor
	// storesUntil is the latest Until of any store.
	storesUntil  time.Duration
	control      uint64
	loads, facts uint64
	// urgent is the newest urgent change of an instance.
	urgent uint64
}

// cursorsOf returns the poller's cursors. Those of another epoch are ignored.
func (p *publication) cursorsOf(in *wire.FleetRequest) cursors {
	if in.Epoch != p.epoch {
		return cursors{}
	}
	return cursors{
		instances: cursor{in.Change, in.Backlog}, stores: cursor{in.StoreChange, in.StoreBacklog},
		storesUntil: time.Duration(in.StoresUntil) * time.Millisecond,
		control:     in.ControlChange, loads: in.LoadsChange, facts: in.FactsChange,
	}
}

// poll returns the answer to a poll that arrived at the given time if there is anything new for the poller, or else a
// channel that is closed at the next notification.
func (s *Source) poll(in *wire.FleetRequest, arrived time.Time) (*wire.FleetResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.discountPause(now)
	if in.Entry {
		s.entries.recordPoll(in, now)
	}
	s.recordRelayPoll(in, now)
	p := s.publicationFor(in)
	since := p.cursorsOf(in)
	if !s.ready(p, in, since) {
		return nil, p.changed
	}
	out := s.delta(p, in, since)
	s.addAge(out, arrived)
	return out, nil
}

// answer returns the answer to a poll that arrived at the given time even if there is nothing new for the poller.
func (s *Source) answer(in *wire.FleetRequest, arrived time.Time) *wire.FleetResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.publicationFor(in)
	out := s.delta(p, in, p.cursorsOf(in))
	s.addAge(out, arrived)
	return out
}

// publicationFor returns what is sent to a poller; mu must be held.
func (s *Source) publicationFor(in *wire.FleetRequest) *publication {
	if in.Relayed && s.relayed != nil {
		return s.relayed
	}
	return s.own
}

// ready reports whether there is anything new for a poller; mu must be held.
func (s *Source) ready(p *publication, in *wire.FleetRequest, since cursors) bool {
	if p.isStandby(in) {
		return in.Epoch != p.epoch || since.instances.change < p.notified.urgent || since.facts < p.notified.facts || s.newerState(p, in)
	}
	return in.Epoch != p.epoch || since.instances.backlog > 0 || since.stores.backlog > 0 || since.instances.change < p.notified.instances.change ||
		s.newerState(p, in) || (in.Entry || in.Relays) && p.readyForEntry(since)
}

// newerState reports whether the poller has an older version of any versioned state; mu must be held.
func (s *Source) newerState(p *publication, in *wire.FleetRequest) bool {
	return s.installed.Version > in.ConfigVersion || anyNewer(newestVersions(p.weightHistories), toWeights(in.Weights)) ||
		s.evacuationRevision > in.Evacuations || in.Entry && !slices.Equal(s.failing, toIncarnations(in.Failing)) ||
		in.Entry && !slices.Equal(s.unreachable, in.UnreachableDomains) ||
		(in.Entry || in.Relays) && !slices.Equal(p.busy, toIncarnations(in.Busy))
}

// isStandby reports whether another source is the poller's primary.
func (p *publication) isStandby(in *wire.FleetRequest) bool { return in.Standby && p.relaying }

// delta returns what has changed since the poller's cursors, as far as it fits into one answer.
// Instances come first, as nothing can be served without them, and then the facts about requests
// that must not be sent. mu must be held.
func (s *Source) delta(p *publication, in *wire.FleetRequest, since cursors) *wire.FleetResponse {
	histories := p.weightHistories
	out := &wire.FleetResponse{
		Epoch: p.epoch, ConfigVersion: s.installed.Version, SharedSince: s.installed.SharedSince, Relayed: p == s.relayed,
		Entries: uint32(s.countEntries()), Rank: s.entries.rank(in.Name), Leaderless: s.leaderless, Leader: s.leader, Failing: fromIncarnations(s.failing), UnreachableDomains: s.unreachable,
		Weights: fromWeights(newestVersions(histories)), Named: fromHistories(histories, clock.Now()), Due: fromWeights(enforcedVersions(histories)),
		Busy: fromIncarnations(p.busy), ControlChange: s.controlChange, LoadsChange: since.loads,
	}
	if since.control != s.controlChange {
		for _, c := range s.control {
			out.Control = append(out.Control, c.Address)
			out.ControlDomains = append(out.ControlDomains, c.FailureDomain)
		}
	}
	s.addRecordedVersions(out)
	s.addEvacuations(in.Evacuations, out)
	s.addEntries(in, out)
	s.addPeers(in, out)
	page := newPage(in.Paged)
	if p.isStandby(in) {
		p.addUrgent(since.instances, page, out)
		p.addFacts(since.facts, page, out)
		out.More = page.more
		return out
	}
	p.addInstances(since.instances, page, out)
	p.addFacts(since.facts, page, out)
	p.addLoads(since.loads, page, out)
	p.stores.addTo(since.stores, since.storesUntil, page, out)
	out.More = page.more
	return out
}

// addInstances adds the reports that the poller lacks.
func (p *publication) addInstances(since cursor, page *page, out *wire.FleetResponse) {
	last := p.instances.Change()
	if since.change == 0 {
		since = resyncFrom(last)
	}
	now := clock.Now()
	add := func(r registry.Report) int {
		report := fromReport(r, now)
		out.Instances = append(out.Instances, report)
		return proto.Size(report)
	}
	out.Change = addChanges(page, p.instances.After(since.change), since.change, last, add)
	out.Backlog = addBacklog(page, p.instances.UpTo(since.backlog), add)
}

// addUrgent adds the reports of instances that may not be used any more, of those that the poller
// lacks. Reports from before the poller's first poll come from its primary.
func (p *publication) addUrgent(since cursor, page *page, out *wire.FleetResponse) {
	last := p.instances.Change()
	if since.change == 0 {
		out.Change = last
		return
	}
	now := clock.Now()
	out.Change = addChanges(page, p.instances.After(since.change), since.change, last, func(r registry.Report) int {
		if !isUrgent(r) {
			return 0
		}
		report := fromReport(r, now)
		out.Instances = append(out.Instances, report)
		return proto.Size(report)
	})
}

// isUrgent reports whether an instance may not be used any more.
func isUrgent(r registry.Report) bool { return r.Left || r.Silent || r.Leaving }

// addLoads adds the loads that the poller lacks, unless it does not know all engines yet.
func (p *publication) addLoads(since uint64, page *page, out *wire.FleetResponse) {
	if since == p.loads.log.Last() || out.Backlog > 0 {
		return
	}
	p.loads.addTo(since, page, out)
}

// readyForEntry reports whether there are changes for which only the polls of entries, and of control
// instances that relay to entries, are answered.
func (p *publication) readyForEntry(since cursors) bool {
	return since.stores.change < p.notified.stores.change || p.notified.storesUntil >= since.storesUntil+untilStep ||
		since.facts < p.notified.facts || since.loads < p.notified.loads
}
