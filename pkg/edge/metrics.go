package edge

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/monsooncrank/monsooncrank/pkg/scaling"
)

// fleetMetrics counts how this daemon learns of BackendServers.
type fleetMetrics struct {
	changes *prometheus.CounterVec
	views   *prometheus.CounterVec
}

// Results of merging a peer's view of the servers.
const (
	viewAgrees = "agrees"
	// viewIncomplete means that one of the daemons lacks changes of the other.
	viewIncomplete = "incomplete"
	// viewDiffers means that the views differ although neither lacks any.
	viewDiffers = "differs"
)

func newFleetMetrics() *fleetMetrics {
	return &fleetMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_fleet_changes_total",
			Help: "Changes of servers that this daemon has learned of, by change and source."}, []string{"change", "source"}),
		views: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_fleet_views_total",
			Help: "Views of the servers received from peers, by how they compare with this daemon's view."}, []string{"result"}),
	}
}

func (m *fleetMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.changes, m.views)
}

// changeSource returns the kind of a source of changes, without the name of a peer.
func changeSource(source string) string {
	kind, _, _ := strings.Cut(source, " ")
	return kind
}

// scalingMetrics shows the number of servers that the holder of the duties lease wants and why.
type scalingMetrics struct {
	servers  *prometheus.GaugeVec
	forecast *prometheus.GaugeVec
}

func newScalingMetrics() *scalingMetrics {
	return &scalingMetrics{
		servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_scaling_servers",
			Help: "Servers at the last plan of this daemon, by service and kind: needed, on demand (wanted), reclaimable (accepting work), expected shortage."}, []string{"service", "kind"}),
		forecast: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_scaling_loss_probability",
			Help: "Probability at the last plan of this daemon that reclaimable servers are scarce, and that a zone is then lost within a boot time."}, []string{"service", "of"}),
	}
}

func (m *scalingMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.servers, m.forecast)
}

func (m *scalingMetrics) set(service string, r scaling.Reserve) {
	m.servers.WithLabelValues(service, "needed").Set(float64(r.Need))
	m.servers.WithLabelValues(service, "on_demand").Set(float64(r.OnDemand))
	m.servers.WithLabelValues(service, "reclaimable").Set(float64(r.Reclaimable))
	m.servers.WithLabelValues(service, "expected_shortage").Set(r.ExpectedShortage)
	m.forecast.WithLabelValues(service, "scarcity").Set(r.Scarce)
	m.forecast.WithLabelValues(service, "zone").Set(r.ZoneLoss)
}
