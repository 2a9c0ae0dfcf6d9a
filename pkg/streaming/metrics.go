package streaming

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	attempts             *prometheus.CounterVec
	dropped              *prometheus.CounterVec
	ended                *prometheus.CounterVec
	cancels              prometheus.Counter
	reclaims             *prometheus.CounterVec
	migrations           *prometheus.CounterVec
	resumedContextTokens prometheus.Counter
	active               prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_stream_" + name, Help: help}, labels)
	}
	m := &metrics{
		attempts:   counter("attempts_total", "Attempts by their end.", "end"),
		dropped:    counter("dropped_events_total", "Events that were not delivered.", "reason"),
		ended:      counter("ended_total", "Streams by their end.", "end"),
		reclaims:   counter("reclaim_choices_total", "Choices on reclaim notices.", "choice"),
		migrations: counter("migrations_total", "Moves of a KV cache by result.", "result"),
		cancels: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_stream_cancels_total", Help: "Attempts left behind and cancelled."}),
		resumedContextTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_stream_resumed_context_tokens_total",
			Help: "Prompt and emitted tokens of attempts that resumed without a KV cache."}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_stream_active", Help: "Streams in progress."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.attempts, m.dropped, m.ended, m.reclaims, m.migrations, m.cancels, m.resumedContextTokens, m.active)
	}
	return m
}
