package deployment

import "slices"

// LeastUrgent is the least urgent level that engines support; 0 is the most urgent.
const LeastUrgent = 9

// Urgency returns the urgency of a request in an engine's queue, from 0 to LeastUrgent. It is ordered
// by the rank of the team, and for equal ranks by the rank of the route. Routes of short, urgent
// requests have lower ranks; otherwise these would wait behind long requests.
func (c *Config) Urgency(team Team, route Route) int {
	teams := len(c.teamRanks)
	routes := len(c.routeRanks)
	level := slices.Index(c.routeRanks, route.Rank)
	// A team without a rank is treated like one with the most urgent rank, so that only the route's rank counts.
	if team.Rank != nil {
		level += slices.Index(c.teamRanks, *team.Rank) * routes
	}
	levels := max(teams, 1) * routes
	if levels <= LeastUrgent+1 {
		return max(level, 0)
	}
	return max(level, 0) * (LeastUrgent + 1) / levels
}

// collectRanks sets the distinct ranks in use, the most urgent first.
func (c *Config) collectRanks() {
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
