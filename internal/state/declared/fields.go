package declared

import "time"

type teamFields struct {
	Name       string   `yaml:"name"`
	KeyDigests []string `yaml:"key_digests"`
	Models     []string `yaml:"models"`
	Services   []string `yaml:"services"`
	Share      float64  `yaml:"share"`
	MaxQueued  int      `yaml:"max_queued"`
	TokenRate  float64  `yaml:"tokens_per_second"`
}

type modelFields struct {
	Name          string `yaml:"name"`
	WeightVersion string `yaml:"weight_version"`
	BytesPerToken int64  `yaml:"kv_bytes_per_token"`
	MaxTokens     int    `yaml:"max_prompt_tokens"`
	Loads         int    `yaml:"concurrent_loads"`
	MinServing    int    `yaml:"min_serving"`
}

type upstreamFields struct {
	Name          string  `yaml:"name"`
	Address       string  `yaml:"address"`
	FailureDomain string  `yaml:"failure_domain"`
	Model         string  `yaml:"model"`
	Slots         int     `yaml:"slots"`
	PrefillRate   float64 `yaml:"prefill_tokens_per_second"`
	LinkRate      float64 `yaml:"link_bytes_per_second"`
	ChecksOrders  bool    `yaml:"checks_orders"`
	Leaving       bool    `yaml:"leaving"`
}

type storeFields struct {
	Name          string  `yaml:"name"`
	Address       string  `yaml:"address"`
	FailureDomain string  `yaml:"failure_domain"`
	MemoryBytes   int64   `yaml:"memory_bytes"`
	DiskBytes     int64   `yaml:"disk_bytes"`
	LinkRate      float64 `yaml:"link_bytes_per_second"`
}

type serviceFields struct {
	Name      string        `yaml:"name"`
	Instances []string      `yaml:"instances"`
	OnceOnly  []string      `yaml:"not_repeatable"`
	Timeout   time.Duration `yaml:"timeout"`
}

type controlFields struct {
	Replicas        []replicaFields `yaml:"replicas"`
	Regions         []regionFields  `yaml:"regions"`
	RecomputeWeight float64         `yaml:"recompute_weight"`
	FirstTokenWt    float64         `yaml:"first_token_weight"`
	Retention       time.Duration   `yaml:"record_retention"`
}

type regionFields struct {
	Name           string   `yaml:"name"`
	FailureDomains []string `yaml:"failure_domains"`
}

type replicaFields struct {
	ID            uint64 `yaml:"id"`
	Address       string `yaml:"address"`
	FailureDomain string `yaml:"failure_domain"`
	Incarnation   string `yaml:"incarnation"`
}

// Team is a tenant: a group of callers that is isolated from all other teams.
type Team struct{ f teamFields }

// Name returns the team's name.
func (t Team) Name() string { return t.f.Name }

// KeyDigests returns the SHA-256 digests of the team's keys, in hexadecimal.
// Declared state never contains the keys themselves.
func (t Team) KeyDigests() []string { return t.f.KeyDigests }

// Share returns the team's weight in fair queuing, which is above 0; the default is 1.
func (t Team) Share() float64 {
	if t.f.Share == 0 {
		return 1
	}
	return t.f.Share
}

// MaxQueued returns how many of the team's requests may wait at one entry.
func (t Team) MaxQueued() int {
	if t.f.MaxQueued == 0 {
		return DefaultMaxQueued
	}
	return t.f.MaxQueued
}

// TokenRate returns the limit on the team's prompt and answer tokens per second, over all
// entries of a region together; 0 means no limit.
func (t Team) TokenRate() float64 { return t.f.TokenRate }

// DefaultMaxQueued is the limit of MaxQueued for a team that declares none.
const DefaultMaxQueued = 64

// MayUseModel reports whether the team may use the model.
func (t Team) MayUseModel(name string) bool { return contains(t.f.Models, name) }

// MayUseService reports whether the team may use the plain service.
func (t Team) MayUseService(name string) bool { return contains(t.f.Services, name) }

// Model is one language model with its declared weight version.
type Model struct{ f modelFields }

// Name returns the model's name.
func (m Model) Name() string { return m.f.Name }

// WeightVersion returns the weight version that new requests are to use.
func (m Model) WeightVersion() string { return m.f.WeightVersion }

// BytesPerToken returns the size of the KV cache in bytes per token.
func (m Model) BytesPerToken() int64 { return m.f.BytesPerToken }

// MaxPromptTokens returns the length in tokens of the longest prompt accepted.
func (m Model) MaxPromptTokens() int { return m.f.MaxTokens }

// DefaultConcurrentLoads is the number of replicas that load weights at once when the
// model declares none: loads slow down beyond two or three at once.
const DefaultConcurrentLoads = 2

// ConcurrentLoads returns how many replicas may load weights at once.
func (m Model) ConcurrentLoads() int {
	if m.f.Loads == 0 {
		return DefaultConcurrentLoads
	}
	return m.f.Loads
}

