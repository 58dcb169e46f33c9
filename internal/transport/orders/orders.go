// Package orders gives engines their orders, from the replica that leads the control
// log.
//
// A new leader commits a token before its first order, and each order carries it, so
// that engines which check refuse an older leader's. For engines that do not check it
// first waits until the leader before must have noticed that it lost its majority and
// its last order has arrived or timed out. Even so an order of a frozen leader can
// come later: therefore orders state the wanted end, are read back, and given again.
package orders

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/rollout"
)

const (
	// DefaultInterval is how often engines are read back.
	DefaultInterval = 500 * time.Millisecond
	// callTimeout bounds one question or order.
	callTimeout = time.Second
	// DefaultWaitOut is longer than an old leader takes to step down (less than two
	// election times) and its last order takes to arrive or time out.
	DefaultWaitOut = 4 * time.Second
)

// Controller gives orders while this replica leads. Set the exported fields, then Run.
type Controller struct {
	// Leading says whether this replica leads now, and in which term.
	Leading func() (term uint64, ok bool)
	// CommitToken commits a new fencing token.
	CommitToken func(context.Context) (uint64, error)
	// ConfirmLeadership returns nil once a majority has answered after the call that this replica
	// still leads: one that was frozen believes it for a while.
	ConfirmLeadership func(context.Context) error
	// Fleet is what orders are given to.
	Fleet Fleet
	// PredecessorTimeout and Interval have defaults when zero.
	PredecessorTimeout time.Duration
	Interval           time.Duration
	// Log receives one line for each event.
	Log *log.Logger

	// term is the term for which token was taken, at since.
	term, token uint64
	since       time.Time
}

// Run gives orders until ctx ends.
func (o *Controller) Run(ctx context.Context) {
	if o.PredecessorTimeout == 0 {
		o.PredecessorTimeout = DefaultWaitOut
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round reads every engine back and gives the orders that follow.
func (o *Controller) round(ctx context.Context) {
	if !o.entitled(ctx) {
		return
	}
	instances := o.Fleet.Read(ctx)
	by := rollout.Controller{Token: o.token, PredecessorStopped: clock.Since(o.since) >= o.PredecessorTimeout}
	for _, order := range rollout.Plan(instances, o.Fleet.Target, by) {
		if !o.stillLeads(ctx) {
			return
		}
		o.give(ctx, order)
	}
}

// stillLeads reports whether this replica leads in the term of its token.
func (o *Controller) stillLeads(ctx context.Context) bool {
	term, ok := o.Leading()
	if !ok || term != o.term {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.ConfirmLeadership(ctx)
	if err != nil {
		o.Log.Info().Str("event", "order_withheld").Uint64("term", term).Str("error", err.Error()).Msg("")
		return false
	}
	return true
}

// give gives one order. A lost answer needs no care: the next round reads back.
func (o *Controller) give(ctx context.Context, order rollout.Order) {
	err := o.Fleet.Give(ctx, order, o.token)
	line := o.Log.Info().Str("event", "order").Str("upstream", order.Name).Str("version", order.Version).Uint64("token", o.token)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// entitled makes sure that this replica leads and has its term's token.
func (o *Controller) entitled(ctx context.Context) bool {
	term, ok := o.Leading()
	if !ok {
		return false
	}
	if term == o.term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token, err := o.CommitToken(ctx)
	if err != nil {
		return false
	}
	o.term = term
	o.token = token
	o.since = clock.Now()
	o.Log.Info().Str("event", "orderer").Uint64("term", term).Uint64("token", token).Msg("")
	return true
}
