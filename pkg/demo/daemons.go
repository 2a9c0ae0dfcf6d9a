package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/daemon"
)

// readyPollInterval is the time between two checks for ready daemons.
const readyPollInterval = 20 * time.Millisecond

// startDaemons starts the operator's daemons, distributed evenly over its
// availability zones.
func (d *deployment) startDaemons(seed uint64) error {
	for n := range daemonsPerOperator {
		if err := d.startDaemon(n, seed); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startDaemon starts the n-th daemon with the running daemons as its peers.
func (d *deployment) startDaemon(n int, seed uint64) error {
	settings := &daemon.Settings{
		Name:              fmt.Sprintf("%s-%d", d.name, n+1),
		Operator:          d.name,
		AvailabilityZone:  d.zones[n%len(d.zones)],
		Callers:           daemon.Listener{Address: loopback},
		Operators:         daemon.Listener{Address: loopback},
		Peers:             daemon.Listener{Address: loopback},
		OperatorTokenFile: d.tokenFile,
		Platform:          d.platform,
		DrainSeconds:      drainSeconds,
		BalancerSeconds:   balancerSeconds,
	}
	for _, other := range d.runningDaemons() {
		settings.PeerAddresses = append(settings.PeerAddresses, other.PeersAddress())
	}
	instance, err := daemon.New(daemon.Options{Settings: settings, Clock: clock.RealClock{}, Seed: seed + uint64(n)})
	if err != nil {
		return errors.Annotatef(err, "start daemon %s", settings.Name)
	}
	instance.Start()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons = append(d.daemons, instance)
	return nil
}

// awaitRevision waits until the revision in force at every daemon is at least
// minRevision, and returns how long that took.
func (d *deployment) awaitRevision(ctx context.Context, minRevision uint64) (time.Duration, error) {
	started := time.Now()
	for {
		laggingDaemon := ""
		for _, instance := range d.runningDaemons() {
			if instance.Revision() < minRevision {
				laggingDaemon = instance.Name()
			}
		}
		if laggingDaemon == "" {
			return time.Since(started), nil
		}
		if !sleep(ctx, readyPollInterval) {
			return 0, &RevisionTimeoutError{Daemon: laggingDaemon, Revision: minRevision}
		}
	}
}

// RevisionTimeoutError reports a daemon at which a configuration revision did not
// come into force in time.
type RevisionTimeoutError struct {
	Daemon   string
	Revision uint64
}

func (e *RevisionTimeoutError) Error() string {
	return fmt.Sprintf("daemon %s: configuration revision %d did not come into force in time", e.Daemon, e.Revision)
}

// callersAddresses returns the addresses to which the load balancer sends
// callers.
func (d *deployment) callersAddresses() []string {
	var addresses []string
	for _, instance := range d.runningDaemons() {
		addresses = append(addresses, instance.CallersAddress())
	}
	return addresses
}
