package detour

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/coordination/detour"
)

// Metrics holds the metrics of detours. Create one with NewMetrics.
type Metrics struct {
	// state is the state of the direct path to each service, and probes counts probes by their result.
	state  *prometheus.GaugeVec
	probes *prometheus.CounterVec
	// held counts attempts that waited for an instance to respond again, by what became of them.
	held *prometheus.CounterVec
	// detours counts attempts at peers by their result, and acceptSeconds has how long peers took to accept one.
	detours       *prometheus.CounterVec
	acceptSeconds prometheus.Histogram
	// forwarded counts attempts of other entries by their result, and forwarding is the number in flight.
	forwarded  *prometheus.CounterVec
	forwarding prometheus.Gauge
	// brokenForwards counts attempts of other entries whose reply could not be written to them, by how the sender was lost,
	// and brokenDetours attempts at peers whose link broke after they were accepted.
	brokenForwards, brokenDetours *prometheus.CounterVec
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		state:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_direct_path_state", Help: "The entry's direct path to the instances of a service: 0 open, 1 suspected, 2 open connections only, 3 lost."}, []string{"service"}),
		probes:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_direct_path_probes_total", Help: "Probes of instances on new connections, by their result."}, []string{"service", "result"}),
		held:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_held_attempts_total", Help: "Attempts that waited because no entry had a path to the silent instances of a service: sent once one responded, or refused."}, []string{"service", "result"}),
		detours: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_detours_total", Help: "Attempts through another entry: passed on, or why one did not pass them on; none if there was no entry to ask."}, []string{"service", "result"}),
		// From 0.5 ms to 0.5 s.
		acceptSeconds:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "shedrock_detour_accept_seconds", Help: "From sending an attempt to another entry until that entry accepts it.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 11)}),
		forwarded:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_forwarded_total", Help: "Attempts of other entries: passed on to an instance, or why not."}, []string{"result"}),
		forwarding:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "shedrock_forwarding", Help: "Attempts of other entries in flight."}),
		brokenForwards: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_forwarded_broken_total", Help: "Attempts of other entries whose reply could not be written to them, by how the sender was lost."}, []string{"service", "sender"}),
		brokenDetours:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_detours_broken_total", Help: "Attempts through another entry whose link broke before the end of the reply."}, []string{"service"}),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.state, m.probes, m.held, m.detours, m.acceptSeconds, m.forwarded, m.forwarding, m.brokenForwards, m.brokenDetours}
}

func (m *Metrics) setState(service string, s detour.State) {
	m.state.WithLabelValues(service).Set(float64(s))
}
