// Package orders issues orders to engines, from the replica that leads the control log. An order
// tells an engine to load a version of a model's weights.
//
// A new leader commits a fencing token before its first order, and each order carries it, so
// that engines that check tokens refuse the orders of an older leader. For engines that do not
// check them, the new leader first waits until its predecessor must have noticed that it lost its
// majority and the predecessor's last order has arrived or timed out. An order of a suspended
// leader can still arrive later. Therefore an order states the desired version, and engines are
// read back and given the order again if needed.
package orders

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/rollout"
)

const (
	// DefaultInterval is the default interval at which engines are read back.
	DefaultInterval = 500 * time.Millisecond
	// callTimeout limits one call to an engine or to the control log.
	callTimeout = time.Second
	// maxReportBytes limits the body of an engine's response.
	maxReportBytes = 256 << 10
	// DefaultPredecessorTimeout is longer than a former leader takes to step down (less than two
	// election timeouts) plus the time that its last order takes to arrive or time out.
	DefaultPredecessorTimeout = 4 * time.Second
)

// Controller issues orders while this replica leads. Set the exported fields, then call Run.
type Controller struct {
	// Leading returns the current term, and whether this replica leads in it.
	Leading func() (term uint64, ok bool)
	// CommitToken commits a new fencing token and returns it.
	CommitToken func(context.Context) (uint64, error)
	// ConfirmLeadership returns nil once a majority has confirmed, after the call, that this replica
	// still leads. A replica that was suspended may believe so for a while without leading.
	ConfirmLeadership func(context.Context) error
	// Fleet is the set of engines that receive orders.
	Fleet Fleet
	// PredecessorTimeout is the wait before the first order to engines that do not check tokens, and
	// Interval the interval between rounds. Zero values mean the defaults.
	PredecessorTimeout time.Duration
	Interval           time.Duration
	// Log receives one line per event.
	Log *log.Logger

	// term is the term for which token was committed, at tokenAt.
	term, token uint64
	tokenAt     time.Time
}

// Run issues orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	if c.PredecessorTimeout == 0 {
		c.PredecessorTimeout = DefaultPredecessorTimeout
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round reads all engines back, plans the orders and issues them.
func (c *Controller) round(ctx context.Context) {
	if !c.ensureToken(ctx) {
		return
	}
	instances := c.Fleet.Read(ctx)
	controller := rollout.Controller{Token: c.token, PredecessorStopped: clock.Since(c.tokenAt) >= c.PredecessorTimeout}
	for _, order := range rollout.Plan(instances, c.Fleet.Target, controller) {
		if !c.stillLeads(ctx) {
			return
		}
		c.issue(ctx, order)
	}
}

// stillLeads reports whether a majority confirms that this replica leads in the term of its token.
func (c *Controller) stillLeads(ctx context.Context) bool {
	term, ok := c.Leading()
	if !ok || term != c.term {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.ConfirmLeadership(ctx)
	if err != nil {
		c.Log.Info().Str("event", "order_withheld").Uint64("term", term).Str("error", err.Error()).Msg("")
		return false
	}
	return true
}

// issue issues one order. A lost response needs no handling: the next round reads the engine back.
func (c *Controller) issue(ctx context.Context, order rollout.Order) {
	err := c.Fleet.Issue(ctx, order, c.token)
	line := c.Log.Info().Str("event", "order").Str("upstream", order.Name).Str("version", order.Version).Uint64("token", c.token)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// ensureToken reports whether this replica leads, and commits a token if it has none for the term.
func (c *Controller) ensureToken(ctx context.Context) bool {
	term, ok := c.Leading()
	if !ok {
		return false
	}
	if term == c.term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token, err := c.CommitToken(ctx)
	if err != nil {
		return false
	}
	c.term = term
	c.token = token
	c.tokenAt = clock.Now()
	c.Log.Info().Str("event", "orderer").Uint64("term", term).Uint64("token", token).Msg("")
	return true
}
