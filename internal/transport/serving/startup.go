package serving

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/readspeed"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

const (
	// startupHold is how long a request is held that arrives before the configuration is known, and
	// startupHoldDivisor limits the hold to a fraction of the caller's timeout. After a power loss all
	// processes start at the same time, and a configuration is in force some tenths of a second after
	// a process starts. A caller with a short timeout is better served by an immediate Retry-After.
	startupHold        = 400 * time.Millisecond
	startupHoldDivisor = 10
	// storesHoldDivisor limits the hold for the contents of stores to a fraction of the objective, of which
	// most must be left to the engine.
	storesHoldDivisor = 4
	// startupWindow is the time after the process start in which requests are held.
	startupWindow = 2 * time.Second
	// startupPollInterval is how often a held request checks for what it waits for.
	startupPollInterval = 10 * time.Millisecond
)

// awaitConfig returns the configuration in force, or nil when there is none. During startup it waits
// for one, but never so long that a retry would serve the caller better.
func (j *job) awaitConfig(ctx context.Context) *deployment.Config {
	s := j.server
	j.holdAtStartup(ctx, j.longestHold(), func() bool { return s.View().Config != nil })
	return s.View().Config
}

// awaitStores waits during startup until the contents of half of the stores are known, if the prompt is one
// of a tiered service and long enough to be kept. After a power loss all callers retry at once; without
// the stores, the engines would be busy for over a second with parts that are kept.
func (j *job) awaitStores(ctx context.Context) {
	p, view := j.request.Prompt, j.server.View()
	if p == nil || !view.Config.Tiered(j.service) || totalTokens(p.Parts[:max(len(p.Parts)-1, 0)]) < readspeed.DefaultMinTokens {
		return
	}
	needed := (len(view.Config.Stores()) + 1) / 2
	longest := min(j.longestHold(), j.route.Objective/storesHoldDivisor) - clock.Since(j.request.Arrived)
	j.holdAtStartup(ctx, longest, func() bool { return len(j.server.View().Stores) >= needed })
}

// longestHold returns how long the request may be held during startup.
func (j *job) longestHold() time.Duration {
	return min(startupHold, j.request.MaxWait()/startupHoldDivisor)
}

// holdAtStartup waits until something is known, if the process has started lately, but not longer than the
// given time.
func (j *job) holdAtStartup(ctx context.Context, longest time.Duration, known func() bool) {
	if known() || longest <= 0 || clock.Since(j.server.startedAt) > startupWindow {
		return
	}
	hold, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	poll := time.NewTicker(startupPollInterval)
	defer poll.Stop()
	for !known() && hold.Err() == nil {
		select {
		case <-poll.C:
		case <-hold.Done():
		}
	}
}
