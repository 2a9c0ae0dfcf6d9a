// Package leases adds metrics and logging to a daemon's lease.Manager.
package leases

import (
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// The values of the label cause of monsooncrank_leases_lost_total.
const (
	causeLapsed   = "lapsed"
	causeReleased = "released"
)

// metrics counts the leases that a daemon holds, acquires and loses.
type metrics struct {
	held     prometheus.Gauge
	acquired prometheus.Counter
	lost     *prometheus.CounterVec
}

// NewManager returns a lease.Manager that counts and logs each acquisition and
// loss of a lease before it calls the callbacks in options. If registerer is nil,
// the metrics are not registered. The caller must close the manager.
func NewManager(options lease.Options, registerer prometheus.Registerer) *lease.Manager {
	m := newMetrics(registerer)
	onAcquired, onLost := options.OnAcquired, options.OnLost
	options.OnAcquired = func(a lease.Acquired) {
		m.observeAcquired(a)
		if onAcquired != nil {
			onAcquired(a)
		}
	}
	options.OnLost = func(l lease.Lost) {
		m.observeLost(l)
		if onLost != nil {
			onLost(l)
		}
	}
	return lease.NewManager(options)
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_leases_held", Help: "Leases that this daemon holds.",
		}),
		acquired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_leases_acquired_total", Help: "Leases acquired by this daemon.",
		}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsooncrank_leases_lost_total", Help: "Leases no longer held, by cause.",
		}, []string{"cause"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.held, m.acquired, m.lost)
	}
	return m
}

func (m *metrics) observeAcquired(a lease.Acquired) {
	m.held.Inc()
	m.acquired.Inc()
	klog.InfoS("lease acquired", "lease", a.Name, "number", a.FencingNumber, "earliestOrder", a.EarliestOrder)
}

func (m *metrics) observeLost(l lease.Lost) {
	cause := causeReleased
	if l.Lapsed {
		cause = causeLapsed
	}
	m.held.Dec()
	m.lost.WithLabelValues(cause).Inc()
	klog.InfoS("lease no longer held", "lease", l.Name, "number", l.FencingNumber, "cause", cause)
}
