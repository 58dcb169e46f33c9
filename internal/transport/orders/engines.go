package orders

import (
	"context"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// EngineReport is the state that a registered engine reports.
type EngineReport struct {
	// Weights holds the version of each model. Busy is true while an order is executed.
	Weights map[string]uint64
	Busy    bool
	// Orders counts the orders that the engine has accepted since its start.
	Orders uint64
}

// LoadOrder is an order to load a version of a model.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string
	Token   uint64
	// AfterOrders is the number of orders that the engine must have accepted before. An engine
	// refuses an order that arrives late, because its count has changed by then.
	AfterOrders uint64
}

// Engines is the client for registered engines.
type Engines interface {
	// Report queries the state of an engine. The error is a registry.RestartedError when the
	// engine has restarted since.
	Report(ctx context.Context, in registry.Instance) (EngineReport, error)
	Load(ctx context.Context, in registry.Instance, order LoadOrder) error
}
