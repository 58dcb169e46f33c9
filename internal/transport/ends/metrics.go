package ends

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

// The signs by which the end of an instance is detected: its address refused a connection, or
// another incarnation has its id or address.
const (
	signRefused    = "refused"
	signSuperseded = "superseded"
)

// Metrics counts the ends of instances that served requests. Create one with NewMetrics.
type Metrics struct {
	ends, received *prometheus.CounterVec
	held           *prometheus.CounterVec
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return &Metrics{
		ends:     counter("shedrock_instance_ends_total", "Ends of instances under requests that this entry saw, by the sign.", "sign"),
		received: counter("shedrock_facts_heard_total", "Facts about requests under which instances ended, that others told first, by their kind.", "kind"),
		held:     counter("shedrock_attempts_held_total", "Attempts that were not sent, because instances ended under the request or the same one was under way.", "reason"),
	}
}

// countHold counts an attempt that was held because of its whole request or of a part of its prompt.
func (m *Metrics) countHold(h quarantine.Hold, part bool) {
	m.held.WithLabelValues(string(h.Reason(part))).Inc()
}

// countReceived counts a fact that was received from another process before it was observed here.
func (m *Metrics) countReceived(f quarantine.Fact) {
	kind := ""
	switch f.(type) {
	case quarantine.InstanceEnded:
		kind = "ended"
	case quarantine.RequestSucceeded:
		kind = "answered"
	case quarantine.InstanceResponded:
		kind = "heard"
	case quarantine.InstanceRefused:
		kind = "refused"
	default:
		panic("ends: fact outside the sealed set")
	}
	m.received.WithLabelValues(kind).Inc()
}

// Collectors returns the metrics, and gauges of the suspected and the held requests.
func (t *Tracker) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func(suspected, held int) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value(t.counts())) })
	}
	return []prometheus.Collector{
		t.Metrics.ends, t.Metrics.received, t.Metrics.held,
		gauge("shedrock_requests_suspected", "Requests under which instances ended that are still sent.", func(suspected, _ int) int { return suspected }),
		gauge("shedrock_requests_held", "Requests that are not sent, because instances ended under them.", func(_, held int) int { return held }),
	}
}

// counts returns the numbers of suspected and of held requests.
func (t *Tracker) counts() (suspected, held int) {
	t.init()
	entries := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.factSet.Counts(entries, clock.Now())
}
