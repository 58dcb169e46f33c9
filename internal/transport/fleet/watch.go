package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

const (
	// pollWait is how long a source may hold a poll. Two polls fit into the 3 s after which a
	// healed network partition must have no effect any more.
	pollWait = time.Second
	// pollTimeout limits a call to a source that is cut off or frozen.
	pollTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// retryWait is the maximum pause after a failed poll. The first pause after an answer is
	// firstRetryWait, so that processes that start together find each other at once.
	retryWait      = 200 * time.Millisecond
	firstRetryWait = 20 * time.Millisecond
	// behindAnswers is the number of successive incomplete answers after which a follower logs that
	// it is catching up: with fewer, it has caught up within 0.1 s on a link of 10 Mbit/s.
	behindAnswers = 3
)

// sourceState is what a Follower knows of one control instance.
type sourceState struct {
	cancel context.CancelFunc
	epoch  uint64
	// recordedVersions is what the source sent last; nil if it sends none.
	recordedVersions RecordedVersions
	// change and backlog are the cursor for instances; stores.change and stores.backlog are the
	// cursor for stores.
	change, backlog uint64
	// resyncing is true from a restart of the source until it has sent all instances again.
	resyncing bool
	// cursorReset is true from a reset of the cursor for instances, or a change of the role, until the
	// next poll is sent. An answer to an earlier poll leaves out what had not changed, and is ignored.
	cursorReset bool
	// partialAnswers is the number of successive incomplete answers, and behindSince when the first
	// of them came.
	partialAnswers int
	behindSince    time.Time
	// answeredAt is when the source last answered, and reachable whether it answered the last poll.
	answeredAt time.Time
	// asOf is until when all that the source knew is known here, or zero.
	asOf      time.Time
	reachable bool
	// standby is true while another source is the primary.
	standby bool
	// polled is true once a poll was answered or has failed, and relayed if the last answer held what
	// all sources learned. leaderlessSince is since when the source has known no leader, or zero.
	polled, relayed bool
	leaderlessSince time.Time
	// leader is the address of the leader that the source knows, or empty, and leaderSince when the source
	// first named it.
	leader      string
	leaderSince time.Time
	// polledAt is when the last poll was sent, and lastFailedPoll when the last poll was sent that
	// failed or was answered without a known leader.
	polledAt, lastFailedPoll time.Time
	// control holds the addresses of the control instances that the source knows, and controlChange
	// the cursor for them.
	control       []string
	controlChange uint64
	// entries is the number of entries that poll any source, and rank this entry's rank among them.
	entries, rank int
	// entryPeers holds the entries that poll the source, by name, and entriesChange the cursor for them.
	entryPeers    map[string]entryPeer
	entriesChange uint64
	// peers holds this entry's peers by the source's last sample, and peersChange the cursor for them.
	peers       []entryPeer
	peersChange uint64
	stores      storesState
	// configVersion is the newest configuration version that the source announced.
	configVersion uint64
	// avoidUntil is the time until which the source is tried last for the configuration, because a
	// request to it failed.
	avoidUntil time.Time
	loads      loadsState
	// factsChange is the cursor for facts, and receiver tracks which facts the source knows.
	factsChange uint64
	receiver    *ends.ReceiverState
	// sendingFacts and sendingFailures are true while a report of ends or of failures is being sent
	// to the source. A source that is slow to answer would otherwise get more and more connections,
	// which would make it slower still.
	sendingFacts, sendingFailures bool
	// busy holds the instances that are loading weights on order of the source's process, or are
	// next to do so.
	busy []registry.Incarnation
	// failing holds the instances that the source judges to fail by the reports of entries.
	failing []registry.Incarnation
	// unreachableDomains holds the failure domains that the source can't reach, at least since
	// unreachableSince.
	unreachableDomains []string
	unreachableSince   time.Time
}

