package rollout_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/rollout"
)

// models wants one version of a model that loads two at a time and keeps three serving.
func models(version string) func(string) (rollout.Target, bool) {
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
	silent := rollout.Instance{Name: "a", Model: "m", ChecksOrders: true}
	overdue := instance("a", "v1", "v2")
	overdue.LoadOverdue = true
	cases := []struct {
		name      string
		instances []rollout.Instance
		unchecked bool
		token     uint64
		want      []rollout.Order
	}{
		{"two at once", []rollout.Instance{instance("a", "v1", ""), instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}, {Name: "b", Model: "m", Version: "v2"}}},
		{"enough keep serving", []rollout.Instance{instance("a", "v1", ""), instance("b", "v1", ""), instance("c", "v2", ""), instance("d", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}}},
		{"one loads already", []rollout.Instance{instance("a", "v1", "v2"), instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"a stale order is put right", []rollout.Instance{instance("a", "v2", "v1"), instance("b", "v2", ""), instance("c", "v2", ""), instance("d", "v2", "")}, true, 0,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}}},
		{"one that is silent may be loading", []rollout.Instance{silent, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"one whose load does not end holds no place", []rollout.Instance{overdue, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", ""), instance("e", "v1", ""), instance("f", "v1", "")}, true, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}, {Name: "c", Model: "m", Version: "v2"}}},
		{"one whose load does not end serves nobody", []rollout.Instance{overdue, instance("b", "v1", ""), instance("c", "v1", ""), instance("d", "v1", "")}, true, 0, nil},
		{"one that does not check waits", []rollout.Instance{unchecked, instance("b", "v1", ""), instance("c", "v2", ""), instance("d", "v2", ""), instance("e", "v2", "")}, false, 0,
			[]rollout.Order{{Name: "b", Model: "m", Version: "v2"}}},
		{"nothing to do", []rollout.Instance{instance("a", "v2", ""), instance("b", "v2", "")}, true, 0, nil},
		{"a new orderer makes itself known", []rollout.Instance{instance("a", "v2", ""), instance("b", "v1", "v2"), instance("c", "v1", "")}, true, 7,
			[]rollout.Order{{Name: "a", Model: "m", Version: "v2"}, {Name: "b", Model: "m", Version: "v2"}, {Name: "c", Model: "m", Version: "v1"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, rollout.Plan(c.instances, models("v2"), rollout.Controller{Token: c.token, PredecessorStopped: c.unchecked})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestRolloutSurvivesItsOrderer gives orders that may be lost, has loads end at any
// time, engines fall silent, and old orders arrive late: never more than two load,
// three keep serving, and in the end all serve the wanted version.
func TestRolloutSurvivesItsOrderer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := models("v2")
		var engines []rollout.Instance
		for i := range 8 {
			engines = append(engines, instance(fmt.Sprint("e", i), "v1", ""))
		}
		silent := -1
		seen := func() []rollout.Instance {
			out := append([]rollout.Instance(nil), engines...)
			if silent >= 0 {
				out[silent] = rollout.Instance{Name: out[silent].Name, Model: "m", ChecksOrders: true}
			}
			return out
		}
		give := func(o rollout.Order) {
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
				t.Fatalf("%d load: %+v", loading, engines)
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1: // an orderer reads and orders, and dies after some of it
				orders := rollout.Plan(seen(), wanted, rollout.Controller{PredecessorStopped: true})
				for _, o := range orders[:rapid.IntRange(0, len(orders)).Draw(t, "given")] {
					give(o)
					check()
				}
			case 2: // a load ends
				i := rapid.IntRange(0, 7).Draw(t, "engine")
				if engines[i].Loading != "" {
					engines[i].Version, engines[i].Loading = engines[i].Loading, ""
				}
			case 3:
				silent = rapid.IntRange(-1, 7).Draw(t, "silent")
			}
		}
		silent = -1
		for range 20 {
			for _, o := range rollout.Plan(seen(), wanted, rollout.Controller{PredecessorStopped: true}) {
				give(o)
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
				t.Fatalf("the rollout did not end: %+v", engines)
			}
		}
	})
}
