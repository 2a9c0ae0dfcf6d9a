package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/daemon"
)

// readyPoll is how often the demo looks whether daemons are ready.
const readyPoll = 20 * time.Millisecond

// startDaemons starts the operator's daemons, spread over its zones.
func (d *deployment) startDaemons(seed uint64) error {
	for n := range daemonsPerOperator {
		if err := d.startDaemon(n, seed); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

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
	for _, other := range d.running() {
		settings.PeerAddresses = append(settings.PeerAddresses, other.PeersAddress())
	}
	one, err := daemon.New(daemon.Options{Settings: settings, Clock: clock.RealClock{}, Seed: seed + uint64(n)})
	if err != nil {
		return errors.Annotatef(err, "start daemon %s", settings.Name)
	}
	one.Start()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons = append(d.daemons, one)
	return nil
}

// awaitRevision waits until every daemon serves under a revision of at least
// wanted, and returns how long that took.
func (d *deployment) awaitRevision(ctx context.Context, wanted uint64) (time.Duration, error) {
	started := time.Now()
	for {
		behind := ""
		for _, one := range d.running() {
			if one.Revision() < wanted {
				behind = one.Name()
			}
		}
		if behind == "" {
			return time.Since(started), nil
		}
		if !sleep(ctx, readyPoll) {
			return 0, &RevisionTimeoutError{Daemon: behind, Revision: wanted}
		}
	}
}

// RevisionTimeoutError reports a daemon that did not serve under a revision in time.
type RevisionTimeoutError struct {
	Daemon   string
	Revision uint64
}

func (e *RevisionTimeoutError) Error() string {
	return fmt.Sprintf("daemon %s does not serve under revision %d", e.Daemon, e.Revision)
}

// callersAddresses are what the platform's balancer sends callers to.
func (d *deployment) callersAddresses() []string {
	var addresses []string
	for _, one := range d.running() {
		addresses = append(addresses, one.CallersAddress())
	}
	return addresses
}
