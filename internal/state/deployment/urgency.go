package deployment

import "slices"

// LeastUrgent is the last urgency that engines know; 0 is the first.
const LeastUrgent = 9

// Urgency returns the place of a request in an engine's queue, from 0 to LeastUrgent: by
// the rank of its team, and among requests of equal teams by the rank of its route. Routes
// of short and pressing requests have the lower ranks, and wait behind long ones otherwise.
func (c *Config) Urgency(team Team, route Route) int {
	teams := len(c.teamRanks)
	routes := len(c.routeRanks)
	at := slices.Index(c.routeRanks, route.Rank)
	// A team without a rank of its own goes by the route's alone, as the first one would.
	if team.Rank != nil {
		at += slices.Index(c.teamRanks, *team.Rank) * routes
	}
	places := max(teams, 1) * routes
	if places <= LeastUrgent+1 {
		return max(at, 0)
	}
	return max(at, 0) * (LeastUrgent + 1) / places
}

// noteRanks lists the ranks in use, each once, the most urgent first.
func (c *Config) noteRanks() {
	c.teamRanks, c.routeRanks = nil, nil
	for _, t := range c.Teams {
		if t.Rank != nil {
			c.teamRanks = append(c.teamRanks, *t.Rank)
		}
	}
	for _, r := range c.Routes {
		c.routeRanks = append(c.routeRanks, r.Rank)
	}
	slices.Sort(c.teamRanks)
	slices.Sort(c.routeRanks)
	c.teamRanks = slices.Compact(c.teamRanks)
	c.routeRanks = slices.Compact(c.routeRanks)
}
