package rollout_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/rollout"
)

// targets returns a target for every model: the version, two concurrent loads and three serving
// engines.
func targets(version string) func(string) (rollout.Target, bool) {
	return func(string) (rollout.Target, bool) {
		return rollout.Target{Version: version, ConcurrentLoads: 2, MinServing: 3}, true
	}
}

func instance(name, version, loading string) rollout.Instance {
	return rollout.Instance{Name: name, Model: "m", ChecksOrders: true, Reachable: true, Version: version, Loading: loading}
}

func TestPlan(t *testing.T) {
	unchecked := instance("a", "v1", "")
	unchecked.ChecksOrders = false
	unreachable := rollout.Instance{Name: "a", Model: "m", ChecksOrders: true}
	overdue := instance("a", "v1", "v2")
	overdue.LoadOverdue = true
	cases := []struct {
		name      string
		instances []rollout.Instance
		unchecked bool
		token     uint64
		want      []rollout.Order
	}{
		{"two concurrent loads", []rollout.Instance{instance("a", "v1", ""), instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}, {Name: "b", Model: "m", Version: "v2"}}},
		{"min serving is kept", []rollout.Instance{instance("a", "v1", ""), instance("b", "v1", ""), instance("c", "v2", ""), instance("d", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}}},
		{"one is already loading", []rollout.Instance{instance("a", "v1", "v2"), instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"an outdated order is corrected", []rollout.Instance{instance("a", "v2", "v1"), instance("b", "v2", ""), instance("c", "v2", ""), instance("d", "v2", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}}},
		{"an unreachable engine may be loading", []rollout.Instance{unreachable, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"an overdue load does not count as concurrent", []rollout.Instance{overdue, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", ""), instance("f", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}, {Name: "c", Model: "m", Version: "v2"}}},
		{"an engine with an overdue load does not count as serving", []rollout.Instance{overdue, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", "")}, true, 0, nil},
		{"an engine that does not check orders waits", []rollout.Instance{unchecked, instance("b", "v1", ""), instance("c", "v2", ""), instance("d", "v2", ""), instance("e", "v2", "")}, false, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"nothing to do", []rollout.Instance{instance("a", "v2", ""), instance("b", "v2", "")}, true, 0, nil},
		{"a new controller announces its token", []rollout.Instance{instance("a", "v2", ""), instance("b", "v1", "v2"), instance("c", "v1", "")}, true, 7,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}, {Name: "b", Model: "m", Version: "v2"}, {Name: "c", Model: "m", Version: "v1"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, rollout.Plan(c.instances, targets("v2"), rollout.Controller{Token: c.token, PredecessorStopped: c.unchecked})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestRolloutSurvivesControllerCrashes checks a rollout in which the controller crashes between
// orders, loads end at any time and engines stop answering. At most two engines may load at once,
// at least three must keep serving, and in the end all must serve the target version.
func TestRolloutSurvivesControllerCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := targets("v2")
		var engines []rollout.Instance
		for i := range 8 {
			engines = append(engines, instance(fmt.Sprint("e", i), "v1", ""))
		}
		unreachable := -1
		observe := func() []rollout.Instance {
			out := append([]rollout.Instance(nil), engines...)
			if unreachable >= 0 {
				out[unreachable] = rollout.Instance{Name: out[unreachable].Name, Model: "m", ChecksOrders: true}
			}
			return out
		}
		apply := func(o rollout.Order) {
			for i := range engines {
				if engines[i].Name == o.Name && engines[i].Version != o.Version {
					engines[i].Loading = o.Version
				} else if engines[i].Name == o.Name {
					engines[i].Loading = ""
				}
			}
		}
		check := func() {
			loading := 0
			for _, e := range engines {
				if e.Loading != "" {
					loading++
				}
			}
			if loading > 2 || len(engines)-loading < 3 {
				t.Fatalf("%d engines load at once: %+v", loading, engines)
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1: // a controller reads and issues only some of its orders
				orders := rollout.Plan(observe(), target, rollout.Controller{PredecessorStopped: true})
				for _, o := range orders[:rapid.IntRange(0, len(orders)).Draw(t, "given")] {
					apply(o)
					check()
				}
			case 2: // a load ends
				i := rapid.IntRange(0, 7).Draw(t, "engine")
				if engines[i].Loading != "" {
					engines[i].Version, engines[i].Loading = engines[i].Loading, ""
				}
			case 3:
				unreachable = rapid.IntRange(-1, 7).Draw(t, "unreachable")
			}
		}
		unreachable = -1
		for range 20 {
			for _, o := range rollout.Plan(observe(), target, rollout.Controller{PredecessorStopped: true}) {
				apply(o)
				check()
			}
			for i := range engines {
				if engines[i].Loading != "" {
					engines[i].Version, engines[i].Loading = engines[i].Loading, ""
				}
			}
		}
		for _, e := range engines {
			if e.Version != "v2" {
				t.Fatalf("the rollout did not complete: %+v", engines)
			}
		}
	})
}
