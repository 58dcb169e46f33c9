package callerlimits

import "github.com/prometheus/client_golang/prometheus"

// limit is the name of a limit in log lines and metrics.
type limit string

const (
	idleTimeout   limit = "idle_timeout"
	newTimeout    limit = "new_connection_timeout"
	headerTimeout limit = "header_timeout"
	bodyTimeout   limit = "body_timeout"
	headerBytes   limit = "header_bytes"
)

// Metrics holds the metrics of a Limiter. Create one with NewMetrics.
type Metrics struct {
	closed *prometheus.CounterVec
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_callers_limited_total", Help: "Callers' connections that were closed for a limit of the configuration."}, []string{"limit"}),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector { return []prometheus.Collector{m.closed} }
