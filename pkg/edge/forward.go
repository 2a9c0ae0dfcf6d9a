package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
	"github.com/monsooncrank/monsooncrank/pkg/relay"
)

const (
	// reachProbeTimeout is the timeout of a probe. It is a few hundred round trips.
	reachProbeTimeout = 400 * time.Millisecond
	// resetDelay is how long a probe waits for a reset of the connection. It is many round
	// trips between zones, as a full server may be slow.
	resetDelay = 100 * time.Millisecond
	// probeCheckInterval is how often the daemon checks whether servers are to be probed
	// while links may be lost, and idleProbeCheckInterval otherwise.
	probeCheckInterval     = 50 * time.Millisecond
	idleProbeCheckInterval = time.Second
	// forwardedPerCore is how many forwarded requests in progress a daemon takes for each of
	// its cores, beside its own; a request takes a few milliseconds of a core and lasts
	// seconds. minForwarded is the least number.
	forwardedPerCore = 400
	minForwarded     = 16
)

// forwardState is what the daemon knows of its own links and of forwarded requests.
type forwardState struct {
	reach *reach.Core
	// wake starts the rounds of probes that are due.
	wake chan struct{}
	// received is the number of forwarded requests in progress.
	received int
	metrics  *forwardMetrics
}

// forwardMetrics holds the metrics of the links to servers.
type forwardMetrics struct {
	outOfReach prometheus.Gauge
	rejected   prometheus.Counter
}

func newForwardState(incarnation uint64) forwardState {
	return forwardState{reach: reach.New(incarnation), wake: make(chan struct{}, 1), metrics: &forwardMetrics{
		outOfReach: prometheus.NewGauge(prometheus.GaugeOpts{Name: "monsooncrank_services_out_of_reach",
			Help: "Services of whose servers this daemon reaches none."}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{Name: "monsooncrank_forwarded_requests_rejected_total",
			Help: "Forwarded requests that this daemon did not take because it had too many."}),
	}}
}

// Connected records the result of a new connection to a server. When a service gets out of
// reach or is back, other daemons are told at once.
func (s *state) Connected(server *fleet.Server, result reach.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected(server.Service, server.ID, result, "request")
}

func (s *state) connected(service, server string, result reach.Result, source string) {
	servers := 0
	if result != reach.Accepted {
		servers = len(s.serversOf(service))
	}
	changed := s.forward.reach.Connected(service, server, servers, result)
	if result != reach.Accepted {
		select {
		case s.forward.wake <- struct{}{}:
		default:
		}
	}
	if !changed {
		return
	}
	current := s.forward.reach.State(service)
	outOfReach := s.forward.reach.OutOfReach()
	klog.InfoS("links to servers", "service", service, "state", current.String(), "server", server, "source", source, "outOfReach", outOfReach,
		"daemons", s.peers.Size(), "reachedBy", len(s.forwardTargets(service, nil)))
	s.forward.metrics.outOfReach.Set(float64(len(outOfReach)))
	if current == reach.Unreachable {
		// Open connections may hang.
		for _, server := range s.serversOf(service) {
			s.pool.CloseIdle(server.ID)
		}
	}
	s.wakeExchange()
}

// serversOf returns the servers of a service that are not leaving.
func (s *state) serversOf(service string) []fleet.Server {
	return slices.DeleteFunc(s.fleet.Servers(), func(f fleet.Server) bool { return f.Service != service || f.Leaving })
}

// Reaches reports whether this daemon reaches the servers of a service.
func (s *state) Reaches(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forward.reach.State(service) == reach.Reachable
}

// MayReach reports whether requests may be sent to the servers of a service from here if no
// other daemon reaches them.
func (s *state) MayReach(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forward.reach.State(service) != reach.Unreachable
}

// forwardTargets returns the daemons that reach the servers of a service.
func (s *state) forwardTargets(service string, exclude []string) []mesh.Peer {
	return slices.DeleteFunc(s.peers.Alive(bootNow(), memberMaxAge), func(p mesh.Peer) bool {
		return p.Record.ForwardAddress == "" || slices.Contains(p.Record.OutOfReach, service) || slices.Contains(exclude, p.Node)
	})
}

