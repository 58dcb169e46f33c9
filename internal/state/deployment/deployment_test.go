package deployment_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/residency"
)

func route(name, prefix string) deployment.Route {
	return deployment.Route{
		Name: name, Host: "h", Prefix: prefix, Kind: deployment.Once, Timeout: time.Second,
		Targets: []deployment.Target{{Service: "s", Weight: 1}},
	}
}

func config(routes ...deployment.Route) *deployment.Config {
	return &deployment.Config{
		Version: 1, Routes: routes,
		Services: map[string]deployment.Service{"s": {Name: "s"}, "store": {Name: "store", Store: &deployment.Store{}}},
		Teams:    []deployment.Team{{Name: "a", Keys: []string{"ka", "kb"}}, {Name: "b", Keys: []string{"kc"}}},
	}
}

func TestCheckReportsInvalidField(t *testing.T) {
	cases := []struct {
		name   string
		change func(*deployment.Config)
		want   string
	}{
		{"valid", func(*deployment.Config) {}, ""},
		{"unknown service", func(c *deployment.Config) { c.Routes[1].Targets[0].Service = "x" }, `routes[1].targets: there is no service "x"`},
		{"a store", func(c *deployment.Config) { c.Routes[1].Targets[0].Service = "store" }, `routes[1].targets: there is no service "store"`},
		{"same host and prefix", func(c *deployment.Config) { c.Routes[1].Prefix = "/" }, `routes[1].prefix: host "h" and prefix "/" stand in an earlier route as well`},
		{"no weight", func(c *deployment.Config) { c.Routes[0].Targets[0].Weight = 0 }, "routes[0].targets: the weights sum to 0"},
		{"no timeout", func(c *deployment.Config) { c.Routes[0].Timeout = 0 }, "routes[0].timeout: must be above 0"},
		{"a route with an empty list of regions", func(c *deployment.Config) { c.Routes[1].AllowedRegions = []string{} }, "routes[1].allowed_regions: is empty; leave it out to allow all regions"},
		{"a team with an empty region", func(c *deployment.Config) { c.Teams[1].AllowedRegions = []string{""} }, "teams[1].allowed_regions: contains an empty name"},
		{"a key of two teams", func(c *deployment.Config) { c.Teams[1].Keys = []string{"ka"} }, `teams[1].keys: a key belongs to team "a" as well`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := config(route("all", "/"), route("deep", "/a/"))
			c.change(in)
			got := ""
			err := in.Check()
			if err != nil {
				var field *deployment.FieldError
				if !errors.As(err, &field) {
					t.Fatalf("%T is not a field error", err)
				}
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLongestPrefixWins(t *testing.T) {
	c := config(route("all", "/"), route("deeper", "/a/b/"), route("deep", "/a/"))
	err := c.Check()
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/x": "all", "/a/x": "deep", "/a/b/x": "deeper", "/a/b": "deep"} {
		r, _ := c.Route("h", path)
		if diff := cmp.Diff(want, r.Name); diff != "" {
			t.Errorf("%s: %s", path, diff)
		}
	}
	if _, ok := c.Route("other", "/"); ok {
		t.Error("another host has a route")
	}
}

func TestKeysBelongToTeams(t *testing.T) {
	c := config(route("all", "/"))
	err := c.Check()
	if err != nil {
		t.Fatal(err)
	}
	team, ok := c.TeamByKey("kb")
	if diff := cmp.Diff("a", team.Name); diff != "" || !ok {
		t.Error(diff)
	}
	for _, key := range []string{"", "k", "kcc"} {
		if _, ok := c.TeamByKey(key); ok {
			t.Errorf("key %q is known", key)
		}
	}
}

// A team's rank takes precedence over the route's, which decides among teams of equal rank.
func TestUrgency(t *testing.T) {
	rank := func(n int) *int { return &n }
	c := config(route("short", "/s/"), route("long", "/l/"))
	c.Routes[1].Rank = 4
	c.Teams = []deployment.Team{{Name: "first", Rank: rank(1)}, {Name: "second", Rank: rank(7)}, {Name: "none"}}
	err := c.Check()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for _, team := range c.Teams {
		for _, r := range c.Routes {
			got[team.Name+" "+r.Name] = c.Urgency(team, r)
		}
	}
	want := map[string]int{"first short": 0, "first long": 1, "second short": 2, "second long": 3, "none short": 0, "none long": 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Any number of ranks is mapped to at most ten urgency levels, in order.
func TestUrgencyOfManyRanks(t *testing.T) {
	c := config()
	for i := range 6 {
		r := route(string(rune('a'+i)), "/"+string(rune('a'+i))+"/")
		r.Rank = i
		c.Routes = append(c.Routes, r)
	}
	c.Teams = nil
	for i := range 5 {
		c.Teams = append(c.Teams, deployment.Team{Name: string(rune('A' + i)), Rank: &i})
	}
	err := c.Check()
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, team := range c.Teams {
		for _, r := range c.Routes {
			urgency := c.Urgency(team, r)
			if urgency < last || urgency > deployment.LeastUrgent {
				t.Fatalf("%s %s has urgency %d after %d", team.Name, r.Name, urgency, last)
			}
			last = urgency
		}
	}
	if diff := cmp.Diff(deployment.LeastUrgent, last); diff != "" {
		t.Error(diff)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := deployment.Route{Targets: []deployment.Target{{Service: "a", Weight: 3}, {Service: "b"}, {Service: "c", Weight: 1}}}
	got := map[string]int{}
	for i := range 100 {
		got[r.Service(float64(i)/100)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 75, "c": 25}, got); diff != "" {
		t.Error(diff)
	}
}

// A region that no failure domain belongs to is reported with the field that names it. Without known
// regions nothing is checked.
func TestCheckRegionsReportsUnknownRegion(t *testing.T) {
	known := residency.Regions{"d1": "north", "d2": "south"}
	cases := []struct {
		name   string
		change func(*deployment.Config)
		want   string
	}{
		{"known", func(c *deployment.Config) { c.Teams[0].AllowedRegions = []string{"south", "north"} }, ""},
		{"of a route", func(c *deployment.Config) { c.Routes[1].AllowedRegions = []string{"north", "west"} }, `routes[1].allowed_regions: there is no region "west"`},
		{"of a team", func(c *deployment.Config) { c.Teams[1].AllowedRegions = []string{"d1"} }, `teams[1].allowed_regions: there is no region "d1"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := config(route("all", "/"), route("deep", "/a/"))
			c.change(in)
			got := ""
			err := in.CheckRegions(known)
			if err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			err = in.CheckRegions(nil)
			if err != nil {
				t.Errorf("without known regions: %v", err)
			}
		})
	}
}
