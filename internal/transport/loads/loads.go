// Package loads polls engines for their queue lengths and memory use while this replica leads the
// control log, and publishes the results to entries.
//
// Without them, entries balance by their own requests only. With many entries, each sends a request
// to a given engine only now and then: a queue of two seconds at an engine consists of requests of
// different entries, and none of these entries can see it.
package loads

import (
	"context"
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
	// maxConcurrentPolls limits the polls in flight. If a quarter of 163 engines stop responding at
	// the same time, a single round waits for all of them at once.
	maxConcurrentPolls = 64
	// pollTimeout is how long a round waits for an engine that responded before. TCP retransmits a
	// lost packet after 0.2 s, and all entries keep sending to an engine that stopped responding
	// until a round has completed without it.
	pollTimeout = 400 * time.Millisecond
	// unresponsiveInterval is how often an unresponsive engine is polled, and maxUnresponsivePolls
	// how many of them in one round: a poll of an unresponsive engine takes a second to time out.
	unresponsiveInterval = time.Second
	maxUnresponsivePolls = 16
	// followerInterval is the interval between checks for leadership while another replica leads.
	followerInterval = 250 * time.Millisecond
)

// Engines is the client for engines.
type Engines interface {
	// Usage returns the number of requests that wait at an engine and how much of its memory is
	// in use. The error is a registry.RestartedError when the engine has restarted since.
	Usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error)
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
	// Log receives one line per event.
	Log *log.Logger

	// probes are the polls of unresponsive engines, for which no round waits.
	probes sync.WaitGroup

	mu sync.Mutex
	// unresponsive holds when each unresponsive engine was last polled. It is guarded by mu.
	unresponsive map[registry.Incarnation]time.Time
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.probes.Wait()
	for ctx.Err() == nil {
		began := clock.Now()
		interval := followerInterval
		if _, leads := p.Leading(); leads {
			engines := enginesOf(p.View())
			interval = max(pollInterval, time.Duration(len(engines))*time.Second/maxPollsPerSecond)
			p.Source.PublishLoads(p.poll(ctx, engines), interval)
		} else {
			p.Source.PublishLoads(nil, 0)
		}
		select {
		case <-time.After(clock.Until(began.Add(interval))):
		case <-ctx.Done():
		}
	}
}

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

// poll polls all engines and returns the loads of those that respond in time. Engines that did not
// respond before are polled less often and without waiting for them.
func (p *Poller) poll(ctx context.Context, engines []registry.Instance) map[registry.Incarnation]balance.EngineLoad {
	responsive, due := p.partition(engines, clock.Now())
	for _, in := range due {
		// If it responds, it is recorded as responsive, and the next round polls it with the others.
		p.probes.Go(func() { _, _ = p.usage(ctx, in) })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxConcurrentPolls)
	out := make(map[registry.Incarnation]balance.EngineLoad, len(engines))
	for _, in := range responsive {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			load, err := p.usage(ctx, in)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[in.Incarnation()] = load
		})
	}
	wg.Wait()
	return out
}

// usage polls one engine and records whether it responds.
func (p *Poller) usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error) {
	load, err := p.Engines.Usage(ctx, in)
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
// again. It drops the state of engines that are gone.
func (p *Poller) partition(engines []registry.Instance, now time.Time) (responsive, due []registry.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unresponsive := make(map[registry.Incarnation]time.Time, len(p.unresponsive))
	for _, in := range engines {
		at, isUnresponsive := p.unresponsive[in.Incarnation()]
		if !isUnresponsive {
			responsive = append(responsive, in)
			continue
		}
		if now.Sub(at) >= unresponsiveInterval && len(due) < maxUnresponsivePolls {
			at = now
			due = append(due, in)
		}
		unresponsive[in.Incarnation()] = at
	}
	p.unresponsive = unresponsive
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
