// Package fleet distributes the state that entries need to serve requests: the live instances, the
// configuration and the weight versions in force, and the addresses of the control instances.
//
// Each control instance has a Source, which publishes the heartbeats that it received from
// instances and the log entries that it has applied. Each control instance also has a Follower, which
// polls all sources, merges their answers into one View, and relays them through the own Source. The
// Follower of an entry therefore polls only a few sources (see targetSources). An instance's
// announcement that it leaves reaches the entries without passing through a leader, by one relay.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

const (
	// silentHeartbeats is the number of missing heartbeats after which an instance counts as
	// silent: a heartbeat may be some seconds late.
	silentHeartbeats = 4
	// sweepInterval is how often the source checks for silent instances.
	sweepInterval = 500 * time.Millisecond
	// staleOrderWindow is how long after a pause of this process orders that were sent before the
	// pause may still be received.
	staleOrderWindow = time.Second
	// notifyInterval is the minimum time between two notifications of polls; changes in between are
	// batched. In a large fleet, instances report hundreds of times per second after a power loss,
	// and each notification is an answer to each entry. Entries learn of a stored part later by as
	// much, of the 2 s for which it is announced.
	notifyInterval = 200 * time.Millisecond
	// intervalPerPoller bounds the answers of a source that contain no urgent change, such as a new
	// instance, to 100 a second: when a large fleet starts, hundreds of instances report each second.
	intervalPerPoller = 10 * time.Millisecond
	// maxRoutineInterval keeps the contents of stores usable, which expire within seconds.
	maxRoutineInterval = 500 * time.Millisecond
)

// Source is the state that one control instance publishes. Use NewSource to make one, and set the exported fields
// before its use. It is safe for concurrent use.
type Source struct {
	// Name identifies this control instance, and FailureDomain is where it runs.
	Name, FailureDomain string
	// Copies is on how many other control instances a departure must be held before it is acknowledged; fewer suffice
	// if there are not as many.
	Copies int
	// Metrics may be nil.
	Metrics *Metrics

	heartbeat time.Duration
	log       *log.Logger
	// configText holds the configuration's text in pieces, as it is sent to entries.
	configText configRepository

	mu sync.Mutex
	// The fields below are guarded by mu.
	registry  registry.Registry
	installed ledger.Installed
	// own holds what this control instance learned since it started, and relayed what all control
	// instances learned; relayed is nil unless a Follower relays through this Source. table holds the
	// instances of relayed, and storeOrigins the source from which each of its stores was taken.
	own, relayed *publication
	table        registry.Table
	storeOrigins map[string]string
	// control holds the control instances, and controlChange numbers its changes.
	control       []ControlInstance
	controlChange uint64
	// leaderless is true while this control instance knows no leader, and leader is the leader's peer
	// address, or empty. Both are this control instance's own knowledge, in all answers: they are never
	// relayed.
	leaderless bool
	leader     string
	// suspects holds the failed requests that entries reported, and failing the instances that are
	// judged to fail on that basis.
	suspects *suspects.Detector
	failing  []registry.Incarnation
	// unreachable holds the failure domains that this control instance can't reach, in order.
	unreachable []string
	// forward holds the failures to be passed on to the other control instances, and forwardPending
	// a token while there are any.
	forward        []suspects.Failures
	forwardPending chan struct{}
	// entries holds the entries that polled lately.
	entries entryTable
	// relayedAsOf is until when relayed holds all that the other control instances learned, or zero if that is not known.
	relayedAsOf time.Time
	// relayPollers holds the other control instances that polled lately, by name.
	relayPollers map[string]relayPoller
	// confirming is closed when relayPollers or persistedChange change; it is nil while nothing waits for that.
	confirming chan struct{}
	// persistedChange is the newest change of registry that is in the file, or nil if no file is written.
	// persistRequested holds a token if the file is to be written at once.
	persistedChange  *uint64
	persistRequested chan struct{}
	// departuresScheduled is true while a notification about departures is scheduled.
	departuresScheduled bool
	// restoredEntries is the number of entries before this process restarted, as restored at
	// restoredAt. It keeps the shares of the fleet-wide limits correct until the entries have
	// polled again.
	restoredEntries int
	restoredAt      time.Time
	// configRequests counts the requests for the configuration since the last log line about them:
	// all entries send one when the whole fleet starts.
	configRequests int
	// recordedVersions holds the software versions of services that the control log holds; nil until it was applied.
	recordedVersions map[string][]string
	// evacuations holds those applied from the log, each with the time since when this control
	// instance has known it. evacuationRevision is the newest of their revisions.
	evacuations        []appliedEvacuation
	evacuationRevision uint64
	// sweptAt is the time of the last sweep. pausedAt is the time of the last sweep that was late
	// because this process had been suspended or frozen.
	sweptAt, pausedAt time.Time
}

