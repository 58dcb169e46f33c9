// Package rollout decides which engine loads which weight version next.
//
// It is stateless: each decision is made from the declared state and from what the engines report
// about their orders. A controller can therefore crash at any step, and the next one continues from
// what it reads, without repeating or losing a load. An order of an old controller that arrives
// late shows up in the engine's report and is corrected.
package rollout

import (
	"cmp"
	"slices"
)

// Target is the state that a model's engines are to reach.
type Target struct {
	Version string
	// ConcurrentLoads is the maximum number of engines that load at once, and MinServing the
	// minimum number that keep serving.
	ConcurrentLoads, MinServing int
}

// Instance is the reported state of an engine, or the fact that it did not answer.
type Instance struct {
	// Name and Model are declared.
	Name, Model string
	// ChecksOrders is declared: the engine rejects orders with an outdated fencing token.
	ChecksOrders bool
	// Reachable is true if the engine answered; the fields below are valid only then.
	Reachable bool
	// Version is the version that it serves; Loading is the version that it loads, or empty.
	Version, Loading string
	// Token is the highest fencing token that it has seen.
	Token uint64
	// AwaitingDrain is true while the engine must not be ordered yet, because requests are still
	// being sent to it.
	AwaitingDrain bool
	// LoadOverdue is true if the current load has taken so long that it may never end. Such an
	// engine does not count towards ConcurrentLoads.
	LoadOverdue bool
}

// Controller is the process that issues orders. It is a plain value.
type Controller struct {
	// Token is the fencing token of its orders.
	Token uint64
	// PredecessorStopped is true once the previous controller has certainly stopped. Engines that
	// do not check orders get none before that.
	PredecessorStopped bool
}

// Order tells an engine to serve a version.
type Order struct{ Name, Model, Version string }

// Plan returns the orders to issue now, sorted by name. An engine that checks orders and has not
// seen the controller's token yet is ordered to continue as it is, so that it rejects late orders
// of the previous controller.
func Plan(instances []Instance, targets func(string) (Target, bool), controller Controller) []Order {
	byModel := map[string][]Instance{}
	for _, i := range instances {
		byModel[i.Model] = append(byModel[i.Model], i)
	}
	var orders []Order
	for name, group := range byModel {
		target, ok := targets(name)
		if ok {
			orders = append(orders, planModel(group, target, controller)...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Name, b.Name) })
	return orders
}

func planModel(instances []Instance, target Target, controller Controller) []Order {
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
			// An engine that does not answer may be loading, so it counts as one.
			loading++
		}
	}
	var orders []Order
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	for _, i := range instances {
		canOrder := i.Reachable && !i.AwaitingDrain && (i.ChecksOrders || controller.PredecessorStopped)
		if !canOrder {
			continue
		}
		if i.Loading != "" && i.Loading != wanted {
			// The current load is outdated. Replacing it does not change the number of loads.
			orders = append(orders, Order{i.Name, i.Model, wanted})
			continue
		}
		atLimit := loading >= target.ConcurrentLoads || serving <= target.MinServing
		if i.Loading != "" || i.Version == wanted || atLimit {
			if i.ChecksOrders && i.Token < controller.Token {
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
