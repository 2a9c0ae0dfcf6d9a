package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/serverspeed"
)

// addSpeeds adds the speeds of servers that a daemon lacks to its message, if it does not collect
// the samples of all daemons itself, and how far this daemon has received those of the other one.
func (s *state) addSpeeds(m *mesh.Message, neighbor *mesh.Peer, node string) {
	if received := neighbor.Speeds.Received; received.Run != 0 {
		m.SpeedsReceived = &received
	}
	if s.peers.SendsDigest(node) && s.peers.Collects() && !s.placement.SummaryInUse() {
		m.Speeds = s.placement.SpeedsFor(time.Now(), node, neighbor.Speeds.Acknowledged)
	}
}

// applySpeeds applies the speeds of servers that a hub tells.
func (s *state) applySpeeds(m *mesh.Message) {
	if m.Speeds == nil {
		return
	}
	neighbor, _ := s.peers.Lookup(m.Record.Node)
	s.peers.SetSpeedsReceived(m.Record.Node, s.placement.ApplySpeeds(time.Now(), neighbor.Speeds.Received, m.Speeds))
}

// speedMetrics tells operators how many servers are known to be slow or fast, and how old that
// knowledge is.
type speedMetrics struct {
	state        *state
	servers, age *prometheus.Desc
}

// Classes of servers by speed.
const (
	// slowBelow and fastAbove bound the usual speeds, as multiples of the mean of the service.
	slowBelow, fastAbove = 0.75, 1.33

	speedUnknown = "unknown"
	speedSlow    = "slow"
	speedUsual   = "usual"
	speedFast    = "fast"
)

func newSpeedMetrics(s *state) *speedMetrics {
	return &speedMetrics{state: s,
		servers: prometheus.NewDesc("monsooncrank_servers_by_speed",
			"Engines by their speed relative to the mean of their service: slow is below 0.75, fast above 1.33.", []string{"service", "speed"}, nil),
		age: prometheus.NewDesc("monsooncrank_server_speed_max_age_seconds",
			"The longest time since the last sample among the engines of which the speed is known.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (m *speedMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.servers
	descriptions <- m.age
}

// Collect implements prometheus.Collector.
func (m *speedMetrics) Collect(metrics chan<- prometheus.Metric) {
	m.state.mu.Lock()
	speeds := m.state.placement.ServerSpeeds(time.Now())
	m.state.mu.Unlock()
	counts, ages := make(map[string]map[string]float64), make(map[string]float64)
	for i := range speeds {
		s := &speeds[i]
		if counts[s.Service] == nil {
			counts[s.Service] = map[string]float64{speedUnknown: 0, speedSlow: 0, speedUsual: 0, speedFast: 0}
		}
		counts[s.Service][speedClass(&s.Estimate)]++
		ages[s.Service] = max(ages[s.Service], s.Age.Seconds())
	}
	for service, byClass := range counts {
		metrics <- prometheus.MustNewConstMetric(m.age, prometheus.GaugeValue, ages[service], service)
		for class, n := range byClass {
			metrics <- prometheus.MustNewConstMetric(m.servers, prometheus.GaugeValue, n, service, class)
		}
	}
}

func speedClass(e *serverspeed.Estimate) string {
	switch {
	case e.Samples == 0:
		return speedUnknown
	case e.Factor < slowBelow:
		return speedSlow
	case e.Factor > fastAbove:
		return speedFast
	default:
		return speedUsual
	}
}
