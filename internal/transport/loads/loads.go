// Package loads polls engines for their queue lengths and memory use while this replica leads the
// control log, and publishes the results to entries.
//
// Without them, entries balance by their own requests only. With many entries, each sends a request
// to a given engine only now and then: a queue of two seconds at an engine consists of requests of
// different entries, and none of these entries can see it.
package loads

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// pollInterval is how often an engine is polled: the prefill of a long prompt takes 0.2 to
	// 0.3 s, and the prompt then holds its memory for about 2 s.
	pollInterval = 200 * time.Millisecond
	// maxPollsPerSecond limits the polls of all engines together, so that the interval grows with
	// the number of engines: one poll takes about 0.1 ms of a control instance's CPU time. With 150,
	// 163 engines were polled every 1.1 s, and 74% of the long prompts of a replayed burst met their
	// deadline; with 500, every 0.33 s, and 88% (TestLargeFleetNeedsFreshLoads in package balance).
	maxPollsPerSecond = 500
	// maxBatch is how many engines are polled in a burst.
	maxBatch = maxPollsPerSecond * int(pollInterval/time.Millisecond) / 1000
	// maxConcurrentPolls limits the polls in flight. If a quarter of 163 engines stop responding at
	// the same time, a single round waits for all of them at once.
	maxConcurrentPolls = 64
	// pollTimeout bounds the poll of an engine that responded before. TCP retransmits a
	// lost packet after 0.2 s, and all entries keep sending to an engine that stopped responding
	// until a round has completed without it.
	pollTimeout = 400 * time.Millisecond
	// unresponsiveInterval is how often an unresponsive engine is polled, and maxUnresponsivePolls
	// how many of them in one round: a poll of an unresponsive engine takes a second to time out.
	unresponsiveInterval = time.Second
	maxUnresponsivePolls = 16
	// recoveryTimeout is how long after the last engine has responded again the loads of under half of them are published after all.
	// Each unresponsive engine is due within it, unless there are very many.
	recoveryTimeout = unresponsiveInterval + pollInterval
	// followerInterval is the interval between checks for leadership while another replica leads.
	followerInterval = 250 * time.Millisecond
)

// Engines is the client for engines.
type Engines interface {
	// Usage returns the number of requests that wait at an engine and how much of its memory is
	// in use. interval is the time until the next call for this engine. The error is a
	// registry.RestartedError when the engine has restarted since.
	Usage(ctx context.Context, in registry.Instance, interval time.Duration) (balance.EngineLoad, error)
}

// Decider decides by the loads while this replica leads.
type Decider interface {
	// RecordLoad records the load that an engine reported, and when the report arrived.
	RecordLoad(of registry.Incarnation, load balance.EngineLoad, at time.Time)
	// RecordUnresponsive records that an engine did not respond.
	RecordUnresponsive(of registry.Incarnation)
}

// Poller polls the engines. Set the exported fields, then call Run.
type Poller struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this replica leads in it.
	Leading func() (term uint64, ok bool)
	Engines Engines
	// Source publishes the loads to entries.
	Source *fleet.Source
	// Decider, if set, receives each load as it arrives, before it is published.
	Decider Decider
	// Log receives one line per event.
	Log *log.Logger

	// polls are the polls in flight. No round waits for those of unresponsive engines.
	polls sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.

	// loads holds the load of each engine that responded to its last poll.
	loads map[registry.Incarnation]balance.EngineLoad
	// unresponsive holds when each unresponsive engine was last polled.
	unresponsive map[registry.Incarnation]time.Time

	// recoveries holds the recovery of the engines of each service. It is used by the goroutine of Run alone.
	recoveries map[string]*recovery
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.polls.Wait()
	// Entries prefer engines whose load is known. If the loads of a few engines were published first, all
	// entries would send to these.
	complete := false
	for ctx.Err() == nil {
		if !p.leads() {
			complete = false
			p.Source.PublishLoads(nil, 0)
			pause(ctx, followerInterval)
			continue
		}
		complete = p.pollRound(ctx, complete)
	}
}

func (p *Poller) leads() bool {
	_, ok := p.Leading()
	return ok
}

// pollRound polls all engines once, in batches that are spread over the polling interval, so that the
// number of connections in use does not grow with the number of engines. It publishes the loads at the
// end and, if publishBatches is set, after each batch. It reports whether it has published them.
func (p *Poller) pollRound(ctx context.Context, publishBatches bool) (published bool) {
	engines := enginesOf(p.View())
	responsive, due := p.partition(engines, clock.Now())
	p.updateRecoveries(engines, responsive, clock.Now())
	for _, in := range due {
		// If it responds, it is recorded as responsive, and the next round polls it with the others.
		p.polls.Go(func() { _, _ = p.usage(ctx, in, unresponsiveInterval) })
	}
	interval := max(pollInterval, time.Duration(len(responsive))*time.Second/maxPollsPerSecond)
	batches := max(1, (len(responsive)+maxBatch-1)/maxBatch)
	slots := make(chan struct{}, maxConcurrentPolls)
	for n := range batches {
		began := clock.Now()
		batch := responsive[n*len(responsive)/batches : (n+1)*len(responsive)/batches]
		next := began.Add(interval / time.Duration(batches))
		p.pollBatch(ctx, batch, slots, interval, next)
		if !p.leads() {
			return false
		}
		if publishBatches || n == batches-1 {
			published = p.publish(engines, interval)
		}
		pause(ctx, clock.Until(next))
	}
	return published
}

