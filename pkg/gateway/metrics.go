package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Histogram buckets in seconds, with boundaries at the latency targets: 0.86 s
// to the first token and 37 ms between tokens.
var (
	firstTokenBuckets    = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.75, 0.86, 1, 1.5, 2.5, 5, 10, 30}
	betweenTokensBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.037, 0.05, 0.075, 0.1, 0.25, 0.5, 1, 5}
)

type metrics struct {
	requests      *prometheus.CounterVec
	inFlight      prometheus.Gauge
	duration      *prometheus.HistogramVec
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	tokens        prometheus.Counter
	callersGone   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsooncrank_gateway_requests_total",
			Help: "Requests from callers by endpoint, HTTP status and outcome.",
		}, []string{"endpoint", "status", "outcome"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_gateway_requests_in_flight",
			Help: "Requests from callers in progress.",
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "monsooncrank_gateway_request_duration_seconds",
			Help:    "Time from reading a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"endpoint"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "monsooncrank_gateway_first_token_seconds",
			Help:    "Time from reading a request to its first token.",
			Buckets: firstTokenBuckets,
		}),
		betweenTokens: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "monsooncrank_gateway_between_tokens_seconds",
			Help:    "Time between two tokens of one answer.",
			Buckets: betweenTokensBuckets,
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_gateway_tokens_total",
			Help: "Tokens sent to callers.",
		}),
		callersGone: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_gateway_callers_gone_total",
			Help: "Callers that closed their connection before the end of the answer.",
		}),
	}
	collectors := []prometheus.Collector{
		m.requests, m.inFlight, m.duration, m.firstToken, m.betweenTokens, m.tokens, m.callersGone,
	}
	for _, c := range collectors {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// observeRequest records a finished request.
func (m *metrics) observeRequest(endpoint string, status int, outcome string, elapsed time.Duration) {
	m.requests.WithLabelValues(endpoint, strconv.Itoa(status), outcome).Inc()
	m.duration.WithLabelValues(endpoint).Observe(elapsed.Seconds())
}
