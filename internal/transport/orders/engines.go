package orders

import (
	"context"

	"github.com/shedrock/shedrock/internal/state/registry"
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
	// Report asks an engine for its state. The error is a registry.StartedAgainError when
	// another start of the engine answered.
	Report(ctx context.Context, in registry.Instance) (EngineReport, error)
	Load(ctx context.Context, in registry.Instance, order LoadOrder) error
}
