package orders

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/rollout"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// loadShare is the part of a model's engines that load at once: loads of more at a
	// time take longer each, and a sixth goes through all in six rounds of about a
	// second and a half.
	loadShare = 6
	// orderPending is how long an engine that does not answer after an order still counts
	// as loading: a load takes about a second, and more while others load.
	orderPending = 5 * time.Second
)

// EngineReport is what a registered engine says of itself.
type EngineReport struct {
	// Weights holds the version of each model; Busy says that an order is under way.
	Weights map[string]uint64
	Busy    bool
	// Orders counts the orders that the engine took since its start.
	Orders uint64
}

// LoadOrder tells an engine to load a version of a model.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string
	Token   uint64
	// AfterOrders is how many orders the engine must have taken before: an order that
	// arrives late finds another number.
	AfterOrders uint64
}

// Engines speaks to registered engines.
type Engines interface {
	Report(ctx context.Context, in registry.Instance) (EngineReport, error)
	Load(ctx context.Context, in registry.Instance, order LoadOrder) error
}

// RegisteredEngines are the engines that registered by heartbeat. Those whose heartbeats
// show the newest version are not asked, so that a fleet at rest costs no question.
type RegisteredEngines struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Engines speaks to them.
	Engines Engines
	// Holder names this process in orders.
	Holder string
	// Log receives one line for each event.
	Log *log.Logger

	mu sync.Mutex
	// The fields below are guarded by mu: the instances and reports of the last Read,
	// and when each instance was last given an order.
	instances map[string]registry.Instance
	orders    map[string]uint64
	given     map[string]time.Time
}

// Target returns the newest version named for a model.
func (e *RegisteredEngines) Target(model string) (rollout.Target, bool) {
	view := e.View()
	version, ok := view.Weights[model]
	if !ok {
		return rollout.Target{}, false
	}
	n := len(enginesOf(view, model))
	return rollout.Target{Version: text(version), ConcurrentLoads: max(1, n/loadShare), MinServing: n / 2}, true
}

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

// Read asks the engines that do not show the newest version.
func (e *RegisteredEngines) Read(ctx context.Context) []rollout.Instance {
	view := e.View()
	var out []rollout.Instance
	var wg sync.WaitGroup
	var mu sync.Mutex
	for model, version := range view.Weights {
		for _, in := range enginesOf(view, model) {
			if in.Weights[model] >= version {
				mu.Lock()
				out = append(out, rollout.Instance{Name: in.ID, Model: model, Reachable: true, Version: text(version)})
				mu.Unlock()
				continue
			}
			wg.Go(func() {
				read, ok := e.ask(ctx, in, model, version)
				if ok {
					mu.Lock()
					out = append(out, read)
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return out
}

// ask reads one engine back. One that does not answer counts only while an order may be
// under way there: else a failure domain that is cut off would hold up the rest.
func (e *RegisteredEngines) ask(ctx context.Context, in registry.Instance, model string, wanted uint64) (rollout.Instance, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := e.Engines.Report(ctx, in)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instances == nil {
		e.instances = map[string]registry.Instance{}
		e.orders = map[string]uint64{}
		e.given = map[string]time.Time{}
	}
	e.instances[in.ID] = in
	out := rollout.Instance{Name: in.ID, Model: model}
	if err != nil {
		e.Log.Info().Str("event", "engine_unread").Str("instance", in.ID).Str("address", in.Address).Str("error", err.Error()).Msg("")
		return out, time.Since(e.given[in.ID]) < orderPending
	}
	e.orders[in.ID] = report.Orders
	out.Reachable = true
	out.Version = text(report.Weights[model])
	if report.Weights[model] > wanted {
		out.Version = text(wanted)
	}
	if report.Busy {
		// The engine does not say what it loads; an order on top of it is refused.
		out.Loading = text(wanted)
	}
	return out, true
}

// Give gives one order.
func (e *RegisteredEngines) Give(ctx context.Context, order rollout.Order, token uint64) error {
	version, err := strconv.ParseUint(order.Version, 10, 64)
	if err != nil {
		return errors.Wrap(err, "the version to load")
	}
	e.mu.Lock()
	in, ok := e.instances[order.Name]
	after := e.orders[order.Name]
	e.mu.Unlock()
	if !ok {
		return errors.Errorf("engine %q was not read", order.Name)
	}
	load := LoadOrder{Model: order.Model, Version: version, Holder: e.Holder, Token: token, AfterOrders: after}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	e.given[order.Name] = time.Now()
	e.mu.Unlock()
	return e.Engines.Load(ctx, in, load)
}
