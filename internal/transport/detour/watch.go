package detour

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// watchInterval is how often the paths are checked while there are requests or failures.
	watchInterval = 100 * time.Millisecond
	// probeTimeout is how long a probe may take while this process runs: many times the round trip within a region, and
	// with room for one lost packet less.
	probeTimeout = 300 * time.Millisecond
	// sweepInterval is how often idle connections to peers and the state of unused peers are dropped.
	sweepInterval = time.Second
)

// Run probes paths that are lost or suspected until ctx ends.
func (u *Upstreams) Run(ctx context.Context) {
	u.init()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	// due fires when the paths are to be checked; it is nil while there is nothing to check.
	var due <-chan time.Time
	for {
		select {
		case <-u.active:
			if due == nil {
				due = time.After(watchInterval)
			}
		case <-due:
			due = nil
			if u.check(ctx) {
				due = time.After(watchInterval)
			}
		case <-sweep.C:
			now := clock.Now()
			u.pool.Sweep(now)
			u.mu.Lock()
			u.peers.Prune(now)
			u.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// check starts the rounds of probes that are due. It reports whether any path needs to be checked again.
func (u *Upstreams) check(ctx context.Context) (active bool) {
	u.checkPeers()
	u.mu.Lock()
	services := make([]string, 0, len(u.paths))
	for service := range u.paths {
		services = append(services, service)
	}
	u.mu.Unlock()
	for _, service := range services {
		instances := u.Instances(service)
		u.mu.Lock()
		path := u.path(service)
		if len(instances) == 0 && path.Idle() {
			// Nothing can be learned about a service without instances, and nothing is sent there.
			delete(u.paths, service)
			u.Metrics.state.DeleteLabelValues(service)
			u.mu.Unlock()
			continue
		}
		if path.ProbeDue(len(instances), clock.Now()) {
			targets := detour.ProbeTargets(path, instances, u.random)
			go u.probe(ctx, service, path, targets)
		}
		u.Metrics.setState(service, path.State(clock.Now()))
		active = active || path.Active()
		u.mu.Unlock()
	}
	return active
}

// checkPeers calls OnChanged for each lost path if a peer is known that was not when the paths were last checked: while there was none,
// attempts failed on the lost paths.
func (u *Upstreams) checkPeers() {
	knowsPeers := len(u.knownPeers()) > 0
	u.mu.Lock()
	first := knowsPeers && !u.knewPeers
	u.knewPeers = knowsPeers
	var lost []string
	for service, path := range u.paths {
		if first && path.IsLost() {
			lost = append(lost, service)
		}
	}
	u.mu.Unlock()
	if u.OnChanged == nil {
		return
	}
	for _, service := range lost {
		u.OnChanged(service)
	}
}

// probe makes a round of probes, and a second one at once if the first leaves the path undecided.
func (u *Upstreams) probe(ctx context.Context, service string, path *detour.Path, targets []registry.Instance) {
	for len(targets) > 0 {
		succeeded := u.probeEach(ctx, service, targets)
		if u.probed(service, path, succeeded, len(targets)) && u.OnChanged != nil {
			u.OnChanged(service)
		}
		targets = u.secondRound(service, path)
	}
}

// probeEach probes instances at the same time, and returns how many responded.
func (u *Upstreams) probeEach(ctx context.Context, service string, targets []registry.Instance) int {
	ctx, cancel := clock.WithRunningTimeout(ctx, probeTimeout)
	defer cancel()
	var succeeded atomic.Int64
	var group sync.WaitGroup
	for _, in := range targets {
		group.Go(func() {
			result := "failed"
			if u.Direct.Probe(ctx, in) == nil {
				result = "answered"
				succeeded.Add(1)
			}
			u.Metrics.probes.WithLabelValues(service, result).Inc()
		})
	}
	group.Wait()
	return int(succeeded.Load())
}

// secondRound returns the instances to be probed next if the last round left the path undecided.
func (u *Upstreams) secondRound(service string, path *detour.Path) []registry.Instance {
	instances := u.Instances(service)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !path.Undecided() || !path.ProbeDue(len(instances), clock.Now()) {
		return nil
	}
	return detour.ProbeTargets(path, instances, u.random)
}

// probed records the result of a round of probes. It reports whether the path was lost or restored by it.
func (u *Upstreams) probed(service string, path *detour.Path, succeeded, probed int) (changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	before, since, failing := path.State(now), path.Since(), path.Failures()
	changed = path.Probed(succeeded, now)
	state := path.State(now)
	u.Metrics.setState(service, state)
	if path.Returning() || state == detour.Open {
		u.wakeHeld()
	}
	switch {
	case changed && state == detour.Open:
		u.Log.Info().Str("event", "path_restored").Str("service", service).Dur("lost_ms", now.Sub(since)).Msg("")
	case changed:
		for _, other := range u.paths {
			if other != path {
				other.Hint()
			}
		}
		u.logFailedRound("path_lost", service, path, failing, probed)
	case succeeded == 0 && before == detour.Suspected:
		u.logFailedRound("path_kept", service, path, failing, probed)
	}
	return changed
}

// logFailedRound logs what follows from a round of probes without a success. failing is the number of instances at which
// requests failed before. mu must be held.
func (u *Upstreams) logFailedRound(event, service string, path *detour.Path, failing, probed int) {
	now := clock.Now()
	line := u.Log.Warn().Str("event", event).Str("service", service).Str("state", path.State(now).String()).Str("cause", string(path.Cause())).
		Int("failing", failing).Int("probed", probed).Int("peers", len(u.knownPeers())).Bool("undecided", path.Undecided())
	if last := path.LastResponse(); !last.IsZero() {
		line = line.Dur("response_age_ms", now.Sub(last))
	}
	line.Msg("")
}
