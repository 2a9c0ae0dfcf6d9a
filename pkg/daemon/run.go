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

// Start begins to serve.
func (d *Daemon) Start() {
	d.gossip.Start()
	d.reconciler.start()
	d.notices.start()
	go func() { d.served <- d.callers.Serve(d.listeners.callers) }()
	go func() { d.served <- d.operators.Serve(d.listeners.operators) }()
	klog.InfoS("daemon started", "name", d.settings.Name, "availabilityZone", d.settings.AvailabilityZone,
		"callers", d.CallersAddress(), "operators", d.OperatorsAddress(), "peers", d.PeersAddress())
}

// Run serves until ctx ends or an operator asks for a drain, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	d.Start()
	var failed error
	select {
	case <-ctx.Done():
	case <-d.drainAsked:
	case failed = <-d.served:
	}
	bounded, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancel()
	drained := d.Drain(bounded)
	d.Close()
	if failed != nil {
		return errors.Trace(failed)
	}
	return errors.Trace(drained)
}

// Drain takes no new work and waits until the requests in progress have ended
// or gone on at a peer, until ctx ends. The HTTP answers follow the streams, so
// the streams are drained first.
func (d *Daemon) Drain(ctx context.Context) error {
	klog.InfoS("drain begins", "name", d.settings.Name)
	d.draining.Store(true)
	d.gossip.Leave(ctx)
	d.awaitBalancer(ctx)
	d.callers.StopAccepting()
	// Deferred requests save what they have and go on at another daemon; they
	// run as streams, so they end first.
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
	klog.InfoS("drain ended", "name", d.settings.Name, "error", err)
	return errors.Trace(err)
}

// awaitBalancer goes on taking requests until the platform's balancer has seen
// that the daemon is not ready: its callers try once, so a refusal would lose
// them.
func (d *Daemon) awaitBalancer(ctx context.Context) {
	select {
	case <-d.clock.After(seconds(d.settings.BalancerSeconds)):
	case <-ctx.Done():
	}
}

// Close stops the daemon. Without a Drain before it, it cuts requests in
// progress as a crash does, but leaves no goroutine behind.
func (d *Daemon) Close() { d.closeOnce.Do(d.close) }

func (d *Daemon) close() {
	close(d.closing)
	if d.callers != nil {
		d.callers.Close()
	}
	for _, stop := range d.stops() {
		stop()
	}
}

// stops returns what ends the parts that have been built, in order: what
// answers callers, then what those parts use. Heartbeats end early: calls in
// progress may take half a minute, and the others must not count a daemon that
// does no more work among those that share the ranges.
func (d *Daemon) stops() []func() {
	var stops []func()
	add := func(built bool, stop func()) {
		if built {
			stops = append(stops, stop)
		}
	}
	add(d.capacity != nil, func() { d.capacity.close() })
	add(d.notices != nil && d.notices.stop != nil, func() { d.notices.close() })
	add(d.reconciler != nil && d.reconciler.stop != nil, func() { d.reconciler.close() })
	add(d.peers != nil, func() { logError("peers", d.peers.Close()) })
	add(d.gossip != nil, func() { d.gossip.Close() })
	add(d.deferred != nil, func() { logError("deferred", d.deferred.Close()) })
	add(d.streams != nil, func() { logError("streams", d.streams.Close()) })
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
	return stops
}

func logError(part string, err error) {
	if err != nil {
		klog.ErrorS(err, "close failed", "part", part)
	}
}

// CallersAddress returns where callers are served.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// OperatorsAddress returns where operators are served.
func (d *Daemon) OperatorsAddress() string { return d.listeners.operators.Addr().String() }

// PeersAddress returns where other daemons are served.
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

// Revision returns the configuration revision that the daemon serves under, 0
// for none.
func (d *Daemon) Revision() uint64 {
	snapshot, err := d.follower.Current()
	if err != nil {
		return 0
	}
	return snapshot.Revision
}

// operatorsShutdown bounds the end of the operators' listener.
const operatorsShutdown = time.Second

func (d *Daemon) closeOperators() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorsShutdown)
	defer cancel()
	if err := d.operators.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("operators' listener not closed in time", "error", err)
	}
}
