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

// Results of receiving a peer's view of the servers.
const (
	viewApplied    = "applied"
	viewIncomplete = "incomplete"
	viewUnused     = "unused"
)

func newFleetMetrics() *fleetMetrics {
	return &fleetMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_fleet_changes_total",
			Help: "Changes of servers that this daemon has learned of, by change and source."}, []string{"change", "source"}),
		views: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_fleet_views_total",
			Help: "Views of the servers received from peers, by what was done with them."}, []string{"result"}),
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