// watch polls one source until ctx ends.
func (f *Follower) watch(ctx context.Context, address string) {
	client := wire.NewFleetProtobufClient("http://"+address, f.client)
	wait := firstRetryWait
	for ctx.Err() == nil {
		out, err := client.Watch(ctx, f.request(address))
		if err == nil {
			f.apply(address, out)
			wait = firstRetryWait
			continue
		}
		f.markUnreachable(address, err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		wait = min(2*wait, retryWait)
	}
}

func (f *Follower) request(address string) *wire.FleetRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := &wire.FleetRequest{
		Name: f.Name, Entry: f.Entry, Weights: fromWeights(newestVersions(f.weightHistories)), WaitMilliseconds: uint32(f.pollWait(address).Milliseconds()),
		ConfigVersion: f.newestVersion(), Paged: true, Evacuations: f.evacuations.Revision(), Relayed: f.Relay == nil, Relays: f.Relay != nil,
	}
	if s := f.sources[address]; s != nil {
		s.polledAt = clock.Now()
		s.cursorReset = false
		in.Epoch = s.epoch
		in.Change = s.change
		in.Backlog = s.backlog
		in.StoreBacklog = s.stores.backlog
		in.StoreChange = s.stores.change
		in.StoresUntil = s.stores.until.Milliseconds()
		in.ControlChange = s.controlChange
		in.Busy = fromIncarnations(s.busy)
		in.Failing = fromIncarnations(s.failing)
		in.UnreachableDomains = s.unreachableDomains
		in.LoadsChange = s.loads.change
		in.FactsChange = s.factsChange
		in.EntriesChange = s.entriesChange
		in.Standby = s.standby
		in.PeersChange = s.peersChange
	}
	if f.Relay != nil {
		in.FailureDomain = f.FailureDomain
	}
	if f.Entry && f.PeerAddress != "" {
		f.updatePathLost()
		in.PeerAddress, in.FailureDomain, in.PathLost, in.PathChangedAt = f.PeerAddress, f.FailureDomain, f.pathLost, f.pathChangedAt
	}
	return in
}

// updatePathLost records whether this entry has lost its path, and when that changed; mu must be held.
func (f *Follower) updatePathLost() {
	lost := f.PathLost()
	if f.pathChangedAt == 0 || lost != f.pathLost {
		f.pathLost, f.pathChangedAt = lost, max(f.pathChangedAt+1, clock.Now().UnixMilli())
	}
}

func (f *Follower) markUnreachable(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return
	}
	s.lastFailedPoll = s.polledAt
	if s.usable(clock.Now()) {
		f.requestRefresh()
	}
	s.polled = true
	if !s.reachable {
		return
	}
	s.reachable = false
	f.Log.Info().Str("event", "control_lost").Str("address", address).Str("error", err.Error()).Msg("")
}

// apply merges one answer into the view.
func (f *Follower) apply(address string, out *wire.FleetResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || s.cursorReset {
		return
	}
	now := clock.Now()
	if !s.reachable {
		f.Log.Info().Str("event", "control_reached").Str("address", address).Uint64("epoch", out.Epoch).Msg("")
	}
	if s.epoch != out.Epoch {
		f.merged.BeginResync(address)
		s.resyncing = true
		s.stores = storesState{}
		s.receiver.Reset()
	}
	caughtUp := s.backlog > 0 && out.Backlog == 0
	wasUsable, wasPolled := s.usable(now), s.polled
	controlChanged := s.apply(out, now)
	if controlChanged {
		f.recordDomains(out)
	}
	if controlChanged || !wasPolled || wasUsable != s.usable(now) {
		f.requestRefresh()
	}
	if out.Leaderless {
		s.lastFailedPoll = s.polledAt
	} else {
		f.contact = f.contact.withAnswer(s.lastFailedPoll, now)
	}
	f.logCatchUp(address, s, out, now)
	reports := make([]registry.Report, 0, len(out.Instances))
	for _, r := range out.Instances {
		reports = append(reports, toReport(r, address, now))
	}
	f.merged.Merge(address, reports, now)
	f.noteDepartures(address, now)
	if f.Relay != nil && address != f.Address {
		f.Relay.adoptDepartures(reports, address)
	}
	if s.resyncing && out.Backlog == 0 {
		s.resyncing = false
		f.merged.EndResync(address, now)
	}
	switch {
	case caughtUp:
		f.rebuildInstances()
	case len(reports) > 0:
		f.scheduleRebuild(now)
	}
	f.applyPeers(s, out)
	f.applyAnnouncements(address, out, now)
	f.applyEvacuations(address, out, now)
	f.applyFacts(address, s, out, now)
	f.relayAnswer(address, s, out, now)
	f.raiseSharedSince(out)
	f.startFetch()
	f.publish()
}

