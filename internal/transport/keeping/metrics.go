package keeping

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
)

// Metrics counts the saves that are recorded. Create one with NewMetrics. A nil Metrics counts nothing.
type Metrics struct {
	saves   *prometheus.CounterVec
	pending prometheus.Gauge
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		saves:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_saves_total", Help: "Saves of parts to stores that entries asked for, by the result."}, []string{"result"}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{Name: "shedrock_saves_pending", Help: "Saves of parts to stores that may still be written. Their parts are not fetched."}),
	}
}

// Collectors returns the metrics.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.saves, m.pending}
}

func (m *Metrics) countSave(result keeping.SaveResult) {
	if m != nil {
		m.saves.WithLabelValues(result.String()).Inc()
	}
}

func (m *Metrics) setPending(n int) {
	if m != nil {
		m.pending.Set(float64(n))
	}
}
