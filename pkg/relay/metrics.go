package relay

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of requests and their latencies.
type Metrics struct {
	requests  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	firstPart *prometheus.HistogramVec
	// brokenAttempts counts the attempts whose server broke off.
	brokenAttempts *prometheus.CounterVec
	// forwarded counts the requests sent to other daemons.
	forwarded *prometheus.CounterVec
	// runChecks counts the questions to servers which of their runs answers.
	runChecks *prometheus.CounterVec
}

// Results of the question which run of a server answers.
const (
	runListed     = "listed"
	runOther      = "other"
	runNotStated  = "not stated"
	runUnanswered = "unanswered"
)

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.01, 2, 11)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_relay_requests_total",
			Help: "Requests of callers by kind and status."}, []string{"kind", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "monsooncrank_relay_request_seconds",
			Help: "Time from the request to the end of its answer.", Buckets: buckets}, []string{"kind"}),
		firstPart: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "monsooncrank_relay_first_part_seconds",
			Help: "Time from the request to the first part of its answer.", Buckets: buckets}, []string{"kind"}),
	}
	m.brokenAttempts = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_relay_broken_attempts_total",
		Help: "Attempts whose server broke off, by use of the connection, silence, and whether the server was found to have crashed."},
		[]string{"reused", "silent", "crash"})
	m.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_relay_forwarded_total",
		Help: "Requests sent to daemons that reach the servers of their services, by outcome."}, []string{"outcome"})
	m.runChecks = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_relay_run_checks_total",
		Help: "Questions to BackendServers which of their runs answers on a connection, by result."}, []string{"result"})
	registry.MustRegister(m.requests, m.duration, m.firstPart, m.brokenAttempts, m.forwarded, m.runChecks)
	return m
}
