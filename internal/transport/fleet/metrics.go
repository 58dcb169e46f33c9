package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of departures. Create one with NewMetrics.
type Metrics struct {
	confirmations *prometheus.HistogramVec
	known         prometheus.Histogram
}

// NewMetrics returns metrics that count from 0.
func NewMetrics() *Metrics {
	return &Metrics{
		confirmations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shedrock_departure_confirmation_seconds", Help: "From the report of a departure to the decision on its acknowledgement: confirmed, or refused because too few other control instances hold it.",
			// From 1 ms to 1 s.
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 11),
		}, []string{"outcome"}),
		known: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shedrock_departure_known_seconds", Help: "From the first report of a departure until this process knows of it.",
			// From 10 ms to 20 s.
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
	}
}

// Collectors returns all metrics.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.confirmations, m.known}
}

func (m *Metrics) observeConfirmation(confirmed bool, took time.Duration) {
	if m == nil {
		return
	}
	outcome := "refused"
	if confirmed {
		outcome = "confirmed"
	}
	m.confirmations.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *Metrics) observeKnown(age time.Duration) {
	if m != nil {
		m.known.Observe(age.Seconds())
	}
}