// pollBatch polls some engines and waits for them, but not beyond the given time.
func (p *Poller) pollBatch(ctx context.Context, batch []registry.Instance, slots chan struct{}, interval time.Duration, until time.Time) {
	var wg sync.WaitGroup
	for _, in := range batch {
		slots <- struct{}{}
		wg.Add(1)
		p.polls.Go(func() {
			defer func() { <-slots }()
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			load, err := p.usage(ctx, in, interval)
			p.informDecider(in, load, err)
			p.recordLoad(in, load, err)
		})
	}
	responded := make(chan struct{})
	go func() {
		wg.Wait()
		close(responded)
	}()
	select {
	case <-responded:
	case <-time.After(clock.Until(until)):
	case <-ctx.Done():
	}
}

// updateRecoveries records how many engines of each service are responsive before a round.
func (p *Poller) updateRecoveries(engines, responsive []registry.Instance, now time.Time) {
	counts := countByService(responsive)
	updated := map[string]*recovery{}
	for service, total := range countByService(engines) {
		r := p.recoveries[service]
		if r == nil {
			r = &recovery{}
		}
		r.update(counts[service], total, now)
		updated[service] = r
	}
	p.recoveries = updated
}

// publish publishes the loads that are known, but for those of services whose engines recover from a silence. It reports whether
// there is no such service.
func (p *Poller) publish(engines []registry.Instance, interval time.Duration) (complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isKnown := func(in registry.Instance) bool {
		_, ok := p.loads[in.Incarnation()]
		return ok
	}
	known := countByService(slices.DeleteFunc(slices.Clone(engines), func(in registry.Instance) bool { return !isKnown(in) }))
	withheld := map[string]bool{}
	for service, total := range countByService(engines) {
		if r := p.recoveries[service]; r != nil && r.withholds(known[service], total) {
			withheld[service] = true
		}
	}
	loads := maps.Clone(p.loads)
	for _, in := range engines {
		if withheld[in.Service] {
			delete(loads, in.Incarnation())
		}
	}
	p.Source.PublishLoads(loads, interval)
	return len(withheld) == 0
}

// countByService counts instances by their services.
func countByService(instances []registry.Instance) map[string]int {
	counts := map[string]int{}
	for _, in := range instances {
		counts[in.Service]++
	}
	return counts
}

// informDecider passes the result of one poll on.
func (p *Poller) informDecider(in registry.Instance, load balance.EngineLoad, err error) {
	switch {
	case p.Decider == nil:
	case err != nil:
		p.Decider.RecordUnresponsive(in.Incarnation())
	default:
		p.Decider.RecordLoad(in.Incarnation(), load, clock.Now())
	}
}

// recordLoad records the result of one poll.
func (p *Poller) recordLoad(in registry.Instance, load balance.EngineLoad, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(p.loads, in.Incarnation())
		return
	}
	if p.loads == nil {
		p.loads = map[registry.Incarnation]balance.EngineLoad{}
	}
	p.loads[in.Incarnation()] = load
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// enginesOf returns all engines in a view.
func enginesOf(view *fleet.View) []registry.Instance {
	var out []registry.Instance
	if view.Config == nil {
		return nil
	}
	for name, service := range view.Config.Services {
		if service.Engine != nil {
			out = append(out, view.Instances[name]...)
		}
	}
	return out
}

// usage polls one engine and records whether it responds.
func (p *Poller) usage(ctx context.Context, in registry.Instance, interval time.Duration) (balance.EngineLoad, error) {
	load, err := p.Engines.Usage(ctx, in, interval)
	var again *registry.RestartedError
	if errors.As(err, &again) {
		p.Source.RecordRestart(again)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(in, err)
	return load, err
}

// partition returns the responsive engines and those unresponsive ones that are due to be polled
// again. It drops the state of engines that are gone, and the loads of the unresponsive.
func (p *Poller) partition(engines []registry.Instance, now time.Time) (responsive, due []registry.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unresponsive := make(map[registry.Incarnation]time.Time, len(p.unresponsive))
	loads := make(map[registry.Incarnation]balance.EngineLoad, len(engines))
	for _, in := range engines {
		at, isUnresponsive := p.unresponsive[in.Incarnation()]
		if !isUnresponsive {
			responsive = append(responsive, in)
			if load, ok := p.loads[in.Incarnation()]; ok {
				loads[in.Incarnation()] = load
			}
			continue
		}
		if now.Sub(at) >= unresponsiveInterval && len(due) < maxUnresponsivePolls {
			at = now
			due = append(due, in)
		}
		unresponsive[in.Incarnation()] = at
	}
	p.unresponsive = unresponsive
	p.loads = loads
	return responsive, due
}

// record updates whether an engine is responsive, and logs each change. mu must be held.
func (p *Poller) record(in registry.Instance, err error) {
	if p.unresponsive == nil {
		p.unresponsive = map[registry.Incarnation]time.Time{}
	}
	_, unresponsive := p.unresponsive[in.Incarnation()]
	if (err != nil) == unresponsive {
		return
	}
	if err != nil {
		p.unresponsive[in.Incarnation()] = clock.Now()
		p.Log.Info().Str("event", "engine_not_heard").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("address", in.Address).Str("error", err.Error()).Msg("")
		return
	}
	delete(p.unresponsive, in.Incarnation())
	p.Log.Info().Str("event", "engine_heard").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("address", in.Address).Msg("")
}