// ControlInstance is the address of a control instance and the failure domain that it is in.
type ControlInstance struct{ Address, FailureDomain string }

// NewSource also starts the periodic sweeps and notifications, which end with ctx. heartbeat is the
// interval at which instances report.
func NewSource(ctx context.Context, heartbeat time.Duration, logger *log.Logger) *Source {
	s := &Source{
		heartbeat: heartbeat, log: logger, registry: registry.Registry{SilentAfter: silentHeartbeats * heartbeat},
		sweptAt: clock.Now(), suspects: suspects.New(), forwardPending: make(chan struct{}, 1),
		persistRequested: make(chan struct{}, 1),
	}
	s.own = newPublication(&s.registry)
	go func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		notifyTicker := time.NewTicker(notifyInterval)
		defer notifyTicker.Stop()
		for {
			select {
			case <-ticker.C:
				s.sweep(clock.Now())
			case <-notifyTicker.C:
				s.notifyPending()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// RecordHeartbeat records an instance's heartbeat.
func (s *Source) RecordHeartbeat(in registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.RecordHeartbeat(in, clock.Now()) {
		return
	}
	if in.Leaving {
		s.publishDeparture()
	} else {
		s.own.notify(true)
	}
	s.log.Info().Str("event", "instance_reported").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).Str("address", in.Address).Str("software", in.SoftwareVersion).Bool("leaving", in.Leaving).Uint64("sequence", in.Sequence).Msg("")
}

// RecordDeparture records that an incarnation has left. Without a start, it applies to all
// incarnations of the id so far. It must not be acknowledged before ConfirmDeparture has returned.
func (s *Source) RecordDeparture(in registry.Incarnation) {
	s.recordEnd(in, "instance_left")
}

// RecordRestart records the end of an incarnation that was detected because the next incarnation of
// its id answered in its place. The next one becomes known when it reports itself.
func (s *Source) RecordRestart(err *registry.RestartedError) {
	if err.Expected.Start != 0 && err.ActualStart > err.Expected.Start {
		s.recordEnd(err.Expected, "instance_started_again")
	}
}

func (s *Source) recordEnd(in registry.Incarnation, event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Start == 0 {
		in.Start = s.startOf(in.ID)
	}
	s.registry.Leave(in, clock.Now())
	s.publishDeparture()
	s.log.Info().Str("event", event).Str("instance", in.ID).Int64("start", int64(in.Start)).Msg("")
}

// Publish sets the state of the log as applied by this control instance. newest is the newest
// weight version of each model.
func (s *Source) Publish(installed ledger.Installed, newest map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installed = installed
	now := clock.Now()
	for model, version := range newest {
		if version > s.own.weightHistories[model].Newest() {
			s.own.weightHistories[model] = s.own.weightHistories[model].Announce(weights.Announcement{Version: version, At: now})
		}
	}
	s.notifyNow()
}

// RequireWeights sets the minimum weight version of each model for new requests. Entries determine
// the end of the grace period by themselves, so this does not answer polls; it is sent with the
// next answer.
func (s *Source) RequireWeights(due map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, version := range due {
		s.own.weightHistories[model] = s.own.weightHistories[model].Enforce(version)
	}
}

// PublishLeader sets whether this control instance knows a leader of the control log, and the leader's
// peer address, which is empty if it is not known. A change does not answer polls: while there are engines,
// the leader's loads do so several times a second.
func (s *Source) PublishLeader(known bool, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderless = !known
	s.leader = address
}

// PublishControl sets the control instances.
func (s *Source) PublishControl(instances []ControlInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.control, instances) {
		return
	}
	s.control = instances
	s.controlChange++
	s.notifyNow()
}

// RecordWeights records the weights that an engine reported when asked, ahead of its next
// heartbeat: until entries know of them, they request a version that the engine no longer has.
func (s *Source) RecordWeights(in registry.Instance, model string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.RecordQueriedWeights(in, model, version, clock.Now()) {
		return
	}
	s.own.notify(true)
	s.log.Info().Str("event", "weights_loaded").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("model", model).Uint64("version", version).Msg("")
}

// PublishBusy sets the instances that requests should avoid because they are loading weights, or
// are next to do so.
func (s *Source) PublishBusy(instances []registry.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.own.busy, instances) {
		return
	}
	s.own.busy = instances
	s.own.notifyNow()
}

