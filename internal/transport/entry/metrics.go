package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/admission"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

const namespace = "shedrock"

var (
	secondsBuckets = []float64{.005, .01, .025, .05, .1, .2, .35, .56, .8, 1.2, 2, 4, 8, 16, 60}
	shareBuckets   = []float64{0, .02, .05, .1, .2, .35, .5, .75, .95, 1}
	tokenBuckets   = []float64{.002, .005, .01, .02, .031, .05, .1, .25, 1, 5}
)

// metrics holds the Prometheus metrics of the entry.
type metrics struct {
	registry        *prometheus.Registry
	firstToken      *prometheus.HistogramVec
	tokenGap        *prometheus.HistogramVec
	queueTime       *prometheus.HistogramVec
	recomputedShare *prometheus.HistogramVec
	recomputed      *prometheus.CounterVec
	reused          *prometheus.CounterVec
	linkBytes       *prometheus.CounterVec
	outcomes        *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	relearned       *prometheus.CounterVec
	panics          prometheus.Counter
	unreadable      *prometheus.CounterVec
	brokenAnswers   *prometheus.CounterVec
	// brokenResponses counts attempts with unusable responses, by what made them so.
	brokenResponses *prometheus.CounterVec
	callersGone     *prometheus.CounterVec
}

func newMetrics() *metrics {
	byTeam := []string{"team", "class"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, byTeam)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry:        prometheus.NewRegistry(),
		firstToken:      histogram("first_token_seconds", "Time from a request's arrival to its first token, or to a whole answer.", secondsBuckets),
		tokenGap:        histogram("between_tokens_seconds", "Time between the events of a stream.", tokenBuckets),
		queueTime:       histogram("queue_seconds", "Time that a request waited at the entry.", secondsBuckets),
		recomputedShare: histogram("recomputed_share", "Part of a prompt's tokens that an engine computed.", shareBuckets),
		recomputed:      counter("recomputed_tokens_total", "Prompt tokens that an engine computed.", byTeam...),
		reused:          counter("reused_tokens_total", "Prompt tokens that an engine reused.", byTeam...),
		linkBytes:       counter("link_bytes_total", "Bytes of kept context over the links of stores.", "store", "direction"),
		outcomes:        counter("outcomes_total", "Requests by their final outcome.", "team", "class", "outcome"),
		attempts:        counter("attempts_total", "Dispatches to upstreams.", "upstream", "end"),
		relearned:       counter("relearned_objects_total", "Objects learned from the lists of stores.", "store"),
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "panics_total", Help: "Panics while a caller's request was served."})
	m.unreadable = counter("requests_unreadable_total", "Requests that could not be read, by the status of the response after which the connection is closed.", "status")
	m.brokenAnswers = counter("answers_broken_total", "Answers that began and ended before they were whole, by the reason.", "upstream", "reason")
	m.brokenResponses = counter("broken_responses_total", "Attempts whose response was malformed or broke off, by what made it unusable.", "upstream", "reason")
	m.callersGone = counter("callers_gone_total", "Callers to whom an answer could not be written, by how they were lost.", "caller")
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.firstToken, m.tokenGap, m.queueTime, m.recomputedShare, m.recomputed, m.reused, m.linkBytes, m.outcomes, m.attempts, m.relearned, m.panics, m.unreadable, m.brokenAnswers, m.brokenResponses, m.callersGone,
	)
	return m
}

// requestMetrics records the metrics of one request under its team and class.
type requestMetrics struct {
	team, class string
	m           *metrics
	arrived     time.Time
	tokenGap    prometheus.Observer
	lastToken   time.Time
}

func (m *metrics) forRequest(team string, class admission.Class) *requestMetrics {
	return &requestMetrics{team: team, class: class.String(), m: m, arrived: clock.Now()}
}

func (f *requestMetrics) observeQueueTime() {
	f.m.queueTime.WithLabelValues(f.team, f.class).Observe(clock.Since(f.arrived).Seconds())
}

// observeToken records the time of one stream event, or of a complete response.
func (f *requestMetrics) observeToken() {
	now := clock.Now()
	if f.tokenGap == nil {
		f.m.firstToken.WithLabelValues(f.team, f.class).Observe(now.Sub(f.arrived).Seconds())
		f.tokenGap = f.m.tokenGap.WithLabelValues(f.team, f.class)
	} else {
		f.tokenGap.Observe(now.Sub(f.lastToken).Seconds())
	}
	f.lastToken = now
}

func (f *requestMetrics) observePrompt(tokens, cached int) {
	f.m.recomputed.WithLabelValues(f.team, f.class).Add(float64(max(tokens-cached, 0)))
	f.m.reused.WithLabelValues(f.team, f.class).Add(float64(min(cached, tokens)))
	if tokens > 0 {
		f.m.recomputedShare.WithLabelValues(f.team, f.class).Observe(float64(max(tokens-cached, 0)) / float64(tokens))
	}
}

func (f *requestMetrics) countOutcome(o outcome.Outcome) {
	f.m.outcomes.WithLabelValues(f.team, f.class, outcome.Label(o)).Inc()
}
