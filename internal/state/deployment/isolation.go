package deployment

import (
	"slices"

	"github.com/shedrock/shedrock/internal/state/isolation"
)

// ContextTeams returns the names of the teams by whether they share cached context.
func (c *Config) ContextTeams() isolation.Teams {
	var out isolation.Teams
	for name, shares := range c.sharing {
		if shares {
			out.Sharing = append(out.Sharing, name)
		} else {
			out.Isolated = append(out.Isolated, name)
		}
	}
	slices.Sort(out.Sharing)
	slices.Sort(out.Isolated)
	return out
}

// SharesContext reports whether a team shares cached context with others. An empty name stands for
// callers without a team. A team that is not declared shares with no other.
func (c *Config) SharesContext(team string) bool { return team == "" || c.sharing[team] }

// WithSharedSince returns a copy of a checked configuration with another SharedSince.
func (c *Config) WithSharedSince(version uint64) *Config {
	out := *c
	out.SharedSince = version
	return &out
}

// collectSharing builds the lookup table of teams that share cached context.
func (c *Config) collectSharing() {
	c.sharing = map[string]bool{}
	for _, t := range c.Teams {
		shares, known := c.sharing[t.Name]
		c.sharing[t.Name] = !t.Isolated && (shares || !known)
	}
}
