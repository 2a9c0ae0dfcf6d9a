package routing

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	decisions            *prometheus.CounterVec
	noServer             *prometheus.CounterVec
	expectedCachedTokens prometheus.Counter
	promptTokens         prometheus.Counter
	cachedTokens         prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsooncrank_routing_decisions_total",
			Help: "Routing decisions by group and reason.",
		}, []string{"group", "reason"}),
		noServer: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsooncrank_routing_no_server_total",
			Help: "Requests for which no BackendServer could be picked.",
		}, []string{"group"}),
		expectedCachedTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_routing_expected_cached_tokens_total",
			Help: "Prompt tokens that were expected in the chosen engines' caches.",
		}),
		promptTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_routing_prompt_tokens_total",
			Help: "Prompt tokens of finished answers as reported by engines.",
		}),
		cachedTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_routing_cached_tokens_total",
			Help: "Prompt tokens of finished answers that engines served from their caches.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.decisions, m.noServer, m.expectedCachedTokens, m.promptTokens, m.cachedTokens)
	}
	return m
}
