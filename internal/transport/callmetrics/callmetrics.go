// Package callmetrics provides the metrics of a control instance: counts and durations of the
// calls from operators and instances, and gauges of its state in the control log.
package callmetrics

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shedrock/shedrock/internal/clock"
)

// unmatchedCall is the label value for requests that match no pattern. Using their paths would let
// callers create any number of label values.
const unmatchedCall = "unknown"

// ReplicaState is the state of a control instance.
type ReplicaState struct {
	// Leading reports whether it leads the control log; Term is the log's current term.
	Leading bool
	Term    uint64
	// Version is the version of the configuration that it has applied.
	Version uint64
	// SharedSince is the version since which teams share cached context.
	SharedSince uint64
	// Instances is the number of instances that it considers alive.
	Instances int
}

// Metrics holds the metrics of one control instance. Create one with New.
type Metrics struct {
	registry       *prometheus.Registry
	calls          *prometheus.CounterVec
	refusedReports *prometheus.CounterVec
	separations    *prometheus.CounterVec
	freedParts     *prometheus.CounterVec
	duration       *prometheus.HistogramVec
}

// New returns metrics that count from 0. It calls state for each gauge at each scrape.
func New(state func() ReplicaState) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_calls_total", Help: "Calls of operators and instances by their status.",
		}, []string{"call", "status"}),
		refusedReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_reports_refused_total", Help: "Reports of instances that were not taken, by what is wrong.",
		}, []string{"reason"}),
		separations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_context_separations_total", Help: "Configurations from which on no cached context is used that teams shared before, by the reason.",
		}, []string{"reason"}),
		freedParts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shedrock_parts_freed_total", Help: "Parts that were freed in stores, by the reason.",
		}, []string{"reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shedrock_call_seconds", Help: "From a call's arrival to its answer.",
			// From 1 ms to 2 s.
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"call"}),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), m.calls, m.refusedReports, m.separations, m.freedParts, m.duration,
	)
	m.registry.MustRegister(gauges(state)...)
	return m
}

// gauges returns gauges that read the control instance's state at each scrape.
func gauges(state func() ReplicaState) []prometheus.Collector {
	gauge := func(name, help string, value func(ReplicaState) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(state()) })
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
		gauge("shedrock_context_shared_since", "The configuration since which teams share cached context.", func(s ReplicaState) float64 { return float64(s.SharedSince) }),
		gauge("shedrock_instances", "Instances that live, as far as is known here.", func(s ReplicaState) float64 { return float64(s.Instances) }),
	}
}

// Register adds the metrics of another package.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Instrument counts and times the requests that next serves. next must be a *http.ServeMux or set
// Request.Pattern as one does.
func (m *Metrics) Instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := clock.Now()
		status := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(status, r)
		call := r.Pattern
		if call == "" {
			call = unmatchedCall
		}
		m.calls.WithLabelValues(call, strconv.Itoa(status.status)).Inc()
		m.duration.WithLabelValues(call).Observe(clock.Since(began).Seconds())
	})
}

// CountRefusedReport counts an instance's report that was refused. reason is a label value, so it must
// come from a small fixed set.
func (m *Metrics) CountRefusedReport(reason string) { m.refusedReports.WithLabelValues(reason).Inc() }

// CountSeparation counts a configuration that separated shared context. reason is a label value, so it must come from a
// small fixed set.
func (m *Metrics) CountSeparation(reason string) { m.separations.WithLabelValues(reason).Inc() }

// CountFreedParts counts parts that were freed in a store. reason is a label value, so it must come from a small
// fixed set.
func (m *Metrics) CountFreedParts(reason string, parts int) {
	m.freedParts.WithLabelValues(reason).Add(float64(parts))
}

// statusWriter records the status that was written.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
