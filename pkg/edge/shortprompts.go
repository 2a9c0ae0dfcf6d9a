package edge

import "github.com/prometheus/client_golang/prometheus"

var shortPromptTokens = prometheus.NewDesc("monsooncrank_short_prompt_tokens",
	"Tokens left to prefill below which a prompt goes before others at its engine; 0 if prompts are not told apart.", []string{"service"}, nil)

// shortPromptCollector reads the limits of short prompts when metrics are collected.
type shortPromptCollector struct{ state *state }

// Describe implements prometheus.Collector.
func (shortPromptCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- shortPromptTokens
}

// Collect implements prometheus.Collector.
func (c shortPromptCollector) Collect(metrics chan<- prometheus.Metric) {
	c.state.mu.Lock()
	limits := c.state.placement.ShortPromptLimits()
	c.state.mu.Unlock()
	for service, limit := range limits {
		metrics <- prometheus.MustNewConstMetric(shortPromptTokens, prometheus.GaugeValue, float64(limit), service)
	}
}
