// Package fleet spreads what entries need to know to serve: which instances live, which
// configuration and weight versions hold, and where the control instances are.
//
// Each control instance has a Source, which tells what it heard from instances itself
// and what it applied of the log. Each entry has a Follower, which watches all sources
// and joins what they tell into one View. No leader and no second hop lies between an
// instance that says that it leaves and the entries that must stop sending to it.
package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

const (
	// silentBeats is after how many missing heartbeats an instance counts as gone: a
	// heartbeat may come some seconds late.
	silentBeats = 4
	// sweepInterval is how often silent instances are looked for.
	sweepInterval = 500 * time.Millisecond
	// awakeAfter is for how long after it stood still a process may find old orders that were sent to
	// it before.
	awakeAfter = time.Second
	// newsInterval is how much time lies at least between two tellings of news, which joins what
	// changes meanwhile: in a large fleet instances report hundreds of times a second after a loss
	// of power, and each telling is an answer to each entry. A part is known so much later, of the
	// 2 s for which it is named.
	newsInterval = 200 * time.Millisecond
)

// Source is what one control instance tells. Make one with NewSource. It is safe for
// concurrent use.
type Source struct {
	epoch     uint64
	heartbeat time.Duration
	log       *log.Logger
	// text holds the configuration's text as it is given to entries.
	text textLibrary

	mu sync.Mutex
	// The fields below are guarded by mu.
	registry  registry.Registry
	installed ledger.Installed
	// named holds when versions of weights were named, as far as this control instance has
	// been running since.
	named map[string]weights.History
	// control holds the addresses of the control instances, and controlChange numbers its
	// changes.
	control       []string
	controlChange uint64
	// stores holds what stores keep while this control instance leads.
	stores storesFeed
	// leaderless is true while this control instance knows no leader.
	leaderless bool
	// busy names the instances that load weights, or will next.
	busy []registry.Incarnation
	// loads holds what engines told of their load, while this control instance leads.
	loads loadsFeed
	// facts holds what entries told of ends of instances, which are passed on to all others.
	facts *quarantine.FactSet
	// suspects holds what entries told of requests that failed, and failing the instances that fail
	// by that.
	suspects *suspects.Detector
	failing  []registry.Incarnation
	// news is true while something has changed since the last telling, which was at toldAt and up
	// to told: whoever knows that much waits for the next one.
	news   bool
	toldAt time.Time
	told   marks
	// entries holds what each entry said lately.
	entries map[string]watcher
	// recalledEntries is how many entries there were in an earlier life, which was taken up at
	// recalledAt: they share what all may send together also before they have asked again.
	recalledEntries int
	recalledAt      time.Time
	// given counts the questions for the configuration since it was last logged: all entries ask
	// as all start.
	given int
	// evacuations are those applied of the log, each with since when this control instance has
	// known it, and evacuated is the newest of their revisions.
	evacuations []evacuated
	evacuated   uint64
	// swept is when silent instances were last looked for, and stood when that came late because this
	// process had stood still.
	swept, stood time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewSource starts the watch for silent instances, which ends with ctx; heartbeat is how
// often instances report.
func NewSource(ctx context.Context, heartbeat time.Duration, logger *log.Logger) *Source {
	s := &Source{
		epoch: rand.Uint64() | 1, heartbeat: heartbeat, log: logger, named: map[string]weights.History{},
		registry: registry.Registry{SilentAfter: silentBeats * heartbeat},
		entries:  map[string]watcher{}, changed: make(chan struct{}), facts: quarantine.New(0), swept: clock.Now(), suspects: suspects.New(),
	}
	go func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		news := time.NewTicker(newsInterval)
		defer news.Stop()
		for {
			select {
			case <-ticker.C:
				s.sweep(clock.Now())
			case <-news.C:
				s.tellNews()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// RecordHeartbeat takes an instance's heartbeat.
func (s *Source) RecordHeartbeat(in registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.RecordHeartbeat(in, clock.Now()) {
		return
	}
	s.tell()
	s.log.Info().Str("event", "instance_reported").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).Str("address", in.Address).Bool("leaving", in.Leaving).Uint64("sequence", in.Sequence).Msg("")
}

// RecordDeparture takes the end of an incarnation, or without a start that of all before.
func (s *Source) RecordDeparture(in registry.Incarnation) {
	s.end(in, "instance_left")
}

// RecordRestart takes the end of an incarnation that showed when the next one of its id answered
// in its place. The next one is known once it reports itself.
func (s *Source) RecordRestart(err *registry.RestartedError) {
	if err.Expected.Start != 0 && err.ActualStart > err.Expected.Start {
		s.end(err.Expected, "instance_started_again")
	}
}

func (s *Source) end(in registry.Incarnation, event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Leave(in, clock.Now())
	s.tell()
	s.log.Info().Str("event", event).Str("instance", in.ID).Int64("start", int64(in.Start)).Msg("")
}

// Publish sets what the log holds, as far as this control instance applied it.
// newest is the newest version of each model's weights.
func (s *Source) Publish(installed ledger.Installed, newest map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installed = installed
	now := clock.Now()
	for model, version := range newest {
		if version > s.named[model].Newest() {
			s.named[model] = s.named[model].Announce(weights.Announcement{Version: version, At: now})
		}
	}
	s.wake()
}

// RequireWeights sets the version of each model before which no request may begin any more. Entries
// find out by themselves when its time is over, so they are told with the next news.
func (s *Source) RequireWeights(due map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, version := range due {
		s.named[model] = s.named[model].Enforce(version)
	}
}

// PublishLeader sets whether a leader of the control log is known here.
func (s *Source) PublishLeader(known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderless = !known
}

// PublishControl sets the addresses of the control instances.
func (s *Source) PublishControl(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.control, addresses) {
		return
	}
	s.control = addresses
	s.controlChange++
	s.wake()
}

// RecordWeights takes what an engine itself said of its weights, before its next heartbeat does:
// until entries know of it, they ask the engine for a version that it no longer has.
func (s *Source) RecordWeights(in registry.Instance, model string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.RecordQueriedWeights(in, model, version, clock.Now()) {
		return
	}
	s.tell()
	s.log.Info().Str("event", "weights_loaded").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("model", model).Uint64("version", version).Msg("")
}

// PublishBusy names the instances that requests had better avoid, because they load
// weights or will next.
func (s *Source) PublishBusy(instances []registry.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.busy, instances) {
		return
	}
	s.busy = instances
	s.wake()
}

// PublishLoads sets the load of each engine that answered, and how often engines are asked; nil
// says that nothing is known. Entries are told with the next news of stores.
func (s *Source) PublishLoads(loads map[registry.Incarnation]balance.EngineLoad, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news = s.loads.publish(loads, interval) || s.news
}

// tell tells of a change at once, or with others newsInterval after the last telling; mu must be
// held.
func (s *Source) tell() {
	if clock.Since(s.toldAt) >= newsInterval {
		s.wake()
		return
	}
	s.news = true
}

// tellNews tells of what has changed since the last telling.
func (s *Source) tellNews() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.judge(clock.Now()) || s.news {
		s.wake()
	}
}

