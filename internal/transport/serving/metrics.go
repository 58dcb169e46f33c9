package serving

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Metrics holds the metrics of a Server. Create one with NewMetrics.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// brokenAnswers counts answers whose callers' connections were closed before their end.
	brokenAnswers *prometheus.CounterVec
	// callersGone counts callers to whom an answer could not be written, by how they were lost.
	callersGone *prometheus.CounterVec
	// endedRequests counts requests that were ended because the process was about to end, and cutRequests those whose
	// connections were then closed without an outcome.
	endedRequests, cutRequests *prometheus.CounterVec
	// unreadable counts requests that could not be read, by the status of their response.
	unreadable *prometheus.CounterVec
	// panics counts the panics of callers' handlers.
	panics prometheus.Counter
	// successors counts the attempts that were made beside silent ones, by why and by what became of them.
	successors *prometheus.CounterVec
	// saves counts the parts that were to be saved to stores, by what the leader said.
	saves *prometheus.CounterVec
	// limited counts attempts at instances with a rate limit, and limitChanges how often an instance
	// announces, changes or removes its limit.
	limited, limitChanges *prometheus.CounterVec
	// unwanted counts attempts at instances that asked for a pause or announced their shutdown, rests
	// the requests for a pause, and leavings the announced shutdowns.
	unwanted, rests, leavings *prometheus.CounterVec
	// fragile counts attempts at instances with a refusal limit by their end, refusalLimitChanges how often an instance
	// announces, changes or removes it, and unreadableRefusalLimits the answers whose refusal limit could not be parsed.
	fragile, refusalLimitChanges, unreadableRefusalLimits *prometheus.CounterVec
	// waiting is the number of requests that wait for room at an instance, and waitSeconds how long they waited.
	waiting     *prometheus.GaugeVec
	waitSeconds *prometheus.HistogramVec
	// decisions counts the long prompts of tiered services by how the arbiter took part in their placement,
	// and decisionSeconds has how long the arbiter took.
	decisions       *prometheus.CounterVec
	decisionSeconds prometheus.Histogram

	firstByte *prometheus.HistogramVec
	duration  *prometheus.HistogramVec
	// bufferedBytes and bufferedAnswers are what is held of answers that callers have not taken yet. pauses
	// counts how often an engine was read at its caller's pace because of that, and breakOffs the answers whose callers took
	// nothing. delivery is the time from the end of an answer at its engine to its end at the caller.
	bufferedBytes, bufferedAnswers prometheus.Gauge
	pauses, breakOffs              *prometheus.CounterVec
	delivery                       *prometheus.HistogramVec
	// brokenResponses counts attempts with unusable responses, by what made them so.
	brokenResponses *prometheus.CounterVec
	// excessive counts attempts whose instance sent more than a sound one does.
	excessive *prometheus.CounterVec
	// newest and required are weight versions, and olderEngines is the number of engines below newest.
	newest, required, olderEngines *prometheus.GaugeVec
	// readingSpeed is that of the engines of tiered services, where it is known.
	readingSpeed *prometheus.GaugeVec
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_requests_total", Help: "Requests by their outcome."}, []string{"team", "class", "outcome"}),
		refusals:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_refusals_total", Help: "Requests that were not run, by the reason."}, []string{"team", "class", "reason"}),
		attempts:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_attempts_total", Help: "Attempts by their end."}, []string{"service", "end"}),
		brokenAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_answers_broken_total", Help: "Answers whose caller's connection was closed before their end, by the reason."}, []string{"service", "reason"}),
		callersGone:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_callers_gone_total", Help: "Callers to whom an answer could not be written, by how they were lost."}, []string{"service", "caller"}),
		endedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_requests_ended_total", Help: "Requests that were ended, with an outcome for their callers, because the time to end the process was nearly over."}, []string{"service"}),
		cutRequests:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_requests_cut_total", Help: "Requests that were still being served when the time to end the process was over."}, []string{"service"}),
		unreadable:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_requests_unreadable_total", Help: "Requests that could not be read, by the status of the response after which the connection is closed."}, []string{"status"}),
		excessive:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_excessive_responses_total", Help: "Attempts that ended because the instance sent more than a sound one does."}, []string{"service"}),
		panics:        prometheus.NewCounter(prometheus.CounterOpts{Name: "shedrock_panics_total", Help: "Panics while a caller's request was served."}),
		saves:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_save_requests_total", Help: "Parts of prompts for which the leader was asked for a save, by its result."}, []string{"result"}),
		successors:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_successors_total", Help: "Attempts made beside one whose instance is silent: why it counts as silent, and what became of them."}, []string{"service", "cause", "result"}),
		limited:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_limited_attempts_total", Help: "Attempts at instances that are known to have a limit."}, []string{"service"}),
		limitChanges:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_limit_changes_total", Help: "How often an instance named another limit than before, or none any more."}, []string{"service"}),
		unwanted:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_unwanted_attempts_total", Help: "Attempts at instances that asked for rest or said that they will end."}, []string{"service"}),
		rests:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_rests_total", Help: "How often an instance asked for rest."}, []string{"service"}),
		leavings:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_leavings_total", Help: "Instances that said in an answer that they will end."}, []string{"service"}),
		fragile:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_fragile_attempts_total", Help: "Attempts at instances that are known to stop when they refuse too many requests, by their end."}, []string{"service", "end"}),

		refusalLimitChanges:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_instance_refusal_limit_changes_total", Help: "How often an instance named another rate of refusals at which it stops than before, or none any more."}, []string{"service"}),
		unreadableRefusalLimits: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_unreadable_refusal_limits_total", Help: "Answers with a rate of refusals that is not a number of requests."}, []string{"service"}),

		waiting:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_waiting_for_room", Help: "Requests that wait until an instance that stops when it refuses too many requests has room."}, []string{"service"}),
		waitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_room_wait_seconds", Help: "How long requests waited for room.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}, []string{"service"}),

		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_arbiter_decisions_total", Help: "Attempts of long prompts at services whose leader decides, by its answer or by why the entry decided."}, []string{"service", "result"}),
		// From 0.5 ms to 64 ms; an entry waits at most 60 ms.
		decisionSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "shedrock_arbiter_seconds", Help: "From a request for a decision to the answer, or to the failure.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 8)}),
		firstByte:       prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_first_byte_seconds", Help: "From the arrival to the first byte of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"team", "class"}),
		duration:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_request_seconds", Help: "From the arrival to the end of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"team", "class"}),

		bufferedBytes:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "shedrock_buffered_bytes", Help: "Bytes held of answers that callers have not taken yet."}),
		bufferedAnswers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "shedrock_buffered_answers", Help: "Answers of which bytes are held."}),
		pauses:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_answer_pauses_total", Help: "How often an engine was read at its caller's pace because there was no room for its answer."}, []string{"service"}),
		breakOffs:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_answers_broken_off_total", Help: "Answers that were broken off because their callers took nothing."}, []string{"service"}),
		delivery:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "shedrock_answer_delivery_seconds", Help: "From the end of an answer at its engine to its end at the caller.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 9)}, []string{"service"}),

		newest:       prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_weights_newest_version", Help: "The newest version of a model's weights that was named."}, []string{"model"}),
		required:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_weights_required_version", Help: "The oldest version on which requests may begin, 0 for any."}, []string{"model"}),
		olderEngines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_engines_older", Help: "Engines whose weights are older than the newest."}, []string{"model"}),
	}
	m.brokenResponses = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shedrock_broken_responses_total", Help: "Attempts whose response was malformed or broke off, by what made it unusable."}, []string{"service", "reason"})
	m.readingSpeed = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "shedrock_reading_speed_tokens_per_second", Help: "Prompt tokens that an engine of a tiered service computes in a second."}, []string{"service"})
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.brokenAnswers, m.callersGone, m.endedRequests, m.cutRequests, m.unreadable, m.brokenResponses, m.excessive, m.panics, m.successors, m.saves, m.limited, m.limitChanges, m.unwanted, m.rests, m.leavings, m.fragile, m.refusalLimitChanges, m.unreadableRefusalLimits, m.waiting, m.waitSeconds, m.decisions, m.decisionSeconds, m.firstByte, m.duration, m.bufferedBytes, m.bufferedAnswers, m.pauses, m.breakOffs, m.delivery, m.newest, m.required, m.olderEngines, m.readingSpeed)
	return m
}