// PublishLoads sets the load of each engine that answered, and the interval at which engines are
// polled; nil means that no loads are known. Entries receive loads with the next batch of changes.
func (s *Source) PublishLoads(loads map[registry.Incarnation]balance.EngineLoad, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.pending = s.own.loads.publish(loads, clock.Now(), interval) || s.own.pending
}

// notifyPending answers polls if there are changes since the last notification.
func (s *Source) notifyPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updateFailing(clock.Now()) {
		s.notifyNow()
		return
	}
	for _, p := range s.publications() {
		p.notifyPending(notifyInterval)
	}
}

// publications returns the publications in use; mu must be held.
func (s *Source) publications() []*publication {
	if s.relayed == nil {
		return []*publication{s.own}
	}
	return []*publication{s.own, s.relayed}
}

// Control returns the known addresses of the control instances.
func (s *Source) Control() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, c := range s.control {
		out = append(out, c.Address)
	}
	return out
}

func (s *Source) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discountPause(now)
	s.logConfigRequests()
	silent := s.registry.Sweep(now)
	s.entries.expire(now)
	if s.relayed != nil {
		s.relayed.routineInterval = min(time.Duration(s.entries.fullPollers())*intervalPerPoller, maxRoutineInterval)
	}
	for _, p := range s.publications() {
		p.facts.Sweep(s.countEntries(), now)
	}
	if len(silent) > 0 {
		s.own.notify(true)
	}
	for _, in := range silent {
		s.log.Info().Str("event", "instance_silent").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).Str("address", in.Address).Msg("")
	}
}

// discountPause excludes the time for which this process was suspended or frozen from the silence
// of instances and entries. Otherwise, when it resumed, all instances would seem silent and no
// entry would be counted for the division of the retry allowance. mu must be held.
func (s *Source) discountPause(now time.Time) {
	missed := now.Sub(s.sweptAt) - sweepInterval
	if missed >= sweepInterval {
		s.pausedAt = now
		s.registry.DiscountPause(missed, now)
		s.entries.discountPause(missed, now)
		s.log.Info().Str("event", "silence_excused").Dur("missed_ms", missed).Msg("")
	}
	s.sweptAt = now
}

// Awake reports whether this process has not been suspended or frozen for the last second or so.
func (s *Source) Awake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	return now.Sub(s.sweptAt) < 2*sweepInterval && now.Sub(s.pausedAt) > staleOrderWindow
}

// notifyNow answers all polls; mu must be held.
func (s *Source) notifyNow() {
	for _, p := range s.publications() {
		p.notifyNow()
	}
}
