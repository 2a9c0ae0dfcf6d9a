package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

// DrainingError is the readiness error of a daemon that is draining.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "the daemon is draining" }

// buildOperatorAPI creates the operator API.
func (d *Daemon) buildOperatorAPI() error {
	token, err := readSecret(d.settings.OperatorTokenFile)
	if err != nil {
		return errors.Trace(err)
	}
	d.operators = operatorapi.NewServer(operatorapi.Options{
		Token:         token,
		Intake:        d.intake,
		Configuration: d.publisher,
		Status:        d.status,
		Decisions:     d.recorder,
		Drainer:       drainer{d},
		Quarantine:    &operatorsQuarantine{manager: d.quarantine.manager},
		Metrics:       d.registry,
		Ready:         d.ready,
	})
	return nil
}

// drainer implements operatorapi.Drainer.
type drainer struct{ daemon *Daemon }

// Drain makes Run drain and stop the daemon, as it does after SIGTERM. Repeated
// calls have no effect.
func (d drainer) Drain() { d.daemon.drainOnce.Do(func() { close(d.daemon.drainRequested) }) }

// firstServerTimeout is how long a newly started daemon stays not ready while no
// BackendServer is known. After that it becomes ready even without any and refuses
// requests with a problem response.
const firstServerTimeout = 10 * time.Second

// NoServersError is the readiness error of a newly started daemon that has not
// discovered any BackendServer yet.
type NoServersError struct{}

func (e *NoServersError) Error() string { return "no backend server is known yet" }

// ready returns nil if the daemon accepts new requests, and otherwise the reason.
func (d *Daemon) ready() error {
	if d.draining.Load() {
		return &DrainingError{}
	}
	if _, err := d.follower.Current(); err != nil {
		return err
	}
	if !d.reconciler.serversKnown.Load() && d.clock.Since(d.startedAt) < firstServerTimeout {
		return &NoServersError{}
	}
	return nil
}

// Ready reports whether the platform's load balancer may send callers to this
// daemon.
func (d *Daemon) Ready() bool { return d.ready() == nil }

// status returns the daemon's status for the operator API.
func (d *Daemon) status() operatorapi.Status {
	return operatorapi.Status{
		Daemon:           d.settings.Name,
		AvailabilityZone: d.settings.AvailabilityZone,
		StartedAt:        d.startedAt,
		Ready:            d.ready() == nil,
		Draining:         d.draining.Load(),
		Configuration:    d.follower.Status(),
		Components:       d.componentHealth(),
	}
}

// componentHealth returns the health of the daemon's components.
func (d *Daemon) componentHealth() []operatorapi.ComponentHealth {
	peers := len(d.directory.Daemons(membership.StateAlive))
	leases := len(d.leases.HeldNames())
	return []operatorapi.ComponentHealth{
		newComponentHealth("membership", true, "%d other daemons alive", peers),
		newComponentHealth("leases", true, "%d ranges held", leases),
		newComponentHealth("streams", true, "%d in progress", d.streams.Active()),
		newComponentHealth("deferred", true, "%d running here", d.deferred.Running()),
		newComponentHealth("quarantine", true, "%d requests", len(d.quarantine.manager.List())),
		d.invariantsHealth(),
	}
}

func newComponentHealth(name string, healthy bool, format string, args ...any) operatorapi.ComponentHealth {
	return operatorapi.ComponentHealth{Name: name, Healthy: healthy, Detail: fmt.Sprintf(format, args...)}
}

func (d *Daemon) invariantsHealth() operatorapi.ComponentHealth {
	counts := d.invariants.Counts()
	return newComponentHealth("invariants", len(counts) == 0, "%d violated", len(counts))
}

// operatorsQuarantine implements operatorapi.Quarantine.
type operatorsQuarantine struct{ manager *quarantine.Manager }

// List returns the quarantined requests.
func (q *operatorsQuarantine) List(context.Context) ([]operatorapi.QuarantineEntry, error) {
	entries := q.manager.List()
	list := make([]operatorapi.QuarantineEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, operatorapi.QuarantineEntry{
			Fingerprint: string(e.Fingerprint),
			Crashes:     len(e.Servers),
			State:       "quarantined",
			Since:       e.LastCrash,
		})
	}
	return list, nil
}

// Release removes a request from the quarantine.
func (q *operatorsQuarantine) Release(ctx context.Context, fingerprint string) error {
	err := q.manager.Release(ctx, quarantine.Fingerprint(fingerprint))
	var unknown *quarantine.NotQuarantinedError
	if errors.As(err, &unknown) {
		return &operatorapi.UnknownFingerprintError{Fingerprint: fingerprint}
	}
	return errors.Trace(err)
}
