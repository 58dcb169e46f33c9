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
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/rollout"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/declared"
)

const (
	// interval is how often engines are read back.
	interval = 500 * time.Millisecond
	// callTimeout bounds one question or order.
	callTimeout = time.Second
	// DefaultWaitOut is longer than an old leader takes to step down (less than two
	// election times) and its last order takes to arrive or time out.
	DefaultWaitOut = 4 * time.Second
	// atOnce bounds the questions under way.
	atOnce = 32
)

// Orderer gives orders while this replica leads. Set the exported fields, then Run.
type Orderer struct {
	// Leading says whether this replica leads now, and in which term.
	Leading func() (term uint64, ok bool)
	// TakeToken commits a new fencing token.
	TakeToken func(context.Context) (uint64, error)
	// State returns the declared state.
	State func() *declared.State
	// WaitOut has a default when zero.
	WaitOut time.Duration
	// Log receives one line for each event.
	Log *log.Logger

	client *http.Client
	// term is the term for which token was taken, at since.
	term, token uint64
	since       time.Time
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	if o.WaitOut == 0 {
		o.WaitOut = DefaultWaitOut
	}
	o.client = &http.Client{Timeout: callTimeout}
	defer o.client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
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
func (o *Orderer) round(ctx context.Context) {
	if !o.entitled(ctx) {
		return
	}
	state := o.State()
	instances := o.read(ctx, state)
	by := rollout.Orderer{Token: o.token, Unchecked: time.Since(o.since) >= o.WaitOut}
	for _, order := range rollout.Plan(instances, state.Model, by) {
		term, ok := o.Leading()
		if !ok || term != o.term {
			return
		}
		o.give(ctx, state, order)
	}
}

// entitled makes sure that this replica leads and has its term's token.
func (o *Orderer) entitled(ctx context.Context) bool {
	term, ok := o.Leading()
	if !ok {
		return false
	}
	if term == o.term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token, err := o.TakeToken(ctx)
	if err != nil {
		return false
	}
	o.term = term
	o.token = token
	o.since = time.Now()
	o.Log.Info().Str("event", "orderer").Uint64("term", term).Uint64("token", token).Msg("")
	return true
}

// read asks every declared engine for its orders.
func (o *Orderer) read(ctx context.Context, state *declared.State) []rollout.Instance {
	upstreams := state.Upstreams()
	out := make([]rollout.Instance, len(upstreams))
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i, u := range upstreams {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = rollout.Instance{Name: u.Name(), Model: u.Model(), ChecksOrders: u.ChecksOrders()}
			var answer engine.OrderState
			err := o.call(ctx, sling.New().Get("http://"+u.Address()+engine.PathOrders), &answer)
			if err != nil {
				return
			}
			out[i].Reachable = true
			out[i].Version = answer.Version
			out[i].Loading = answer.Loading
			out[i].Token = answer.Token
		})
	}
	wg.Wait()
	return out
}

// give gives one order. A lost answer needs no care: the next round reads back.
func (o *Orderer) give(ctx context.Context, state *declared.State, order rollout.Order) {
	for _, u := range state.Upstreams() {
		if u.Name() != order.Name {
			continue
		}
		in := engine.Order{Token: o.token, Version: order.Version}
		err := o.call(ctx, sling.New().Post("http://"+u.Address()+engine.PathOrders).BodyJSON(in), nil)
		line := o.Log.Info().Str("event", "order").Str("upstream", order.Name).Str("version", order.Version).Uint64("token", o.token)
		if err != nil {
			line = line.Str("error", err.Error())
		}
		line.Msg("")
	}
}

func (o *Orderer) call(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := s.Client(o.client).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("the engine answered %d", res.StatusCode)
	}
	return nil
}
