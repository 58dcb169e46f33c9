package deployment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/shedrock/shedrock/internal/state/residency"
)

// FieldError is the error for an invalid field of a configuration.
type FieldError struct {
	// Field is the path of the field, such as "routes[3].timeout".
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func newFieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Check validates a configuration and builds its lookup tables. It returns the first error, which is a
// *FieldError. It must be called once, before the configuration is shared.
func (c *Config) Check() error {
	c.collectRanks()
	c.indexStores()
	c.collectTiers()
	c.collectSharing()
	err := c.checkRoutes()
	if err != nil {
		return err
	}
	return c.checkTeams()
}

func (c *Config) indexStores() {
	c.stores = map[string]Store{}
	for _, s := range c.Services {
		if s.Store != nil {
			c.stores[s.Store.Address] = *s.Store
		}
	}
}

func (c *Config) checkRoutes() error {
	c.routes = map[string][]Route{}
	seen := map[[2]string]bool{}
	for i, r := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		err := c.checkRoute(field, r)
		if err != nil {
			return err
		}
		match := [2]string{r.Host, r.Prefix}
		if seen[match] {
			return newFieldError(field+".prefix", "host %q and prefix %q stand in an earlier route as well", r.Host, r.Prefix)
		}
		seen[match] = true
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, routes := range c.routes {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (c *Config) checkRoute(field string, r Route) error {
	switch {
	case r.Host == "":
		return newFieldError(field+".host", "is missing")
	case !strings.HasPrefix(r.Prefix, "/"):
		return newFieldError(field+".prefix", "%q does not begin with a slash", r.Prefix)
	case r.Kind == 0:
		return newFieldError(field+".kind", "is missing or unknown")
	case r.Timeout <= 0:
		return newFieldError(field+".timeout", "must be above 0")
	case len(r.Targets) == 0:
		return newFieldError(field+".targets", "names no service")
	}
	err := checkRegionList(field, r.AllowedRegions)
	if err != nil {
		return err
	}
	sum := 0.0
	for _, t := range r.Targets {
		service, ok := c.Services[t.Service]
		if !ok || service.Store != nil {
			return newFieldError(field+".targets", "there is no service %q", t.Service)
		}
		if t.Weight < 0 {
			return newFieldError(field+".targets", "the weight of %q is below 0", t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return newFieldError(field+".targets", "the weights sum to 0")
	}
	return nil
}

func (c *Config) checkTeams() error {
	c.teamIndexes = map[string]int{}
	for i, t := range c.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" {
			return newFieldError(field+".name", "is missing")
		}
		err := checkRegionList(field, t.AllowedRegions)
		if err != nil {
			return err
		}
		for _, key := range t.Keys {
			if other, ok := c.teamIndexes[key]; ok && other != i {
				return newFieldError(field+".keys", "a key belongs to team %q as well", c.Teams[other].Name)
			}
			c.teamIndexes[key] = i
		}
	}
	return nil
}

// checkRegionList checks the list of allowed regions of the route or team at field. An empty list
// would allow no region at all, which is taken for a mistake.
func checkRegionList(field string, list []string) error {
	if list != nil && len(list) == 0 {
		return newFieldError(field+".allowed_regions", "is empty; leave it out to allow all regions")
	}
	if slices.Contains(list, "") {
		return newFieldError(field+".allowed_regions", "contains an empty name")
	}
	return nil
}

// CheckRegions checks that every allowed region is the region of some failure domain. It is not a
// part of Check, because a process may know of a failure domain later than another. It does not
// check anything if no regions are known.
func (c *Config) CheckRegions(known residency.Regions) error {
	if len(known) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, region := range known {
		names[region] = true
	}
	check := func(field string, list []string) error {
		for _, region := range list {
			if !names[region] {
				return newFieldError(field+".allowed_regions", "there is no region %q", region)
			}
		}
		return nil
	}
	for i, r := range c.Routes {
		err := check(fmt.Sprintf("routes[%d]", i), r.AllowedRegions)
		if err != nil {
			return err
		}
	}
	for i, t := range c.Teams {
		err := check(fmt.Sprintf("teams[%d]", i), t.AllowedRegions)
		if err != nil {
			return err
		}
	}
	return nil
}

// Route returns the route of a host and path, which is the one with the longest matching prefix.
func (c *Config) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasTeams reports whether there are teams, in which case callers need a key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }

// TeamByKey returns the team that a key belongs to.
func (c *Config) TeamByKey(key string) (Team, bool) {
	i, ok := c.teamIndexes[key]
	if !ok || key == "" {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Service returns the service for a request, chosen by the weights of the targets. draw is a uniformly
// distributed random number in [0,1).
func (r Route) Service(draw float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point := draw * sum
	for _, t := range r.Targets {
		point -= t.Weight
		if point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
