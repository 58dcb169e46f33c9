package deployment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError says which field of a configuration is wrong, and why.
type FieldError struct {
	// Field is the place, such as "routes[3].timeout".
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fault(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Check returns the first fault of a configuration as a *FieldError, and prepares the
// lookups. It must be called once, before the configuration is shared.
func (c *Config) Check() error {
	c.noteRanks()
	c.noteStores()
	err := c.checkRoutes()
	if err != nil {
		return err
	}
	return c.checkTeams()
}

func (c *Config) noteStores() {
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
		place := [2]string{r.Host, r.Prefix}
		if seen[place] {
			return fault(field+".prefix", "host %q and prefix %q stand in an earlier route as well", r.Host, r.Prefix)
		}
		seen[place] = true
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
		return fault(field+".host", "is missing")
	case !strings.HasPrefix(r.Prefix, "/"):
		return fault(field+".prefix", "%q does not begin with a slash", r.Prefix)
	case r.Kind == 0:
		return fault(field+".kind", "is missing or unknown")
	case r.Timeout <= 0:
		return fault(field+".timeout", "must be above 0")
	case len(r.Targets) == 0:
		return fault(field+".targets", "names no service")
	}
	sum := 0.0
	for _, t := range r.Targets {
		service, ok := c.Services[t.Service]
		if !ok || service.Store != nil {
			return fault(field+".targets", "there is no service %q", t.Service)
		}
		if t.Weight < 0 {
			return fault(field+".targets", "the weight of %q is below 0", t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return fault(field+".targets", "the weights sum to 0")
	}
	return nil
}

func (c *Config) checkTeams() error {
	c.teams = map[string]int{}
	for i, t := range c.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" {
			return fault(field+".name", "is missing")
		}
		for _, key := range t.Keys {
			if other, ok := c.teams[key]; ok && other != i {
				return fault(field+".keys", "a key belongs to team %q as well", c.Teams[other].Name)
			}
			c.teams[key] = i
		}
	}
	return nil
}

// Route returns the route of a host and path: the one whose prefix is longest.
func (c *Config) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasTeams reports whether callers need a key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }

// TeamByKey returns the team to which a key belongs.
func (c *Config) TeamByKey(key string) (Team, bool) {
	i, ok := c.teams[key]
	if !ok || key == "" {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Service returns the service that takes a request; draw is even in [0,1).
func (r Route) Service(draw float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * sum
	for _, t := range r.Targets {
		at -= t.Weight
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
