package daemon

import (
	"math/rand/v2"
	"net"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/retry"
	"github.com/monsooncrank/monsooncrank/pkg/admission"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/gateway"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/leases"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// Stream numbers of the random number generators. Each component has its own
// generator, derived from the daemon's seed and one of these numbers.
const (
	randomMembership uint64 = iota + 1
	randomRouting
	randomRetry
	randomLease
	randomCalls
	randomStreams
	randomCapacity
)

// listenerShares are the shares of connections at each address. The rest of the descriptors is for connections
// to BackendServers, other daemons and the platform.
var listenerShares = map[string]intake.Share{
	gateway.ListenerName:     {Fraction: 0.5, BytesPerConnection: gateway.ConnectionBytes},
	operatorapi.ListenerName: {Fraction: 0.03125, BytesPerConnection: gateway.ConnectionBytes},
	peer.ListenerName:        {Fraction: 0.25},
}

// buildIntake sets the bounds on what clients make the process hold.
func (d *Daemon) buildIntake(func(uint64) *rand.Rand) error {
	memory := int64(d.settings.MemoryMiB) << 20
	if memory == 0 {
		memory = intake.HostMemory()
	}
	intake.SetGCLimit(memory)
	d.intake = intake.NewBudget(intake.LimitsFor(intake.Host{MemoryBytes: memory, Descriptors: intake.HostDescriptors(),
		Listeners: listenerShares}), d.registry)
	d.responses = intake.NewResponses(memory)
	return errors.Trace(d.responses.Register(d.registry))
}

// buildMembership opens the listener for peers and creates the membership
// components. The listener comes first because its address is announced to the
// other daemons.
func (d *Daemon) buildMembership(random func(uint64) *rand.Rand) error {
	serverTLS, clientTLS, err := d.peerTLS()
	if err != nil {
		return errors.Trace(err)
	}
	d.peers, err = peer.NewServer(peer.ServerOptions{
		Address: d.settings.Peers.Address, TLS: serverTLS, PlatformEndsTLS: d.settings.Peers.PlatformEndsTLS, Intake: d.intake,
	}, d.peerHandlers())
	if err != nil {
		return errors.Trace(err)
	}
	d.pool = peer.NewPool(peer.PoolOptions{TLS: clientTLS})
	self := membership.Member{
		Name: d.settings.Name, Address: d.peers.Address(),
		AvailabilityZone: d.settings.AvailabilityZone, Incarnation: d.incarnation,
	}
	core := membership.New(membership.Options{Seeds: d.settings.PeerAddresses}, self, random(randomMembership), d.clock.Now())
	d.directory = membership.NewDirectory(core, d.clock.Now, d.invariants)
	d.gossip = peer.NewGossip(peer.GossipOptions{
		Clock: d.clock, Lister: d.platform.hostList, Metrics: peer.NewMetrics(d.registry),
		Hooks: peer.Hooks{
			OnAnnouncement: d.handleAnnouncement,
			OnRevision:     d.handleRevision,
			OnMemberChange: d.handleMemberChange,
		},
	}, d.directory, d.pool)
	return nil
}

// buildComponents creates the components that process requests from callers, and
// those that watch for reclaim notices and buy capacity.
func (d *Daemon) buildComponents(random func(uint64) *rand.Rand) error {
	var err error
	d.leases = leases.NewManager(lease.Options{
		Core: lease.CoreOptions{
			Holder: d.settings.Name + "#" + uuid.NewString(), Names: d.leaseNames(),
			Random: random(randomLease), Reporter: d.invariants,
		},
		Store: d.platform.table, Clock: d.clock,
	}, d.registry)
	d.committer = idempotency.NewCommitter(idempotency.CommitterOptions{Store: d.platform.table, Clock: d.clock})
	d.controller, err = admission.NewController(admission.ControllerOptions{
		Core: admission.DefaultOptions(), Clock: d.clock, Registry: d.registry, Recorder: d.recorder,
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.balancer = routing.NewBalancer(routing.BalancerOptions{
		Router: routing.Options{Daemon: d.settings.Name, AvailabilityZone: d.settings.AvailabilityZone},
		Clock:  d.clock, Random: random(randomRouting), Decisions: d.recorder,
		Invariants: d.invariants, Registerer: d.registry,
	})
	d.engines = engine.NewHTTPClient(engine.Options{Responses: d.responses})
	d.quarantine, err = newStreamQuarantine(d.platform.table, d.broadcast(membership.AnnounceQuarantine), d.clock, d.recorder, d.registry)
	if err != nil {
		return errors.Trace(err)
	}
	d.services = service.NewClient(service.Options{Responses: d.responses})
	d.services.Register(d.registry)
	d.reconciler = &reconciler{
		configuration: d.follower, directory: d.directory, balancer: d.balancer,
		controller: d.controller, engines: d.engines, clock: d.clock,
		reportLoad: func(running, waiting int) { d.gossip.SetLoad(uint32(running), uint32(waiting)) },
	}
	// Streams and calls of an account share one retry budget.
	budget := &retryBudgets{policy: retry.NewPolicy(retry.DefaultOptions(), random(randomRetry)), clock: d.clock}
	d.buildStreams(random, budget)
	d.buildCalls(random, budget)
	d.notices = &reclaimWatcher{
		cloud: d.platform.cloud, directory: d.directory, balancer: d.balancer, streams: d.streams,
		clock: d.clock, broadcast: d.broadcast(membership.AnnounceReclaim), lookupServer: d.reconciler.serverByName,
	}
	if d.settings.Platform.BuyHosts {
		d.capacity = newCapacityManager(capacityOptions{
			configuration: d.follower, directory: d.directory, engines: d.engines, cloud: d.platform.cloud,
			leases: d.leases, clock: d.clock, recorder: d.recorder, random: random(randomCapacity),
			retire: d.notices.retire,
		})
	}
	return nil
}

// leaseNames returns the names of the leases that this daemon tries to acquire.
func (d *Daemon) leaseNames() []string {
	names := lease.RangeNames(rangeLeasePrefix)
	if d.settings.Platform.BuyHosts {
		names = append(names, buyerLease, placerLease)
	}
	return names
}

func (d *Daemon) buildStreams(random func(uint64) *rand.Rand, budget *retryBudgets) {
	catalog := &catalog{configuration: d.follower}
	admitter := newStreamAdmitter(d.controller, d.clock, d.reconciler.resource, catalog.firstTokenTarget)
	d.streams = streaming.NewDriver(streaming.Options{
		Client: d.engines, Router: newStreamRouter(d.balancer, admitter.observeFirstToken), Route: catalog.streamRoute,
		Directory: d.directory, RetryBudget: budget, Quarantine: d.quarantine, Admission: admitter,
		Peer: &streamPeers{directory: d.directory, pool: d.pool}, Clock: d.clock, Recorder: d.recorder,
		Invariants: d.invariants, Registerer: d.registry, Seed: random(randomStreams).Uint64(),
	})
	d.deferred = deferred.NewDriver(deferred.Options{
		Table: d.platform.table, Objects: d.platform.objects, Ranges: &rangeLeases{manager: d.leases},
		Chat: &preemptibleChats{streams: d.streams, admitter: admitter}, Clock: d.clock,
		SaveInterval: d.deferredSaveInterval, Invariants: d.invariants, Registerer: d.registry,
	})
}

func (d *Daemon) buildCalls(random func(uint64) *rand.Rand, budget *retryBudgets) {
	d.calls = oncecall.NewCaller(oncecall.Options{
		Daemon: d.settings.Name, Configuration: &catalog{configuration: d.follower}, Directory: d.directory,
		Client: d.services, Store: d.platform.table, Committer: d.committer, Leases: d.leases.Duty(rangeLeasePrefix),
		Budget: budget, Quarantine: d.quarantine.manager, Clock: d.clock, Decisions: d.recorder, Reporter: d.invariants,
		Registerer: d.registry, Random: random(randomCalls),
	})
}

// buildListeners creates the gateway for callers and the operator API, and opens
// their listeners.
func (d *Daemon) buildListeners(func(uint64) *rand.Rand) error {
	var err error
	callerCatalog := &catalog{configuration: d.reconciler}
	d.callers, err = gateway.NewServer(gateway.Options{
		ChatHandler:     &authorizedChats{catalog: callerCatalog, streams: d.streams},
		CallHandler:     &authorizedCalls{catalog: callerCatalog, caller: d.calls},
		DeferredHandler: &authorizedDeferred{catalog: callerCatalog, driver: d.deferred},
		Catalog:         callerCatalog, Limits: gateway.DefaultLimits(),
		Clock: d.clock, Registry: d.registry, Intake: d.intake,
		NewID: func() string { return newRequestID(d.settings.Name) },
	})
	if err != nil {
		return errors.Trace(err)
	}
	if d.listeners.callers, err = d.listen(&d.settings.Callers); err != nil {
		return errors.Trace(err)
	}
	if d.listeners.operators, err = d.listen(&d.settings.Operators); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.buildOperatorAPI())
}

// listen opens a listener, with TLS if certificates are configured.
func (d *Daemon) listen(l *Listener) (net.Listener, error) {
	listener, err := intake.Listen(l.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "cannot listen on %s", l.Address)
	}
	if l.TLS == nil {
		return listener, nil
	}
	source, err := tlsfiles.NewSource(*l.TLS, d.clock)
	if err != nil {
		_ = listener.Close()
		return nil, errors.Trace(err)
	}
	return source.NewListener(listener), nil
}