// ForwardTo selects a daemon that reaches the servers of a service: of two drawn ones, in
// this daemon's zone if there are any, the one with fewer requests in progress. A request
// that one daemon has not taken goes to one in any zone.
func (s *state) ForwardTo(service string, exclude []string) (relay.ForwardTarget, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.forwardTargets(service, exclude)
	if len(exclude) == 0 {
		near := slices.DeleteFunc(slices.Clone(targets), func(p mesh.Peer) bool { return p.Zone != s.settings.AvailabilityZone })
		if len(near) > 0 {
			targets = near
		}
	}
	if len(targets) == 0 {
		return relay.ForwardTarget{}, false
	}
	p, other := targets[rand.IntN(len(targets))], targets[rand.IntN(len(targets))]
	if requestsInProgress(&other) < requestsInProgress(&p) {
		p = other
	}
	return relay.ForwardTarget{Node: p.Node, Address: p.Record.ForwardAddress}, true
}

// ForwardToSender returns the daemon that sends the requests of all daemons to a server.
func (s *state) ForwardToSender(node string) (relay.ForwardTarget, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers.Lookup(node)
	return relay.ForwardTarget{Node: node, Address: p.Record.ForwardAddress}, ok && p.Record.ForwardAddress != ""
}

// requestsInProgress returns the number of requests that a daemon had at servers when it
// sent its last record.
func requestsInProgress(p *mesh.Peer) int {
	n := 0
	for _, load := range p.Record.Loads {
		n += load.Running
	}
	return n
}

// AdmitForwarded reports whether this daemon takes a further forwarded request, so that
// those of many daemons without links do not overload the few that have them.
func (s *state) AdmitForwarded() (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forward.received >= max(int(forwardedPerCore*s.settings.Cores), minForwarded) {
		s.forward.metrics.rejected.Inc()
		return nil, false
	}
	s.forward.received++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forward.received--
	}, true
}

// probeLoop probes servers of services to which connections have failed.
func (d *Daemon) probeLoop(ctx context.Context) {
	timer := time.NewTimer(idleProbeCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.state.forward.wake:
		}
		timer.Reset(d.state.probeCheckAfter())
		for service, servers := range d.state.dueProbes(time.Now()) {
			go d.probeServers(ctx, service, servers)
		}
	}
}

// probeCheckAfter returns the time after which to check whether servers are to be probed.
func (s *state) probeCheckAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forward.reach.Pending() {
		return probeCheckInterval
	}
	return idleProbeCheckInterval
}

// dueProbes returns the servers to probe now, by service.
func (s *state) dueProbes(now time.Time) map[string][]fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due map[string][]fleet.Server
	for _, service := range s.forward.reach.Services() {
		if !s.forward.reach.RoundDue(now, service) {
			continue
		}
		servers := s.serversOf(service)
		ids := make([]string, len(servers))
		for i := range servers {
			ids[i] = servers[i].ID
		}
		round := s.forward.reach.Round(now, service, ids)
		if len(round) == 0 {
			continue
		}
		if due == nil {
			due = make(map[string][]fleet.Server)
		}
		due[service] = slices.DeleteFunc(servers, func(f fleet.Server) bool { return !slices.Contains(round, f.ID) })
	}
	return due
}

// probeServers probes servers of a service at the same time and records the results.
func (d *Daemon) probeServers(ctx context.Context, service string, servers []fleet.Server) {
	var running sync.WaitGroup
	for _, server := range servers {
		running.Go(func() {
			result := d.probe(ctx, server.Address)
			d.state.mu.Lock()
			defer d.state.mu.Unlock()
			d.state.connected(service, server.ID, result, "probe")
		})
	}
	running.Wait()
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	d.state.forward.reach.RoundDone(service)
}

// probe opens a connection to a server and closes it.
func (d *Daemon) probe(ctx context.Context, address string) reach.Result {
	dialCtx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	conn, err := d.pool.DialContext(dialCtx, address)
	if err != nil {
		return relay.DialResult(err)
	}
	// Nothing was sent, so that an error of closing has no effect.
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(resetDelay)); err != nil {
		return reach.Reset
	}
	var buffer [1]byte
	if _, err := conn.Read(buffer[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return reach.Reset
	}
	return reach.Accepted
}

// internalHandler serves requests on the address for other daemons and for metrics.
func (d *Daemon) internalHandler(metrics http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relay.IsForwarded(r) {
			d.front.ServeForwarded(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

// awaitForwarded waits until no forwarded request is in progress or the context ends.
func (d *Daemon) awaitForwarded(ctx context.Context) {
	for ctx.Err() == nil {
		d.state.mu.Lock()
		received := d.state.forward.received
		d.state.mu.Unlock()
		if received == 0 {
			return
		}
		pause(ctx, probeCheckInterval)
	}
}
