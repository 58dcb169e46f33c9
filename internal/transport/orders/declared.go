package orders

import (
	"context"
	"net/http"
	"sync"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/rollout"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// atOnce bounds the questions to declared engines under way.
const atOnce = 32

// Fleet is what orders are given to.
type Fleet interface {
	// Read returns what each engine says of its orders.
	Read(ctx context.Context) []rollout.Instance
	// Target returns where a model's engines are to be brought.
	Target(model string) (rollout.Target, bool)
	// Give gives one order under a fencing token.
	Give(ctx context.Context, order rollout.Order, token uint64) error
}

// DeclaredEngines are the engines of the declared state.
type DeclaredEngines struct {
	// State returns the declared state.
	State func() *declared.State

	once   sync.Once
	client *http.Client
}

// Target returns a declared model's version and bounds.
func (d *DeclaredEngines) Target(name string) (rollout.Target, bool) {
	model, ok := d.State().Model(name)
	if !ok {
		return rollout.Target{}, false
	}
	return rollout.Target{Version: model.WeightVersion(), ConcurrentLoads: model.ConcurrentLoads(), MinServing: model.MinServing()}, true
}

// Read asks every declared engine for its orders.
func (d *DeclaredEngines) Read(ctx context.Context) []rollout.Instance {
	upstreams := d.State().Upstreams()
	out := make([]rollout.Instance, len(upstreams))
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i, u := range upstreams {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = rollout.Instance{Name: u.Name(), Model: u.Model(), ChecksOrders: u.ChecksOrders()}
			var answer engine.OrderState
			err := d.call(ctx, sling.New().Get("http://"+u.Address()+engine.PathOrders), &answer)
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

// Give gives one order.
func (d *DeclaredEngines) Give(ctx context.Context, order rollout.Order, token uint64) error {
	for _, u := range d.State().Upstreams() {
		if u.Name() == order.Name {
			in := engine.Order{Token: token, Version: order.Version}
			return d.call(ctx, sling.New().Post("http://"+u.Address()+engine.PathOrders).BodyJSON(in), nil)
		}
	}
	return errors.Errorf("there is no upstream %q", order.Name)
}

func (d *DeclaredEngines) call(ctx context.Context, s *sling.Sling, out any) error {
	d.once.Do(func() { d.client = netdial.Client(callTimeout, callTimeout) })
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := s.Client(d.client).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("the engine answered %d", res.StatusCode)
	}
	return nil
}
