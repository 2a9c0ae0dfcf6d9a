package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// Start starts the background tasks and serves callers and operators.
func (d *Daemon) Start() {
	d.gossip.Start()
	d.reconciler.start()
	d.notices.start()
	go func() { d.serveErrors <- d.callers.Serve(d.listeners.callers) }()
	go func() { d.serveErrors <- d.operators.Serve(d.listeners.operators) }()
	klog.InfoS("daemon started", "name", d.settings.Name, "availabilityZone", d.settings.AvailabilityZone,
		"callers", d.CallersAddress(), "operators", d.OperatorsAddress(), "peers", d.PeersAddress())
}

// Run starts the daemon and serves until ctx is done, an operator requests a
// drain, or a listener fails. Then it drains and closes the daemon.
func (d *Daemon) Run(ctx context.Context) error {
	d.Start()
	var serveErr error
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case serveErr = <-d.serveErrors:
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancel()
	drainErr := d.Drain(drainCtx)
	d.Close()
	if serveErr != nil {
		return errors.Trace(serveErr)
	}
	return errors.Trace(drainErr)
}

// Drain stops accepting new requests and waits until the requests in progress
// have finished or have been handed over to a peer, or until ctx is done. HTTP
// responses end after their streams, so the streams are drained first.
func (d *Daemon) Drain(ctx context.Context) error {
	klog.InfoS("drain started", "name", d.settings.Name)
	d.draining.Store(true)
	d.gossip.Leave(ctx)
	d.awaitBalancer(ctx)
	d.callers.StopAccepting()
	// Deferred requests save their partial answers and continue at another daemon.
	// They run as streams, so they are drained before the streams.
	err := d.deferred.Drain(ctx)
	if streamsErr := d.streams.Drain(ctx); streamsErr != nil {
		err = streamsErr
	}
	if callersErr := d.callers.Shutdown(ctx); callersErr != nil {
		err = callersErr
	}
	active := d.streams.Active()
	if violation := d.invariants.Check(active == 0, invariant.GracefulStop, "%d streams remain after the drain", active); violation != nil {
		err = violation
	}
	klog.InfoS("drain finished", "name", d.settings.Name, "error", err)
	return errors.Trace(err)
}

// awaitBalancer waits for the time that the platform's load balancer needs to detect
// that the daemon is not ready. Requests are accepted meanwhile, because callers try
// only once and a refused request would be lost.
func (d *Daemon) awaitBalancer(ctx context.Context) {
	select {
	case <-d.clock.After(seconds(d.settings.BalancerSeconds)):
	case <-ctx.Done():
	}
}

// Close stops the daemon. Without a preceding Drain it aborts requests in
// progress like a crash, but it waits for all goroutines to end.
func (d *Daemon) Close() { d.closeOnce.Do(d.close) }

func (d *Daemon) close() {
	close(d.closing)
	if d.callers != nil {
		d.callers.Close()
	}
	for _, stop := range d.closeFuncs() {
		stop()
	}
}

// closeFuncs returns the functions that close the components created so far, in
// this order: components that serve callers, then the components they depend on.
// Heartbeats stop early: calls in progress may take half a minute, and meanwhile
// other daemons must not count this daemon, which does no more work, among those
// that share the ranges.
func (d *Daemon) closeFuncs() []func() {
	var closeFuncs []func()
	add := func(built bool, stop func()) {
		if built {
			closeFuncs = append(closeFuncs, stop)
		}
	}
	add(d.capacity != nil, func() { d.capacity.close() })
	add(d.notices != nil && d.notices.stop != nil, func() { d.notices.close() })
	add(d.reconciler != nil && d.reconciler.stop != nil, func() { d.reconciler.close() })
	add(d.peers != nil, func() { logCloseError("peers", d.peers.Close()) })
	add(d.gossip != nil, func() { d.gossip.Close() })
	add(d.deferred != nil, func() { logCloseError("deferred", d.deferred.Close()) })
	add(d.streams != nil, func() { logCloseError("streams", d.streams.Close()) })
	add(d.calls != nil, func() { d.calls.Close() })
	add(d.leases != nil, func() { d.leases.Close() })
	add(d.committer != nil, func() { d.committer.Close() })
	add(d.quarantine != nil, func() { d.quarantine.close() })
	add(d.controller != nil, func() { d.controller.Close() })
	add(d.operators != nil, d.closeOperators)
	add(d.follower != nil, func() { d.follower.Close() })
	add(d.pool != nil, func() { d.pool.Close() })
	add(d.engines != nil, func() { d.engines.Close() })
	add(d.services != nil, func() { d.services.Close() })
	add(d.platform != nil, func() { d.platform.close() })
	return closeFuncs
}

func logCloseError(part string, err error) {
	if err != nil {
		klog.ErrorS(err, "cannot close component", "part", part)
	}
}

// CallersAddress returns the address of the listener for callers.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// OperatorsAddress returns the address of the listener for operators.
func (d *Daemon) OperatorsAddress() string { return d.listeners.operators.Addr().String() }

// PeersAddress returns the address of the listener for other daemons.
func (d *Daemon) PeersAddress() string { return d.peers.Address() }

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.settings.Name }

// Available returns the BackendServers of a Pool that may receive new work.
func (d *Daemon) Available(pool string) []membership.BackendServer {
	return d.directory.Available(pool)
}

// Publish publishes a configuration.
func (d *Daemon) Publish(ctx context.Context, req publish.Request) (publish.Record, error) {
	return d.publisher.Publish(ctx, req)
}

// Revision returns the revision of the configuration in force at this daemon, or
// 0 if there is none.
func (d *Daemon) Revision() uint64 {
	snapshot, err := d.follower.Current()
	if err != nil {
		return 0
	}
	return snapshot.Revision
}

// operatorsShutdownTimeout limits the graceful shutdown of the operator API.
const operatorsShutdownTimeout = time.Second

func (d *Daemon) closeOperators() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorsShutdownTimeout)
	defer cancel()
	if err := d.operators.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("operator API did not shut down in time", "error", err)
	}
}