// RegisterView registers gauges that are read from the view: the configuration version in force, the
// newest version known to exist (a difference shows a process that lags), the evacuations, and
// whether the control log is reachable. It must be called once.
func (m *Metrics) RegisterView(view func() *fleet.View) {
	ofConfig := func(value func(*deployment.Config) uint64) func() float64 {
		return func() float64 {
			config := view().Config
			if config == nil {
				return 0
			}
			return float64(value(config))
		}
	}
	inForce := ofConfig(func(c *deployment.Config) uint64 { return c.Version })
	sharedSince := ofConfig(func(c *deployment.Config) uint64 { return c.SharedSince })
	newest := func() float64 { return float64(view().NewestConfigVersion) }
	outOfReach := func() float64 {
		if view().Contact.Unreachable(clock.Now()) {
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
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_context_shared_since", Help: "The configuration since which teams share cached context, 0 for none."}, sharedSince),
	)
}

// Register adds the metrics of another package.
func (m *Metrics) Register(collectors []prometheus.Collector) { m.registry.MustRegister(collectors...) }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountPanic counts a panic while a caller's request was served.
func (m *Metrics) CountPanic() { m.panics.Inc() }

// CountUnreadable counts a request that could not be read and is responded to with the given status.
func (m *Metrics) CountUnreadable(status int) {
	m.unreadable.WithLabelValues(strconv.Itoa(status)).Inc()
}

func (m *Metrics) endRequest(team string, route deployment.Route, o outcome.Outcome, arrived, first time.Time) {
	class := route.Kind.String()
	m.requests.WithLabelValues(team, class, outcome.Label(o)).Inc()
	if refused, ok := o.(outcome.NotRun); ok {
		m.refusals.WithLabelValues(team, class, string(refused.Reason)).Inc()
	}
	m.duration.WithLabelValues(team, class).Observe(clock.Since(arrived).Seconds())
	if !first.IsZero() {
		m.firstByte.WithLabelValues(team, class).Observe(first.Sub(arrived).Seconds())
	}
}

// beginAttempt counts an attempt at an instance that has a limit or wants no requests.
func (m *Metrics) beginAttempt(service string, to conditionSnapshot) {
	if to.limit.Active {
		m.limited.WithLabelValues(service).Inc()
	}
	if to.restRemaining > 0 || to.leaving {
		m.unwanted.WithLabelValues(service).Inc()
	}
}

func (m *Metrics) setWeights(model string, newest, required uint64, older int) {
	m.newest.WithLabelValues(model).Set(float64(newest))
	m.required.WithLabelValues(model).Set(float64(required))
	m.olderEngines.WithLabelValues(model).Set(float64(older))
}

func (m *Metrics) endAttempt(service string, end retry.Result, to conditionSnapshot) {
	m.attempts.WithLabelValues(service, endLabel(end)).Inc()
	if to.refusalLimited {
		m.fragile.WithLabelValues(service, endLabel(end)).Inc()
	}
}