// MinServing returns the number of replicas that must keep serving during a rollout.
func (m Model) MinServing() int { return m.f.MinServing }

// Upstream is one model engine instance.
type Upstream struct{ f upstreamFields }

// Name returns the upstream's name.
func (u Upstream) Name() string { return u.f.Name }

// Address returns the upstream's "ip:port".
func (u Upstream) Address() string { return u.f.Address }

// FailureDomain returns the failure domain in which the upstream runs.
func (u Upstream) FailureDomain() string { return u.f.FailureDomain }

// Model returns the name of the model that the upstream serves.
func (u Upstream) Model() string { return u.f.Model }

// Slots returns the number of requests that the upstream runs concurrently.
func (u Upstream) Slots() int { return u.f.Slots }

// PrefillRate returns the upstream's prefill throughput in tokens per second.
func (u Upstream) PrefillRate() float64 { return u.f.PrefillRate }

// LinkRate returns the bandwidth of the upstream's network link in bytes per second.
func (u Upstream) LinkRate() float64 { return u.f.LinkRate }

// ChecksOrders reports whether the upstream rejects orders with outdated tokens.
func (u Upstream) ChecksOrders() bool { return u.f.ChecksOrders }

// Leaving reports whether the upstream is declared to be draining: it gets no new work.
func (u Upstream) Leaving() bool { return u.f.Leaving }

// Store is one instance that stores context in memory and on disk.
type Store struct{ f storeFields }

// Name returns the store's name.
func (s Store) Name() string { return s.f.Name }

// Address returns the store's "ip:port".
func (s Store) Address() string { return s.f.Address }

// FailureDomain returns the failure domain in which the store runs.
func (s Store) FailureDomain() string { return s.f.FailureDomain }

// LinkRate returns the bandwidth of the store's network link in bytes per second.
func (s Store) LinkRate() float64 { return s.f.LinkRate }

// Service is one plain service, which is not a model engine.
type Service struct{ f serviceFields }

// Name returns the service's name.
func (s Service) Name() string { return s.f.Name }

// Instances returns the address of each instance, as "ip:port".
func (s Service) Instances() []string { return s.f.Instances }

// DefaultServiceTimeout is the timeout of a call to a service that declares none.
const DefaultServiceTimeout = 30 * time.Second

// Timeout returns the timeout of one call.
func (s Service) Timeout() time.Duration {
	if s.f.Timeout == 0 {
		return DefaultServiceTimeout
	}
	return s.f.Timeout
}

// Repeatable reports whether a call may be sent more than once. path begins
// with a slash. Calls of every method are repeatable unless the service's
// once-only list has "METHOD PATH" or "METHOD *".
func (s Service) Repeatable(method, path string) bool {
	return !contains(s.f.OnceOnly, method+" "+path) && !contains(s.f.OnceOnly, method+" *")
}

// Control declares the control log's replicas, the regions and the routing weights.
type Control struct{ f controlFields }

// Replica is one declared replica of the control log.
type Replica struct{ f replicaFields }

// ID returns the replica's number, which is at least 1.
func (r Replica) ID() uint64 { return r.f.ID }

// Address returns the replica's "ip:port".
func (r Replica) Address() string { return r.f.Address }

// FailureDomain returns the failure domain in which the replica runs.
func (r Replica) FailureDomain() string { return r.f.FailureDomain }

// Incarnation returns the id of the data folder that may vote as this replica.
func (r Replica) Incarnation() string { return r.f.Incarnation }

// Replicas returns the declared replicas.
func (c Control) Replicas() []Replica {
	out := make([]Replica, 0, len(c.f.Replicas))
	for _, f := range c.f.Replicas {
		out = append(out, Replica{f})
	}
	return out
}

// Region returns the name of a failure domain's region. The entries of a region share a
// directory of stored context, upstreams and stores. All domains that no region declares
// belong to one region, whose name is empty.
func (c Control) Region(failureDomain string) string {
	for _, r := range c.f.Regions {
		if contains(r.FailureDomains, failureDomain) {
			return r.Name
		}
	}
	return ""
}

// RecomputeWeight returns the cost of one recomputed token in the routing score, in
// seconds.
func (c Control) RecomputeWeight() float64 { return c.f.RecomputeWeight }

// FirstTokenWeight returns the cost of one second to the first token in the routing
// score; the default is 1.
func (c Control) FirstTokenWeight() float64 {
	if c.f.FirstTokenWt == 0 {
		return 1
	}
	return c.f.FirstTokenWt
}

// DefaultRetention is the retention of at-most-once records when none is declared.
const DefaultRetention = 24 * time.Hour

// Retention returns how long at-most-once records are retained.
func (c Control) Retention() time.Duration {
	if c.f.Retention == 0 {
		return DefaultRetention
	}
	return c.f.Retention
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
