package oncecall

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of a Caller.
type metrics struct {
	outcomes      *prometheus.CounterVec
	dispatches    *prometheus.CounterVec
	retries       *prometheus.CounterVec
	settlements   *prometheus.CounterVec
	replays       prometheus.Counter
	inProgress    prometheus.Gauge
	openClaims    prometheus.Gauge
	commitSeconds prometheus.Histogram
	commits       prometheus.Histogram
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_calls_" + name, Help: help}, labels)
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes:    counterVec("outcomes_total", "Calls by mode, outcome and problem as told to the caller.", "mode", "outcome", "problem"),
		dispatches:  counterVec("dispatches_total", "Attempts sent to servers by mode and result.", "mode", "result"),
		retries:     counterVec("retries_total", "Retries of repeatable calls by cause.", "cause"),
		settlements: counterVec("settlements_total", "Claims of other daemons settled by state.", "state"),
		replays: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_calls_replays_total", Help: "Stored answers given to callers that asked again.",
		}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_calls_once_only_in_progress", Help: "Once-only calls whose outcome is not yet stored.",
		}),
		openClaims: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_calls_open_claims", Help: "Open claims seen in the ranges that this daemon settles.",
		}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "monsooncrank_calls_commit_seconds", Help: "Time to commit a claim or an outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
		commits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "monsooncrank_calls_commits_per_transaction", Help: "Claims and outcomes that share a transaction.",
			Buckets: []float64{1, 2, 5, 10, 20, 50, 100},
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.outcomes, m.dispatches, m.retries, m.settlements, m.replays,
			m.inProgress, m.openClaims, m.commitSeconds, m.commits)
	}
	return m
}
