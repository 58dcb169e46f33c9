package streams

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the origins of streams that an entry shares and looks up. Create one with NewMetrics.
type Metrics struct {
	shared, unshared prometheus.Counter
	resumed          *prometheus.CounterVec
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		shared:   prometheus.NewCounter(prometheus.CounterOpts{Name: "shedrock_stream_origins_shared_total", Help: "Origins of streams that control instances took, once for each of them."}),
		unshared: prometheus.NewCounter(prometheus.CounterOpts{Name: "shedrock_stream_origins_not_shared_total", Help: "Origins of streams that a control instance did not take, or that were dropped."}),
		resumed:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_streams_resumed_total", Help: "Streams that callers resume, by how their origin is known."}, []string{"service", "origin"}),
	}
}

// Collectors returns the metrics.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.shared, m.unshared, m.resumed}
}
