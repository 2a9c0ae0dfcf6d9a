package peer

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of the messages between daemons.
type Metrics struct {
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	polls    *prometheus.CounterVec
	hops     prometheus.Histogram
}

// hopBucketCount is the number of histogram buckets for the hops of an update;
// the buckets are 0 to 15 hops.
const hopBucketCount = 16

// NewMetrics creates the metrics and registers them, unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		sent:     counter("monsooncrank_peer_messages_sent_total", "Messages to peers.", "method", "result"),
		received: counter("monsooncrank_peer_messages_received_total", "Messages from peers.", "method"),
		dropped:  counter("monsooncrank_peer_dropped_total", "News or sends dropped at a limit.", "what"),
		polls:    counter("monsooncrank_host_list_polls_total", "Polls of the host list.", "result"),
		hops: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "monsooncrank_peer_news_hops",
			Help:    "Daemons that passed news on before it arrived.",
			Buckets: prometheus.LinearBuckets(0, 1, hopBucketCount),
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
