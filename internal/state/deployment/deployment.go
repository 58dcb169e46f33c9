// Package deployment holds one whole configuration of a deployment whose upstreams
// register themselves: routes, services, teams and limits under one rising version.
//
// A Config never changes after Check; whoever serves swaps it whole, so no request
// sees half of one version and half of another.
package deployment

import "time"

// Kind says how often a request on a route may run.
type Kind int

// The kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests are answered by a series of numbered events.
	Stream
)

// String returns the kind's name in logs and metrics.
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
	// Version orders configurations; the highest one holds.
	Version uint64
	Routes  []Route
	// Services are by name.
	Services map[string]Service
	Teams    []Team
	Limits   Limits

	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]Route
	// teamRanks and routeRanks hold the ranks in use, in order.
	teamRanks, routeRanks []int
	// teams holds the index of the team of each key.
	teams map[string]int
	// stores are by address.
	stores map[string]Store
}

// Stores returns the stores by their addresses; the map must not be changed.
func (c *Config) Stores() map[string]Store { return c.stores }

// Route says where requests to a host and path prefix run.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is in time.
	Objective time.Duration
	// GapObjective is the longest time between two events of an answer that is in time.
	GapObjective time.Duration
	// Rank is 0 for the most urgent requests.
	Rank int
	// Targets has at least one entry with a weight above 0.
	Targets []Target
	// Attempts is the largest number of instances to which one request is sent.
	Attempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may go on at another instance behind the last event.
	Resumable bool
}

// AllowsRetries reports whether a request on the route may run more than once.
func (r Route) AllowsRetries() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of alike instances, or a store.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one instance, from all entries together.
	MaxConnections int
	// ColdRate is how many requests a second one instance bears, from all entries together, while
	// it is cold; 0 is without a bound.
	ColdRate float64
	// ColdFor is for how long an instance is cold after its start.
	ColdFor time.Duration
	// Engine is set for services that run models.
	Engine *Engine
	// Store is set for stores of kept context.
	Store *Store
}

// Engine describes the instances of a service that run models.
type Engine struct {
	Slots int
	// MemoryTokens is shared by running requests and kept context.
	MemoryTokens int
	TokenBytes   int
	Models       []string
}

// Store is a store of kept context, which drops nothing by itself.
type Store struct {
	Address, FailureDomain string
	MemoryTokens           int
	// LinkRate is the speed of its link in megabits a second, or 0 when it is not told.
	LinkRate float64
}

// Team is a group of callers with keys of its own.
type Team struct {
	Name string
	Keys []string
	// Rank, when set, goes before the route's.
	Rank *int
	// Isolated teams share no kept context with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
