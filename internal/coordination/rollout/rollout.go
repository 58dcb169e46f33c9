// Package rollout decides which engine loads which weight version next.
//
// It keeps no memory: each decision is made from the declared state and from what
// the engines themselves say of their orders. So whoever orders can die at any step,
// and the next one goes on from what it reads, without repeating or losing a load;
// and an order of an old orderer that arrives late is read back and put right.
package rollout

import (
	"cmp"
	"slices"
)

// Target is where a model's engines are to be brought.
type Target struct {
	Version string
	// ConcurrentLoads bounds the engines that load at once, and MinServing is how many
	// keep serving.
	ConcurrentLoads, MinServing int
}

// Instance is what an engine says of itself, or that it said nothing.
type Instance struct {
	// Name and Model are declared.
	Name, Model string
	// ChecksOrders is declared: the engine refuses orders with old tokens.
	ChecksOrders bool
	// Reachable is true when the engine answered; the fields below hold only then.
	Reachable bool
	// Version is what it serves, and Loading what it loads, or empty.
	Version, Loading string
	// Token is the highest that it has seen.
	Token uint64
	// AwaitingDrain is true while the engine is not to be ordered yet, because requests are still
	// being sent to it.
	AwaitingDrain bool
	// LoadOverdue is true when it has been loading for so long that it may never end: it holds no
	// place that another engine could load in.
	LoadOverdue bool
}

// Controller is who gives orders. It is a plain value.
type Controller struct {
	// Token fences its orders.
	Token uint64
	// PredecessorStopped is set once the orderer before has certainly stopped: engines that do
	// not check orders get none until then.
	PredecessorStopped bool
}

// Order tells one engine to serve a version.
type Order struct{ Name, Model, Version string }

// Plan returns the orders to give now, in the order of names. An engine that checks
// orders and has not seen the orderer's token is told to go on as it is, so that it
// refuses whatever the orderer before may still send.
func Plan(instances []Instance, targets func(string) (Target, bool), by Controller) []Order {
	byModel := map[string][]Instance{}
	for _, i := range instances {
		byModel[i.Model] = append(byModel[i.Model], i)
	}
	var orders []Order
	for name, of := range byModel {
		target, ok := targets(name)
		if ok {
			orders = append(orders, planModel(of, target, by)...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Name, b.Name) })
	return orders
}

func planModel(instances []Instance, target Target, by Controller) []Order {
	wanted := target.Version
	loading, serving := 0, 0
	for _, i := range instances {
		switch {
		case i.LoadOverdue:
		case i.Reachable && i.Loading != "":
			loading++
		case i.Reachable:
			serving++
		default:
			// It may be loading: an engine that does not answer holds a place.
			loading++
		}
	}
	var orders []Order
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	for _, i := range instances {
		mayOrder := i.Reachable && !i.AwaitingDrain && (i.ChecksOrders || by.PredecessorStopped)
		if !mayOrder {
			continue
		}
		if i.Loading != "" && i.Loading != wanted {
			// An order that is no longer wanted: it holds its place already.
			orders = append(orders, Order{i.Name, i.Model, wanted})
			continue
		}
		full := loading >= target.ConcurrentLoads || serving <= target.MinServing
		if i.Loading != "" || i.Version == wanted || full {
			if i.ChecksOrders && i.Token < by.Token {
				orders = append(orders, Order{i.Name, i.Model, cmp.Or(i.Loading, i.Version)})
			}
			continue
		}
		loading++
		serving--
		orders = append(orders, Order{i.Name, i.Model, wanted})
	}
	return orders
}
