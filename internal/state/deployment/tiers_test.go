package deployment_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
)

// Guards against decisions under contention taking effect for services that are not configured for them:
// other ranks, other kinds of route and targets without weight must not count.
func TestTieredServices(t *testing.T) {
	stream := func(rank int, service string, weight float64) deployment.Route {
		r := route("", "")
		r.Prefix = "/" + string(rune('a'+rank)) + service + "/"
		r.Kind = deployment.Stream
		r.Rank = rank
		r.Targets = []deployment.Target{{Service: service, Weight: weight}, {Service: "s", Weight: 1}}
		return r
	}
	once := stream(2, "two", 1)
	once.Prefix = "/once/"
	once.Kind = deployment.Once
	c := config(
		stream(0, "three", 1), stream(1, "three", 1), stream(4, "three", 1),
		stream(0, "two", 1), stream(1, "two", 1), once,
		stream(3, "unweighted", 0), stream(1, "unweighted", 1), stream(2, "unweighted", 1),
	)
	for _, name := range []string{"three", "two", "unweighted"} {
		c.Services[name] = deployment.Service{Name: name, Engine: &deployment.Engine{}}
	}
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	got := map[string]bool{}
	for name := range c.Services {
		got[name] = c.Tiered(name)
	}
	want := map[string]bool{"three": true, "two": false, "unweighted": false, "s": false, "store": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !c.AnyTiered() {
		t.Error("no service is tiered")
	}
}
