package peer

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the messages between daemons.
type Metrics struct {
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	polls    *prometheus.CounterVec
	hops     prometheus.Histogram
}

// maxHopsBucket is the largest bucket of the hops that news takes.
const maxHopsBucket = 16

// NewMetrics registers the metrics; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		sent:     counter("monsooncrank_peer_messages_sent_total", "Messages to peers.", "method", "result"),
		received: counter("monsooncrank_peer_messages_received_total", "Messages from peers.", "method"),
		dropped:  counter("monsooncrank_peer_dropped_total", "News or sends dropped at a limit.", "what"),
		polls:    counter("monsooncrank_host_list_polls_total", "Polls of the host list.", "result"),
		hops: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "monsooncrank_peer_news_hops",
			Help:    "Daemons that passed news on before it arrived.",
			Buckets: prometheus.LinearBuckets(0, 1, maxHopsBucket),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sent, m.received, m.dropped, m.polls, m.hops)
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}
