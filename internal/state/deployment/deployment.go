// Package deployment holds the configuration of a deployment whose upstreams
// register themselves: routes, services, teams and limits under one increasing version.
//
// A Config is immutable after Check. A serving process replaces it as a whole, so no request
// sees a mix of two versions.
package deployment

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/residency"
)

// Kind determines how often a request on a route may run, and how it is answered.
type Kind int

// The kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests are answered by a stream of numbered events.
	Stream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Once:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; the one with the highest version is in force.
	Version uint64
	Routes  []Route
	// Services are by name.
	Services map[string]Service
	Teams    []Team
	Limits   Limits
	// SharedSince is the version since which its teams share cached context, at most Version. It is no part of
	// the operator's text: the control log derives it from all versions.
	SharedSince uint64

	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]Route
	// teamRanks and routeRanks hold the distinct ranks in use, in ascending order.
	teamRanks, routeRanks []int
	// teamIndexes maps each key to the index of its team in Teams.
	teamIndexes map[string]int
	// sharing holds each team by its name, and whether it shares cached context.
	sharing map[string]bool
	// stores are by address.
	stores map[string]Store
	// tiered holds the tiered services.
	tiered map[string]bool
}

// Stores returns the stores by their addresses. The caller must not modify the map.
func (c *Config) Stores() map[string]Store { return c.stores }

// Route defines how requests to a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective for an answer, or for its first event.
	Objective time.Duration
	// GapObjective is the latency objective for the time between two events of an answer.
	GapObjective time.Duration
	// Rank is 0 for the most urgent requests.
	Rank int
	// Targets has at least one entry with a weight above 0.
	Targets []Target
	// Attempts is the maximum number of instances to which one request is sent.
	Attempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may continue at another instance after the last event.
	Resumable bool
	// AllowedRegions, if not nil, are the only regions in which requests may be served and their
	// context kept.
	AllowedRegions []string
}

// AllowsRetries reports whether a request on the route may run more than once.
func (r Route) AllowsRetries() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Residency returns in which regions the data of a team's requests on the route may be: the lists of
// both apply.
func (r Route) Residency(team Team) residency.Policy {
	return residency.NewPolicy(r.AllowedRegions, team.AllowedRegions)
}

// Target is a service that receives a share of a route's requests, proportional to Weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of identical instances, or a store.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one instance from all entries together.
	MaxConnections int
	// ColdRate is the maximum rate of requests to one instance while it is cold, in requests per second
	// from all entries together; 0 means no limit.
	ColdRate float64
	// ColdFor is how long an instance is cold after its start.
	ColdFor time.Duration
	// Engine is set for services that run models.
	Engine *Engine
	// Store is set for stores of cached context.
	Store *Store
}

// Engine describes the instances of a service that run models.
type Engine struct {
	Slots int
	// MemoryTokens is the memory in tokens, shared by running requests and cached context.
	MemoryTokens int
	TokenBytes   int
	Models       []string
}

// Store is a store of cached context. It does not evict anything by itself.
type Store struct {
	Address, FailureDomain string
	MemoryTokens           int
	// LinkRate is the bandwidth of its link in megabits per second, or 0 if it is not specified.
	LinkRate float64
	// FirstByte is the time that it takes to send the first byte of a part, or 0 if it is not specified.
	FirstByte time.Duration
}

// Team is a group of callers with its own keys.
type Team struct {
	Name string
	Keys []string
	// Rank, if set, takes precedence over the route's rank.
	Rank *int
	// Isolated teams do not share cached context with other teams.
	Isolated bool
	// AllowedRegions, if not nil, are the only regions in which the team's requests may be served and
	// their context kept.
	AllowedRegions []string
}

// Limits are the limits on a caller's requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
