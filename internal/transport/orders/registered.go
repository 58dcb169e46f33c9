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
	// loadShare is the part of a model's engines that load at once: with a sixth the last of
	// 14 engines was ordered 11 s after a version was named, with a fifth rounded up 8 s, of the
	// 12 s that it may take.
	loadShare = 5
	// namedBefore is how long entries have avoided an engine before it is ordered: what
	// comes after the order is refused, and each refusal is a repeated send.
	namedBefore = 200 * time.Millisecond
	// orderPending is how long an engine that does not answer after an order still counts
	// as loading: a load takes about a second, and more while others load.
	orderPending = 5 * time.Second
)

// RegisteredEngines are the engines that registered by heartbeat. Those whose heartbeats
// show the newest version are not asked, so that a fleet at rest costs no question.
type RegisteredEngines struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Engines speaks to them.
	Engines Engines
	// Holder names this process in orders.
	Holder string
	// Source tells entries which engines load, or will next, and what they have loaded.
	Source *fleet.Source
	// OldWeightsGrace is how long after newer weights are named engines may still serve by older ones;
	// 0 is without an end.
	OldWeightsGrace time.Duration
	// Log receives one line for each event.
	Log *log.Logger

	mu sync.Mutex
	// engines holds what is known of the engines that do not show the newest version, by their
	// ids, each of the incarnation that was read last; it is guarded by mu.
	engines map[string]*engineState
	// readable is how many engines of a model the last Read reached, or knows to serve the
	// newest version: only of these can some load while others serve.
	readable map[string]int
}

// Target returns the newest version named for a model.
func (e *RegisteredEngines) Target(model string) (rollout.Target, bool) {
	view := e.View()
	version, ok := view.Weights[model]
	if !ok {
		return rollout.Target{}, false
	}
	e.mu.Lock()
	n := e.readable[model]
	e.mu.Unlock()
	target := rollout.Target{Version: text(version), ConcurrentLoads: loadsAtOnce(n), MinServing: n / 2}
	now := clock.Now()
	if view.Named[model].Required(now, view.OldWeights(e.OldWeightsGrace, now)) >= version {
		// Those with older weights serve nobody any more.
		target.MinServing = 0
	}
	return target, true
}

// loadsAtOnce is how many of some engines load at once: one more than a part of them, so
// that one engine's runs end while others load.
func loadsAtOnce(engines int) int { return (engines + loadShare - 1) / loadShare }

func text(version uint64) string { return strconv.FormatUint(version, 10) }

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

// Read returns what the engines say, as far as it must be known, and tells entries which of
// them to avoid.
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
		case read.Version != text(view.Weights[read.Model]):
			waiting = append(waiting, read.Name)
		}
	}
	e.mu.Lock()
	e.readable = readable
	e.mu.Unlock()
	e.forget(view)
	e.tellBusy(waiting, loading, len(out))
	return out
}

// readAll asks the engines side by side: those that show the newest version are not asked,
// and others once before an order and again when a load may have ended.
func (e *RegisteredEngines) readAll(ctx context.Context, view *fleet.View) []rollout.Instance {
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, atOnce)
	var out []rollout.Instance
	add := func(read rollout.Instance) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, read)
	}
	for model, version := range view.Weights {
		for _, in := range enginesOf(view, model) {
			if in.Weights[model] >= version {
				add(rollout.Instance{Name: in.ID, Model: model, Reachable: true, Version: text(version)})
				continue
			}
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				read, ok := e.ask(ctx, in, model, version)
				if ok {
					add(read)
				}
			})
		}
	}
	wg.Wait()
	return out
}

// tellBusy names the engines that load and those that will next, so that these have little
// left to end when their order comes: they are ordered by name, as rollout.Plan does.
func (e *RegisteredEngines) tellBusy(waiting, loading []string, engines int) {
	slices.Sort(waiting)
	next := waiting[:min(len(waiting), loadsAtOnce(engines))]
	names := append(loading, next...)
	slices.Sort(names)
	var busy []registry.Incarnation
	e.mu.Lock()
	for id, known := range e.engines {
		if !slices.Contains(names, id) {
			known.named = time.Time{}
		} else if known.named.IsZero() {
			known.named = clock.Now()
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

// forget drops engines that are gone.
func (e *RegisteredEngines) forget(view *fleet.View) {
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

// state returns what is known of an incarnation of an engine: the orders of the one before, and
// what it was believed to load, say nothing of it. mu must be held.
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

// ask reads one engine back. One that does not answer counts only while an order may be
// under way there: else a failure domain that is cut off would hold up the rest.
func (e *RegisteredEngines) ask(ctx context.Context, in registry.Instance, model string, wanted uint64) (rollout.Instance, bool) {
	out := rollout.Instance{Name: in.ID, Model: model}
	e.mu.Lock()
	known := e.state(in)
	ask := known.mustAsk(clock.Now())
	pending := clock.Since(known.given) < orderPending
	e.mu.Unlock()
	if ask {
		report, err := e.report(ctx, in)
		var again *registry.StartedAgainError
		if errors.As(err, &again) {
			e.Source.StartedAgain(again)
		}
		if err != nil {
			return out, pending
		}
		e.mu.Lock()
		if known.take(report, clock.Now()) {
			e.Log.Info().Str("event", "load_overdue").Str("instance", in.ID).Str("model", model).Uint64("version", wanted).Dur("busy_ms", clock.Since(known.busy)).Msg("")
		}
		e.mu.Unlock()
		e.Source.Loaded(in, model, report.Weights[model])
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	out.Reachable = true
	out.AwaitingDrain = known.named.IsZero() || now.Sub(known.named) < namedBefore
	out.Version = text(min(known.report.Weights[model], wanted))
	if known.report.Busy || now.Sub(known.given) < quietAfterOrder {
		// The engine does not say what it loads; an order on top of it is refused.
		out.Loading = text(wanted)
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

// Give gives one order. Whatever becomes of it, the engine is asked before the next one.
func (e *RegisteredEngines) Give(ctx context.Context, order rollout.Order, token uint64) error {
	version, err := strconv.ParseUint(order.Version, 10, 64)
	if err != nil {
		return errors.Wrap(err, "the version to load")
	}
	e.mu.Lock()
	known, ok := e.engines[order.Name]
	if !ok {
		e.mu.Unlock()
		return errors.Errorf("engine %q was not read", order.Name)
	}
	known.given = clock.Now()
	known.asked = false
	load := LoadOrder{Model: order.Model, Version: version, Holder: e.Holder, Token: token, AfterOrders: known.report.Orders}
	in := known.instance
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Engines.Load(ctx, in, load)
}