// Control returns the addresses of the control instances, as far as they are known.
func (s *Source) Control() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

func (s *Source) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excuse(now)
	s.noteGiven()
	silent := s.registry.Sweep(now)
	s.facts.Sweep(s.countEntries(), now)
	if len(silent) > 0 {
		s.tell()
	}
	for _, in := range silent {
		s.log.Info().Str("event", "instance_silent").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("service", in.Service).Str("address", in.Address).Msg("")
	}
}

// excuse counts for nobody's silence what this process missed, suspended or frozen: on waking it
// would take all instances for silent, and have no entry share the allowance of retries. mu must
// be held.
func (s *Source) excuse(now time.Time) {
	missed := now.Sub(s.swept) - sweepInterval
	if missed >= sweepInterval {
		s.stood = now
		s.registry.DiscountPause(missed, now)
		for name, w := range s.entries {
			w.at = w.at.Add(min(missed, now.Sub(w.at)))
			s.entries[name] = w
		}
		s.log.Info().Str("event", "silence_excused").Dur("missed_ms", missed).Msg("")
	}
	s.swept = now
}

// Awake reports whether this process has run without standing still for about a second.
func (s *Source) Awake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	return now.Sub(s.swept) < 2*sweepInterval && now.Sub(s.stood) > awakeAfter
}

// wake answers all polls; mu must be held.
func (s *Source) wake() {
	s.news = false
	s.toldAt = clock.Now()
	s.told = marks{
		instances: progress{change: s.registry.Change()}, stores: progress{change: s.stores.log.Last()}, storesUntil: s.stores.newest,
		loads: s.loads.change, facts: s.facts.Change(),
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
