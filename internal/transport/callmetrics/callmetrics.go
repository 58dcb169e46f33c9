// Package callmetrics counts and times the calls of operators and instances that a control
// instance takes, and tells how it stands in the control log.
package callmetrics

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shedrock/shedrock/internal/clock"
)

// unknownCall labels calls that nothing serves, so that callers cannot make up labels.
const unknownCall = "unknown"

// ReplicaState is how a control instance stands.
type ReplicaState struct {
	// Leading says whether it leads the control log, and Term in which term.
	Leading bool
	Term    uint64
	// Version is the configuration that it has applied.
	Version uint64
	// Instances is how many instances live, as far as it knows.
	Instances int
}

// Metrics counts the calls. Make one with New.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	refused  *prometheus.CounterVec
	took     *prometheus.HistogramVec
}

// New returns metrics that count from 0; standing is asked whenever they are read.
func New(standing func() ReplicaState) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_calls_total", Help: "Calls of operators and instances by their status.",
		}, []string{"call", "status"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_reports_refused_total", Help: "Reports of instances that were not taken, by what is wrong.",
		}, []string{"reason"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shedrock_call_seconds", Help: "From a call's arrival to its answer.",
			// From 1 ms to 2 s.
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"call"}),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), m.calls, m.refused, m.took,
	)
	m.registry.MustRegister(gauges(standing)...)
	return m
}

// gauges tell how a control instance stands whenever they are read.
func gauges(standing func() ReplicaState) []prometheus.Collector {
	gauge := func(name, help string, value func(ReplicaState) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(standing()) })
	}
	return []prometheus.Collector{
		gauge("shedrock_leading", "1 while this instance leads the control log.", func(s ReplicaState) float64 {
			if s.Leading {
				return 1
			}
			return 0
		}),
		gauge("shedrock_term", "The term of the control log.", func(s ReplicaState) float64 { return float64(s.Term) }),
		gauge("shedrock_configuration_version", "The newest configuration applied here.", func(s ReplicaState) float64 { return float64(s.Version) }),
		gauge("shedrock_instances", "Instances that live, as far as is known here.", func(s ReplicaState) float64 { return float64(s.Instances) }),
	}
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Instrument counts and times what next serves; next must be a *http.ServeMux or set the request's
// pattern as one does.
func (m *Metrics) Instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := clock.Now()
		status := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(status, r)
		call := r.Pattern
		if call == "" {
			call = unknownCall
		}
		m.calls.WithLabelValues(call, strconv.Itoa(status.status)).Inc()
		m.took.WithLabelValues(call).Observe(clock.Since(began).Seconds())
	})
}

// CountRefusedReport counts a report of an instance that was not taken; reason is one of few words.
func (m *Metrics) CountRefusedReport(reason string) { m.refused.WithLabelValues(reason).Inc() }

// statusWriter remembers the status that was written.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status and passes it on.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
