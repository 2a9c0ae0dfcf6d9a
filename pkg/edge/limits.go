package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/relay"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
)

// memberMaxAge is the age of a daemon's last record at which it no longer counts as
// alive when senders are chosen. It is several times the age at which records arrive.
const memberMaxAge = 3 * time.Second

// toldMemberMaxAge is the age of a daemon's last record at which a hub tells others that it
// is not alive. With the time until they are told it is about memberMaxAge.
const toldMemberMaxAge = 2500 * time.Millisecond

// memberInterval is how often the senders are chosen again.
const memberInterval = 250 * time.Millisecond

// limitMetrics counts what this daemon learns of request limits of servers.
type limitMetrics struct {
	changes *prometheus.CounterVec
	active  prometheus.Gauge
	// refusals counts the requests of this daemon that brittle servers have turned away.
	refusals prometheus.Counter
	// pauses counts the pauses that servers have asked this daemon for.
	pauses prometheus.Counter
}

func newLimitMetrics() *limitMetrics {
	return &limitMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_server_limit_changes_total",
			Help: "Changes of request limits of servers that this daemon has learned of, by source."}, []string{"source"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{Name: "monsooncrank_server_limits",
			Help: "Servers that have a request limit or are brittle."}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{Name: "monsooncrank_brittle_server_refusals_total",
			Help: "Requests of this daemon that brittle servers have turned away."}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{Name: "monsooncrank_server_pauses_total",
			Help: "Pauses that servers have asked this daemon for when they turned a request away."}),
	}
}

// Answered records that a server has answered a request that was sent at a time, and what the
// answer says of the server.
func (s *state) Answered(server *fleet.Server, sentAt time.Time, said relay.Statements) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Settled(server.RunID())
	s.hear(server, sentAt, said)
}

// Said records what a server says of itself in another response.
func (s *state) Said(server *fleet.Server, sentAt time.Time, said relay.Statements) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hear(server, sentAt, said)
}

// hear applies what a server says of itself in the answer to a request that was sent at a time:
// a request limit, of which other daemons are told at once; that it leaves, which its entry may
// state later or never; and for how long it wants no request from this daemon.
func (s *state) hear(server *fleet.Server, sentAt time.Time, said relay.Statements) {
	e, changed := s.limits.Observe(time.Now(), server.Service, server.RunID(), sentAt, said.RequestLimit)
	if changed {
		s.logLimit(&e, "answer")
		s.wakeExchange()
	}
	if !said.Leaving && said.RetryAfter == 0 {
		return
	}
	// The start of a run is stated in true time, which the clocks of all daemons come closest to.
	sentAtTrue := s.clusterTime().Add(-time.Since(sentAt))
	if said.Leaving {
		klog.InfoS("server says that it leaves", "server", server.RunID(), "service", server.Service, "accepts", s.placement.Accepts(server),
			"fleetVersion", s.fleet.Version(), "fleetAgeMs", s.fleetAge().Milliseconds())
		s.applyServerEvents(s.fleet.SaidLeaving(server, sentAtTrue), "answer")
	}
	if said.RetryAfter > 0 {
		s.limits.Pause(time.Now(), sentAtTrue, server.RunID(), said.RetryAfter)
		s.limitMetrics.pauses.Inc()
		klog.InfoS("server asks for a pause", "server", server.RunID(), "service", server.Service, "forMs", said.RetryAfter.Milliseconds())
	}
}

// TurnedAway records that a server has turned a request away for want of room. Other daemons
// are told at once if it is brittle.
func (s *state) TurnedAway(d *placement.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Refused(time.Now(), d.Server.Service, d.Server.RunID(), d.Running) {
		s.limitMetrics.refusals.Inc()
		klog.InfoS("brittle server turned a request away", "server", d.Server.RunID(), "service", d.Server.Service, "running", d.Running, "daemons", s.peers.Size())
		s.wakeExchange()
	}
}

// applyLimits merges the request limits that a neighbor knows of. Hubs tell others at
// once.
func (s *state) applyLimits(m *mesh.Message) {
	changed := false
	for i := range m.Limits {
		if s.limits.Merge(time.Now(), m.Record.Node, m.Limits[i]) {
			s.logLimit(&m.Limits[i], "peer "+m.Record.Node)
			changed = true
		}
	}
	if changed && !s.peers.IsFullMesh() {
		s.wakeExchange()
	}
}

// refreshLimitMembers chooses the senders to servers with a request limit again if that
// is due.
func (s *state) refreshLimitMembers(now time.Time) {
	if now.Sub(s.membersUpdatedAt) >= memberInterval {
		s.updateLimitMembers()
	}
}

// updateLimitMembers chooses the senders among the daemons that are alive now.
func (s *state) updateLimitMembers() {
	s.membersUpdatedAt = bootNow()
	if s.limits.Active() > 0 {
		s.limits.SetMembers(time.Now(), s.peers.Members(bootNow(), memberMaxAge), s.stopping)
	}
}

// logLimit logs a change of the request limit of a server.
func (s *state) logLimit(e *serverlimit.Entry, source string) {
	s.updateLimitMembers()
	s.limitMetrics.changes.WithLabelValues(changeSource(source)).Inc()
	s.limitMetrics.active.Set(float64(s.limits.Active()))
	role, rate := s.limits.RoleOf(e.Run)
	klog.InfoS("request limit of a server", "server", e.Run, "limited", e.Limited, "perSecond", e.PerSecond, "brittle", e.Brittle, "maxRefusals", e.MaxRefusals, "version", e.Version,
		"source", source, "role", role.String(), "ownPerSecond", rate, "daemons", s.peers.Size())
}

// mayUse reports whether a request may be sent to a server now as far as its request
// limit and its room are concerned.
func (s *state) mayUse(server *fleet.Server, running int) bool {
	now, run := time.Now(), server.RunID()
	return s.limits.Available(now, run) && s.limits.HasRoom(now, server.Service, run, running)
}

// mayUseFrom reports whether a request may be sent to a server, by this daemon or by the one
// that sends the requests of all daemons to it. A forwarded request is not forwarded again.
func (s *state) mayUseFrom(forwarded bool) func(server *fleet.Server, running int) bool {
	return func(server *fleet.Server, running int) bool {
		if s.limits.IsSender(server.Service, server.RunID()) {
			return s.mayUse(server, running)
		}
		return !forwarded
	}
}

// senderOf returns the daemon that sends the requests of all daemons to a server, or an empty
// name if this daemon may send its own.
func (s *state) senderOf(server *fleet.Server) string {
	if node, only := s.limits.Sender(server.Service, server.RunID()); only && node != s.settings.Node {
		return node
	}
	return ""
}

// pauseLeft returns the time until the first of the servers of a service that have asked this
// daemon for a pause may be sent requests again, or 0 if none has.
func (s *state) pauseLeft(service string) time.Duration {
	var first time.Duration
	for _, server := range s.serversOf(service) {
		if left := s.limits.PauseLeft(time.Now(), server.RunID()); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// usePermit takes the permit for a request to the selected server. Its limit counts
// all requests that arrive, so that a permit is not returned when the request fails.
func (s *state) usePermit(d *placement.Decision) {
	now, run := time.Now(), d.Server.RunID()
	d.Limited = s.limits.Take(now, run)
	s.limits.Sent(now, d.Server.Service, run)
}
