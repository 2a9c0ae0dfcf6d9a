package deferred

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	accepted prometheus.Counter
	answered *prometheus.CounterVec
	saves    *prometheus.CounterVec
	resumed  prometheus.Counter
	lost     prometheus.Counter
	running  prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Name: "monsooncrank_deferred_" + name, Help: help}
	}
	m := &metrics{
		accepted: prometheus.NewCounter(counter("accepted_total", "Requests accepted.")),
		answered: prometheus.NewCounterVec(counter("answered_total", "Final answers stored by result."), []string{"result"}),
		saves:    prometheus.NewCounterVec(counter("saves_total", "Partial answers by result of the save."), []string{"result"}),
		resumed:  prometheus.NewCounter(counter("resumed_total", "Runs that went on from a saved partial answer.")),
		lost:     prometheus.NewCounter(counter("lost_ranges_total", "Runs stopped because the request has another holder.")),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_deferred_running", Help: "Requests in progress."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.accepted, m.answered, m.saves, m.resumed, m.lost, m.running)
	}
	return m
}
