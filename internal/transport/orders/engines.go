package orders

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// ErrOtherInstance is returned when an instance with another id answers at an engine's address.
var ErrOtherInstance = errors.New("another instance has the engine's address")

// EngineReport is the state that a registered engine reports.
type EngineReport struct {
	// Weights holds the version of each model. Busy is true while an order is executed.
	Weights map[string]uint64
	Busy    bool
	// Orders counts the orders that the engine has accepted since its start.
	Orders uint64
	// Queued and Active count the requests that wait and that run. Runs holds the ids of the latter; it is nil if
	// the engine does not tell them.
	Queued, Active int
	Runs           []string
}

// HasEnded reports whether an engine certainly has a request neither in its queue nor running.
func (r EngineReport) HasEnded(request string) bool {
	return r.Runs != nil && r.Queued == 0 && r.Active == len(r.Runs) && !slices.Contains(r.Runs, request)
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
	// engine has restarted since, and ErrOtherInstance when another instance has its address.
	Report(ctx context.Context, in registry.Instance) (EngineReport, error)
	Load(ctx context.Context, in registry.Instance, order LoadOrder) error
}
