// Package arbiter decides where the long prompts of a service run while its engines are nearly full. One
// arbiter decides for all entries, so that they don't send to the same free engine at once, as they do
// when each decides by loads that are some tenths of a second old.
//
// Its state is rebuilt from the engines' reports within one polling round; correctness never depends
// on it.
package arbiter

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Arbiter decides for all engines of some services. Use New to make one. It is not safe for concurrent
// use.
type Arbiter struct {
	// NewReturns makes the Returns of a service. If it is nil, refused requests come back after a fixed
	// time. It must be set before the first call of SetEngines.
	NewReturns func() Returns
}

// New returns an Arbiter without engines.
func New(seed uint64) *Arbiter { return &Arbiter{} }

// SetEngines sets the engines of a service and the memory of each of them in tokens. State of engines that
// remain is kept.
func (a *Arbiter) SetEngines(service string, engines []Engine, memory int) {}

// RecordLoads records the loads that engines reported, and when they arrived. Engines that are missing
// keep their loads.
func (a *Arbiter) RecordLoads(loads map[registry.Incarnation]balance.EngineLoad, at time.Time) {}

// Decide places or refuses a request.
func (a *Arbiter) Decide(r Request, now time.Time) Decision { return Unknown{} }

// Release records that the run of a granted request has ended, or never began. Unknown ids are ignored.
func (a *Arbiter) Release(id string, now time.Time) {}

// Snapshot returns the counters.
func (a *Arbiter) Snapshot() Stats { return Stats{} }
