package serving

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Metrics counts what is served, by team and kind of request. Make one with NewMetrics.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// limited counts attempts at instances with a limit, and limits how often one is named, changed or
	// taken back.
	limited, limits *prometheus.CounterVec
	// unwanted counts attempts at instances that want none, rests how often one begins to rest, and
	// leavings those that say that they will end.
	unwanted, rests, leavings *prometheus.CounterVec
	first                     *prometheus.HistogramVec
	took                      *prometheus.HistogramVec
	// newest and required are versions of weights, and older counts engines.
	newest, required, older *prometheus.GaugeVec
}

// NewMetrics returns metrics that count from 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_requests_total", Help: "Requests by their outcome."}, []string{"team", "class", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_refusals_total", Help: "Requests that were not run, by the reason."}, []string{"team", "class", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_attempts_total", Help: "Attempts by their end."}, []string{"service", "end"}),
		limited:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_limited_attempts_total", Help: "Attempts at instances that are known to have a limit."}, []string{"service"}),
		limits:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_limit_changes_total", Help: "How often an instance named another limit than before, or none any more."}, []string{"service"}),
		unwanted: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_unwanted_attempts_total", Help: "Attempts at instances that asked for rest or said that they will end."}, []string{"service"}),
		rests:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_rests_total", Help: "How often an instance asked for rest."}, []string{"service"}),
		leavings: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_leavings_total", Help: "Instances that said in an answer that they will end."}, []string{"service"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_first_byte_seconds", Help: "From the arrival to the first byte of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"team", "class"}),
		took:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_request_seconds", Help: "From the arrival to the end of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"team", "class"}),

		newest:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_weights_newest_version", Help: "The newest version of a model's weights that was named."}, []string{"model"}),
		required: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_weights_required_version", Help: "The oldest version on which requests may begin, 0 for any."}, []string{"model"}),
		older:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_engines_older", Help: "Engines whose weights are older than the newest."}, []string{"model"}),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.limited, m.limits, m.unwanted, m.rests, m.leavings, m.first, m.took, m.newest, m.required, m.older)
	return m
}

// RegisterView adds what a view says of the configuration: the version in force, and the newest that
// is known to exist. The difference shows a process that lags. It must be called once.
func (m *Metrics) RegisterView(view func() *fleet.View) {
	inForce := func() float64 {
		config := view().Config
		if config == nil {
			return 0
		}
		return float64(config.Version)
	}
	newest := func() float64 { return float64(view().Newest) }
	outOfReach := func() float64 {
		if view().Contact.OutOfReach(clock.Now()) {
			return 1
		}
		return 0
	}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_evacuations_revision", Help: "The newest change of evacuations in force, 0 for none."}, func() float64 { return float64(view().Evacuations) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_evacuated_failure_domains", Help: "Failure domains at whose instances no request begins."}, func() float64 { return float64(len(view().Evacuated)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_control_out_of_reach", Help: "1 while the control log is out of reach, so that what is in force is what was last known."}, outOfReach),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_configuration_version", Help: "The version of the configuration in force, 0 for none."}, inForce),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_configuration_newest_version", Help: "The newest version of the configuration that is known to exist."}, newest),
	)
}

// Register adds what another part counts.
func (m *Metrics) Register(collectors []prometheus.Collector) { m.registry.MustRegister(collectors...) }

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) request(team string, route deployment.Route, o outcome.Outcome, arrived, first time.Time) {
	class := route.Kind.String()
	m.requests.WithLabelValues(team, class, outcome.Label(o)).Inc()
	if refused, ok := o.(outcome.NotRun); ok {
		m.refusals.WithLabelValues(team, class, string(refused.Reason)).Inc()
	}
	m.took.WithLabelValues(team, class).Observe(clock.Since(arrived).Seconds())
	if !first.IsZero() {
		m.first.WithLabelValues(team, class).Observe(first.Sub(arrived).Seconds())
	}
}

// begin counts an attempt by what its instance has said of itself.
func (m *Metrics) begin(service string, to conditionKnown) {
	if to.limit.Active {
		m.limited.WithLabelValues(service).Inc()
	}
	if to.restLeft > 0 || to.leaving {
		m.unwanted.WithLabelValues(service).Inc()
	}
}

func (m *Metrics) weights(model string, newest, required uint64, older int) {
	m.newest.WithLabelValues(model).Set(float64(newest))
	m.required.WithLabelValues(model).Set(float64(required))
	m.older.WithLabelValues(model).Set(float64(older))
}

func (m *Metrics) attempt(service string, end retry.Result) {
	m.attempts.WithLabelValues(service, endName(end)).Inc()
}
