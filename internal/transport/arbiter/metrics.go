package arbiter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
)

// The metrics of a leader. They begin anew with each term, and a control instance that does not lead has none.
var (
	grantsDesc    = describe("grants_total", "Long prompts that were placed.")
	readerDesc    = describe("single_reader_grants_total", "Long prompts that were placed where the same prefix is being read.")
	refusalsDesc  = describe("refusals_total", "Long prompts that were refused, by the reason.", "reason")
	unknownDesc   = describe("unknown_total", "Long prompts that could not be decided.")
	openDesc      = describe("open_grants", "Grants whose attempts have not ended.")
	reservedDesc  = describe("reserved_tokens", "Tokens of grants that the engines' reports may not include yet.")
	enginesDesc   = describe("engines", "Engines that may get long prompts.")
	knownDesc     = describe("known_engines", "Engines that may get long prompts and whose load is known.")
	allCollectors = []*prometheus.Desc{grantsDesc, readerDesc, refusalsDesc, unknownDesc, openDesc, reservedDesc, enginesDesc, knownDesc}
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("shedrock_arbiter_"+name, help, append([]string{"service"}, labels...), nil)
}

// Describe implements prometheus.Collector.
func (s *Service) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range allCollectors {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (s *Service) Collect(ch chan<- prometheus.Metric) {
	for service, stats := range s.snapshot().Services {
		counter := func(d *prometheus.Desc, n int64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), append([]string{service}, labels...)...)
		}
		gauge := func(d *prometheus.Desc, n int) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), service)
		}
		counter(grantsDesc, stats.Grants)
		counter(readerDesc, stats.SingleReader)
		for reason, n := range stats.Refusals {
			counter(refusalsDesc, n, reason.String())
		}
		counter(unknownDesc, stats.Unknown)
		gauge(openDesc, stats.OpenGrants)
		gauge(reservedDesc, stats.Reserved)
		gauge(enginesDesc, stats.Engines)
		gauge(knownDesc, stats.Known)
	}
}

func (s *Service) snapshot() arbiter.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead() {
		return arbiter.Stats{}
	}
	return s.arbiter.Snapshot()
}
