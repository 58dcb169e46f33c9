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
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// maxConcurrentReads limits the engines that are read at the same time.
const maxConcurrentReads = 32

// Fleet is the set of engines that a Controller gives orders to.
type Fleet interface {
	// Read returns the load state that each engine reports.
	Read(ctx context.Context) []rollout.Instance
	// Target returns the version that a model's engines shall load, and the rollout limits.
	Target(model string) (rollout.Target, bool)
	// Issue sends one order to its engine under a fencing token.
	Issue(ctx context.Context, order rollout.Order, token uint64) error
}

// DeclaredEngines is the Fleet of the engines in the declared state.
type DeclaredEngines struct {
	// State returns the declared state.
	State func() *declared.State

	once   sync.Once
	client *http.Client
}

// Target returns a declared model's version and rollout limits.
func (d *DeclaredEngines) Target(name string) (rollout.Target, bool) {
	model, ok := d.State().Model(name)
	if !ok {
		return rollout.Target{}, false
	}
	return rollout.Target{Version: model.WeightVersion(), ConcurrentLoads: model.ConcurrentLoads(), MinServing: model.MinServing()}, true
}

// Read queries the load state of every declared engine.
func (d *DeclaredEngines) Read(ctx context.Context) []rollout.Instance {
	upstreams := d.State().Upstreams()
	out := make([]rollout.Instance, len(upstreams))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
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

// Issue sends one order to its engine.
func (d *DeclaredEngines) Issue(ctx context.Context, order rollout.Order, token uint64) error {
	for _, u := range d.State().Upstreams() {
		if u.Name() == order.Name {
			in := engine.Order{Token: token, Version: order.Version}
			return d.call(ctx, sling.New().Post("http://"+u.Address()+engine.PathOrders).BodyJSON(in), nil)
		}
	}
	return errors.Errorf("no upstream %q is declared", order.Name)
}

func (d *DeclaredEngines) call(ctx context.Context, s *sling.Sling, out any) error {
	d.once.Do(func() { d.client = inbound.Limit(netdial.Client(callTimeout, callTimeout), maxReportBytes) })
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := s.Client(d.client).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine responded with status %d", res.StatusCode)
	}
	return nil
}
