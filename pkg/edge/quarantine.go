package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// maxQuarantineEntries is the maximum number of quarantine entries in one message
// to a peer; the rest follows with the next messages.
const maxQuarantineEntries = 128

// runningAttemptsMetric is the name of the gauge of attempts in progress. It is 0 when
// no request is in progress; otherwise the end of an attempt was not reported.
const runningAttemptsMetric = "monsooncrank_quarantine_running_attempts"

// quarantineMetrics holds the metrics of the quarantine.
type quarantineMetrics struct {
	changes *prometheus.CounterVec
	crashes *prometheus.CounterVec
}

func newQuarantineMetrics(registry prometheus.Registerer) *quarantineMetrics {
	m := &quarantineMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_quarantine_changes_total",
			Help: "Changes to what this daemon knows of requests that crash servers, by source."}, []string{"source"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_quarantine_server_crashes_total",
			Help: "Crashes of servers under requests of this daemon, by evidence."}, []string{"evidence"}),
	}
	registry.MustRegister(m.changes, m.crashes)
	return m
}

// startQuarantine starts the quarantine of requests that crash servers. Its
// callbacks lock the state, so that its methods that call them must not be called
// with the state locked.
func (s *state) startQuarantine(store table.Store, registry prometheus.Registerer) {
	options := quarantine.DefaultOptions()
	options.SettleDelay, options.Run = quarantine.DefaultSettleDelay, s.incarnation
	metrics := newQuarantineMetrics(registry)
	s.quarantine = quarantine.NewManager(quarantine.ManagerOptions{
		Core: options, Store: store, Clock: clock.RealClock{},
		OnChange: func(c quarantine.Change) {
			metrics.changes.WithLabelValues(string(c.Source)).Inc()
			s.handleQuarantineChange(&c)
		},
		OnCrash: func(c quarantine.Crash) {
			metrics.crashes.WithLabelValues(string(c.Evidence)).Inc()
			klog.InfoS("server crashed", "server", c.Server, "evidence", c.Evidence, "suspects", c.Suspects)
		},
		OnError:  func(err error) { klog.InfoS("failed to read or write quarantine entries", "err", err) },
		Isolated: s.isolated,
	})
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: runningAttemptsMetric,
		Help: "Attempts at servers that have started and not ended, as the quarantine knows them."}, func() float64 { return float64(s.quarantine.Running()) }))
}

// isolated reports whether this daemon hears from no other daemon.
func (s *state) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Isolated(bootNow())
}

// handleQuarantineChange logs a change that was made here or on which a decision
// depends. The latter is sent to other daemons at once; hubs forward it.
func (s *state) handleQuarantineChange(c *quarantine.Change) {
	e := &c.Entry
	if !c.Local() && !c.Urgent {
		// A server's crash makes all its requests suspects, at all daemons.
		return
	}
	klog.InfoS("suspect", "fingerprint", e.Fingerprint.Short(), "request", c.Request, "source", c.Source, "from", c.From,
		"crashes", len(e.Servers), "servers", e.Servers, "positions", e.Positions, "rounds", e.Rounds, "quarantined", e.Quarantined,
		"generation", e.Generation, "ageMs", time.Since(e.LastCrash).Milliseconds())
	if !c.Urgent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Local() || !s.peers.IsFullMesh() {
		s.wakeExchange()
	}
}

// reportServerChange reports a change of a server to the quarantine. The parameter
// restarted reports whether another run of the server follows a run that is gone.
func (s *state) reportServerChange(e *fleet.Event, restarted bool) {
	run := e.Server.RunID()
	switch {
	case e.Change == fleet.ServerJoined:
		s.quarantine.ServerJoined(run, e.Server.Address)
	case e.Change == fleet.ServerLeaving || e.Server.Leaving:
		s.quarantine.ServerLeaving(run)
	case restarted:
		s.quarantine.ServerRestarted(run)
	default:
		s.quarantine.ServerRemoved(run, e.Server.Address)
	}
}
