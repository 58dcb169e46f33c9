package inbound

import "github.com/prometheus/client_golang/prometheus"

// Collector returns the metrics of the budget.
func (b *Budget) Collector() prometheus.Collector { return budgetCollector{b} }

var (
	usedDesc    = prometheus.NewDesc("shedrock_inbound_bytes", "Bytes held of responses that are being read or passed on.", nil, nil)
	givenUpDesc = prometheus.NewDesc("shedrock_inbound_given_up_total", "Responses that were given up as the largest when the memory for them was used up.", nil, nil)
)

type budgetCollector struct{ *Budget }

// Describe implements prometheus.Collector.
func (c budgetCollector) Describe(out chan<- *prometheus.Desc) {
	out <- usedDesc
	out <- givenUpDesc
}

// Collect implements prometheus.Collector.
func (c budgetCollector) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out <- prometheus.MustNewConstMetric(usedDesc, prometheus.GaugeValue, float64(c.used))
	out <- prometheus.MustNewConstMetric(givenUpDesc, prometheus.CounterValue, float64(c.givenUp))
}
