package service

import "github.com/prometheus/client_golang/prometheus"

// Register registers the client's metrics.
func (c *HTTPClient) Register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "monsooncrank_service_crossed_answers_total",
			Help: "Answers dropped because they carried another attempt's ID.",
		}, func() float64 { return float64(c.mismatched.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "monsooncrank_service_pooled_connections",
			Help: "Open connections to services that later calls may share.",
		}, func() float64 { return float64(c.pooledConnections()) }),
	)
}

func (c *HTTPClient) pooledConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, pool := range c.pools {
		open += pool.ConnsCount()
	}
	return open
}
