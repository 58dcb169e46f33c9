package orders

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/rollout"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// loadDivisor sets how many of a model's engines load at the same time: their number divided by
	// this, rounded up. With a sixth, the last of 14 engines got its order 11 s after a version was
	// announced, with a fifth after 8 s; the limit is 12 s.
	loadDivisor = 5
	// drainTime is how long entries must have avoided an engine before it gets an order. The engine
	// refuses requests that arrive after the order, and each refusal costs a resend.
	drainTime = 200 * time.Millisecond
	// orderPendingFor is how long an engine that does not respond after an order still counts as
	// loading: a load takes about a second, and longer while other engines load.
	orderPendingFor = 5 * time.Second
)

// RegisteredEngines is the Fleet of the engines that register by heartbeat. Engines whose
// heartbeats show the newest version are not read, so that an up-to-date fleet causes no calls.
type RegisteredEngines struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Engines is the client for the engines.
	Engines Engines
	// Holder is the name of this process in orders.
	Holder string
	// Source publishes to entries which engines load or will load next, and which versions they have
	// loaded.
	Source *fleet.Source
	// OldWeightsGrace is how long after the announcement of newer weights engines may still serve
	// older ones; 0 means without limit.
	OldWeightsGrace time.Duration
	// Log receives one line per event.
	Log *log.Logger

	mu sync.Mutex
	// engines holds the state of the engines that do not show the newest version, by their ids and
	// each of the incarnation that was read last. It is guarded by mu.
	engines map[string]*engineState
	// readable is the number of engines of each model that the last Read reached or that serve the
	// newest version by their heartbeats. The rollout limits are derived from this number.
	readable map[string]int
}

// Target returns the newest version announced for a model, and the rollout limits.
func (e *RegisteredEngines) Target(model string) (rollout.Target, bool) {
	view := e.View()
	version, ok := view.Weights[model]
	if !ok {
		return rollout.Target{}, false
	}
	e.mu.Lock()
	n := e.readable[model]
	e.mu.Unlock()
	target := rollout.Target{Version: formatVersion(version), ConcurrentLoads: concurrentLoads(n), MinServing: n / 2}
	now := clock.Now()
	if view.WeightHistories[model].Required(now, view.OldWeightsGrace(e.OldWeightsGrace, now)) >= version {
		// Engines with older weights get no requests any more.
		target.MinServing = 0
	}
	return target, true
}

// concurrentLoads returns how many of a number of engines load at the same time: a fraction rounded
// up, so that one engine can complete its runs while others load.
func concurrentLoads(engines int) int { return (engines + loadDivisor - 1) / loadDivisor }

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }

// enginesOf returns the instances of the services that run a model.
func enginesOf(view *fleet.View, model string) []registry.Instance {
	var out []registry.Instance
	if view.Config == nil {
		return nil
	}
	for name, service := range view.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, in := range view.Instances[name] {
			if _, ok := in.Weights[model]; ok {
				out = append(out, in)
			}
		}
	}
	return out
}

// Read returns the state of the engines, reading only those whose state must be updated, and publishes
// to entries which engines to avoid.
func (e *RegisteredEngines) Read(ctx context.Context) []rollout.Instance {
	view := e.View()
	out := e.readAll(ctx, view)
	readable := map[string]int{}
	var waiting, loading []string
	for _, read := range out {
		if read.Reachable {
			readable[read.Model]++
		}
		switch {
		case read.Loading != "":
			loading = append(loading, read.Name)
		case read.Version != formatVersion(view.Weights[read.Model]):
			waiting = append(waiting, read.Name)
		}
	}
	e.mu.Lock()
	e.readable = readable
	e.mu.Unlock()
	e.dropGone(view)
	e.publishBusy(waiting, loading, len(out))
	return out
}

// readAll reads the engines concurrently. It skips those whose heartbeats show the newest version,
// and reads the others once before an order and again when a load may have ended.
func (e *RegisteredEngines) readAll(ctx context.Context, view *fleet.View) []rollout.Instance {
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxConcurrentReads)
	var out []rollout.Instance
	add := func(read rollout.Instance) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, read)
	}
	for model, version := range view.Weights {
		for _, in := range enginesOf(view, model) {
			if in.Weights[model] >= version {
				add(rollout.Instance{Name: in.ID, Model: model, Reachable: true, Version: formatVersion(version)})
				continue
			}
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				read, ok := e.readEngine(ctx, in, model, version)
				if ok {
					add(read)
				}
			})
		}
	}
	wg.Wait()
	return out
}

