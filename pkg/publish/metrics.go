package publish

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the Prometheus metrics of the Follower's status.
func (f *Follower) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func(Status) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "monsooncrank_configuration_" + name, Help: help},
			func() float64 { return value(f.Status()) })
	}
	counter := func(name, help string, value func(Status) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "monsooncrank_configuration_" + name, Help: help},
			func() float64 { return float64(value(f.Status())) })
	}
	return []prometheus.Collector{
		gauge("known_revision", "Highest revision that the table or a peer has confirmed.", func(s Status) float64 { return float64(s.Known) }),
		gauge("in_force_revision", "Revision in force.", func(s Status) float64 { return float64(s.InForce) }),
		gauge("lag_seconds", "For how long a higher revision has been known than is in force.", func(s Status) float64 { return s.LagSeconds }),
		gauge("serving", "1 while a confirmed revision is in force.", servingValue),
		counter("refused_lower_total", "Lower revisions refused.", func(s Status) uint64 { return s.RefusedLower }),
		counter("dropped_announcements_total", "Announcements dropped by a full backlog.", func(s Status) uint64 { return s.DroppedAnnouncements }),
	}
}

func servingValue(s Status) float64 {
	if s.Serving {
		return 1
	}
	return 0
}