// applyPeers records this entry's peers. They stay known while no source answers. mu must be held.
func (f *Follower) applyPeers(s *sourceState, out *wire.FleetResponse) {
	if out.PeersChange == s.peersChange && len(out.Peers) == 0 {
		return
	}
	s.peersChange = out.PeersChange
	if !out.Relayed {
		return
	}
	s.peers = nil
	for _, p := range out.Peers {
		s.peers = append(s.peers, toEntryPeer(p))
	}
	f.peers = f.orderPeers(s.peers)
}

// orderPeers returns the peers of a source's sample, those with a path first. Another source may know more
// recently whether a peer has one; mu must be held.
func (f *Follower) orderPeers(sample []entryPeer) []detour.Peer {
	newest := map[string]entryPeer{}
	for _, s := range f.sources {
		for _, p := range s.peers {
			if known, ok := newest[p.Address]; !ok || p.newer(known) {
				newest[p.Address] = p
			}
		}
	}
	var open, lost []detour.Peer
	for _, p := range sample {
		if newest[p.Address].pathLost {
			lost = append(lost, p.Peer)
		} else {
			open = append(open, p.Peer)
		}
	}
	return append(open, lost...)
}

// requestRefresh makes Run refresh the list of sources at once. Each instance reports to any one of
// the sources, so an entry that starts with a few seeds knows only some of the instances.
func (f *Follower) requestRefresh() {
	select {
	case f.refreshRequested <- struct{}{}:
	default:
	}
}

// apply records what an answer says about its source, and the state that is kept per source. It
// reports whether the list of control instances has changed.
func (s *sourceState) apply(out *wire.FleetResponse, now time.Time) (controlChanged bool) {
	restarted := s.epoch != out.Epoch
	s.reachable = true
	s.polled = true
	s.relayed = out.Relayed
	switch {
	case !out.Leaderless:
		s.leaderlessSince = time.Time{}
	case s.leaderlessSince.IsZero():
		s.leaderlessSince = now
	}
	if out.Leader != s.leader {
		s.leader, s.leaderSince = out.Leader, now
	}
	s.answeredAt = now
	if restarted {
		s.asOf = time.Time{}
	}
	s.applyAge(out)
	s.epoch = out.Epoch
	s.change = out.Change
	s.backlog = out.Backlog
	if s.controlChange != out.ControlChange || len(out.Control) > 0 {
		controlChanged = !slices.Equal(s.control, out.Control)
		s.control = out.Control
	}
	s.controlChange = out.ControlChange
	s.loads.apply(out, restarted, now)
	s.factsChange = out.FactsChange
	if s.entriesChange != out.EntriesChange || restarted {
		s.entryPeers = toEntryPeers(out)
	}
	s.entriesChange = out.EntriesChange
	s.entries = int(out.Entries)
	s.rank = int(out.Rank)
	s.busy = toIncarnations(out.Busy)
	s.failing = toIncarnations(out.Failing)
	s.setUnreachable(out.UnreachableDomains, now)
	s.configVersion = out.ConfigVersion
	s.recordedVersions = toRecordedVersions(out)
	s.stores.apply(out, now)
	return controlChanged
}

// recordDomains records the failure domains of the control instances that an answer lists; mu must be
// held.
func (f *Follower) recordDomains(out *wire.FleetResponse) {
	for i, address := range out.Control {
		if i < len(out.ControlDomains) {
			f.domains[address] = out.ControlDomains[i]
		}
	}
}

// requestAllInstances resets the cursor for instances, so that the source sends all of them again.
func (s *sourceState) requestAllInstances() {
	if s.change > 0 {
		s.change, s.backlog = 0, 0
		s.cursorReset = true
	}
}

// logCatchUp logs when a source has more to send than fits into several answers, and when the
// follower has caught up; mu must be held.
func (f *Follower) logCatchUp(address string, s *sourceState, out *wire.FleetResponse, now time.Time) {
	if out.More {
		if s.partialAnswers == 0 {
			s.behindSince = now
		}
		s.partialAnswers++
		if s.partialAnswers == behindAnswers {
			f.Log.Info().Str("event", "catching_up").Str("address", address).Uint64("change", out.Change).Uint64("backlog", out.Backlog).Uint64("store_change", out.StoreChange).Uint64("store_backlog", out.StoreBacklog).Msg("")
		}
		return
	}
	if s.partialAnswers >= behindAnswers {
		f.Log.Info().Str("event", "caught_up").Str("address", address).Int("answers", s.partialAnswers+1).Int64("took_ms", now.Sub(s.behindSince).Milliseconds()).Msg("")
	}
	s.partialAnswers = 0
}
