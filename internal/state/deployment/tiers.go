package deployment

// minTiers is the number of distinct ranks from which the routes to a service compete for its engines
// in a way that the engines' own queues do not arbitrate.
const minTiers = 3

// Tiered reports whether the stream routes to an engine service have at least minTiers distinct ranks.
func (c *Config) Tiered(service string) bool { return c.tiered[service] }

// AnyTiered reports whether any service is tiered.
func (c *Config) AnyTiered() bool { return len(c.tiered) > 0 }

// collectTiers sets the tiered services.
func (c *Config) collectTiers() {
	ranks := map[string]map[int]bool{}
	for _, r := range c.Routes {
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			if c.Services[t.Service].Engine == nil || t.Weight <= 0 {
				continue
			}
			if ranks[t.Service] == nil {
				ranks[t.Service] = map[int]bool{}
			}
			ranks[t.Service][r.Rank] = true
		}
	}
	c.tiered = map[string]bool{}
	for service, distinct := range ranks {
		if len(distinct) >= minTiers {
			c.tiered[service] = true
		}
	}
}