// publishBusy publishes the engines that load and those that will load next, so that the latter have
// few running requests left when their order comes. Like rollout.Plan, it picks them in the order of
// their names.
func (e *RegisteredEngines) publishBusy(waiting, loading []string, engines int) {
	slices.Sort(waiting)
	next := waiting[:min(len(waiting), concurrentLoads(engines))]
	names := append(loading, next...)
	slices.Sort(names)
	var busy []registry.Incarnation
	e.mu.Lock()
	for id, known := range e.engines {
		if !slices.Contains(names, id) {
			known.avoidedSince = time.Time{}
		} else if known.avoidedSince.IsZero() {
			known.avoidedSince = clock.Now()
		}
	}
	for _, id := range names {
		if known := e.engines[id]; known != nil {
			busy = append(busy, known.instance.Incarnation())
		}
	}
	e.mu.Unlock()
	e.Source.PublishBusy(busy)
}

// dropGone removes the state of engines that are no longer live.
func (e *RegisteredEngines) dropGone(view *fleet.View) {
	live := map[string]bool{}
	for _, instances := range view.Instances {
		for _, in := range instances {
			live[in.ID] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.engines, func(id string, _ *engineState) bool { return !live[id] })
}

// state returns the state of an incarnation of an engine. The state of the previous incarnation is
// discarded: its orders and its load do not apply to the new one. mu must be held.
func (e *RegisteredEngines) state(in registry.Instance) *engineState {
	if e.engines == nil {
		e.engines = map[string]*engineState{}
	}
	known, ok := e.engines[in.ID]
	if !ok || known.instance.Incarnation() != in.Incarnation() {
		known = &engineState{}
		e.engines[in.ID] = known
	}
	known.instance = in
	return known
}

// readEngine reads one engine back if needed. It returns false for an unreachable engine without a pending
// order: such an engine is left out, or an unreachable failure domain would block the rollout to the others.
func (e *RegisteredEngines) readEngine(ctx context.Context, in registry.Instance, model string, wanted uint64) (rollout.Instance, bool) {
	out := rollout.Instance{Name: in.ID, Model: model}
	// All decisions about one report use the same time: if the delay after an order ended in between, the
	// order would count as completed and be issued again.
	now := clock.Now()
	e.mu.Lock()
	known := e.state(in)
	due := known.needsRead(now)
	pending := now.Sub(known.orderedAt) < orderPendingFor
	e.mu.Unlock()
	if due {
		report, err := e.report(ctx, in)
		var again *registry.RestartedError
		if errors.As(err, &again) {
			e.Source.RecordRestart(again)
		}
		if err != nil {
			return out, pending
		}
		now = clock.Now()
		e.mu.Lock()
		if known.update(report, now) {
			e.Log.Info().Str("event", "load_overdue").Str("instance", in.ID).Str("model", model).Uint64("version", wanted).Dur("busy_ms", now.Sub(known.busySince)).Msg("")
		}
		e.mu.Unlock()
		e.Source.RecordWeights(in, model, report.Weights[model])
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out.Reachable = true
	out.AwaitingDrain = known.avoidedSince.IsZero() || now.Sub(known.avoidedSince) < drainTime
	out.Version = formatVersion(min(known.report.Weights[model], wanted))
	if known.report.Busy || now.Sub(known.orderedAt) < readDelayAfterOrder {
		// The engine does not report which version it loads, and refuses an order while it does.
		out.Loading = formatVersion(wanted)
		out.LoadOverdue = known.overdue(now)
	}
	return out, true
}

func (e *RegisteredEngines) report(ctx context.Context, in registry.Instance) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := e.Engines.Report(ctx, in)
	line := e.Log.Info().Str("event", "engine_read").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("address", in.Address)
	if err != nil {
		line.Str("error", err.Error()).Msg("")
		return report, err
	}
	line.Bool("busy", report.Busy).Uint64("orders", report.Orders).Msg("")
	return report, nil
}

// Issue sends one order to its engine. Whatever its result, the engine is read before the next order.
func (e *RegisteredEngines) Issue(ctx context.Context, order rollout.Order, token uint64) error {
	version, err := strconv.ParseUint(order.Version, 10, 64)
	if err != nil {
		return errors.Wrap(err, "parse the version to load")
	}
	e.mu.Lock()
	known, ok := e.engines[order.Name]
	if !ok {
		e.mu.Unlock()
		return errors.Errorf("no state of engine %q: it has not been read", order.Name)
	}
	known.orderedAt = clock.Now()
	known.reportValid = false
	load := LoadOrder{Model: order.Model, Version: version, Holder: e.Holder, Token: token, AfterOrders: known.report.Orders}
	in := known.instance
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Engines.Load(ctx, in, load)
}
