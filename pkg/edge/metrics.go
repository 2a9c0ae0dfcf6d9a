package edge

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
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
