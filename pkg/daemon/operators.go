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

// DrainingError is why a stopping daemon is not ready.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "the daemon is draining" }

// buildOperators builds the operators' interface.
func (d *Daemon) buildOperators() error {
	token, err := readSecret(d.settings.OperatorTokenFile)
	if err != nil {
		return errors.Trace(err)
	}
	d.operators = operatorapi.NewServer(operatorapi.Options{
		Token:         token,
		Configuration: d.publisher,
		Status:        d.status,
		Decisions:     d.recorder,
		Drainer:       drainer{d},
		Quarantine:    &operatorsQuarantine{duty: d.quarantine},
		Metrics:       d.registry,
		Ready:         d.ready,
	})
	return nil
}

// drainer lets operators stop the daemon.
type drainer struct{ daemon *Daemon }

// Drain implements operatorapi.Drainer: it asks Run to stop the daemon in the
// way of SIGTERM.
func (d drainer) Drain() { d.daemon.drainOnce.Do(func() { close(d.daemon.drainAsked) }) }

// serversTimeout is how long a daemon that has just started waits for the first
// BackendServers. A deployment without any is served all the same, with typed
// refusals.
const serversTimeout = 10 * time.Second

// NoServersError is why a daemon that has just started is not ready.
type NoServersError struct{}

func (e *NoServersError) Error() string { return "no backend server is known yet" }

// ready returns nil while the daemon takes new work.
func (d *Daemon) ready() error {
	if d.draining.Load() {
		return &DrainingError{}
	}
	if _, err := d.follower.Current(); err != nil {
		return err
	}
	if !d.reconciler.serversKnown.Load() && d.clock.Since(d.startedAt) < serversTimeout {
		return &NoServersError{}
	}
	return nil
}

// Ready reports whether the platform's balancer may send callers.
func (d *Daemon) Ready() bool { return d.ready() == nil }

// status describes the daemon to operators.
func (d *Daemon) status() operatorapi.Status {
	return operatorapi.Status{
		Daemon:           d.settings.Name,
		AvailabilityZone: d.settings.AvailabilityZone,
		StartedAt:        d.startedAt,
		Ready:            d.ready() == nil,
		Draining:         d.draining.Load(),
		Configuration:    d.follower.Status(),
		Duties:           d.duties(),
	}
}

// duties lists the state of the daemon's duties.
func (d *Daemon) duties() []operatorapi.Duty {
	peers := len(d.directory.Daemons(membership.StateAlive))
	leases := len(d.leases.HeldNames())
	return []operatorapi.Duty{
		duty("membership", true, "%d other daemons alive", peers),
		duty("leases", true, "%d ranges held", leases),
		duty("streams", true, "%d in progress", d.streams.Active()),
		duty("deferred", true, "%d running here", d.deferred.Running()),
		duty("quarantine", true, "%d requests", len(d.quarantine.List())),
		d.invariantsDuty(),
	}
}

func duty(name string, healthy bool, format string, args ...any) operatorapi.Duty {
	return operatorapi.Duty{Name: name, Healthy: healthy, Detail: fmt.Sprintf(format, args...)}
}

func (d *Daemon) invariantsDuty() operatorapi.Duty {
	counts := d.invariants.Counts()
	return duty("invariants", len(counts) == 0, "%d violated", len(counts))
}

// operatorsQuarantine shows the quarantine to operators.
type operatorsQuarantine struct{ duty *quarantineDuty }

// List implements operatorapi.Quarantine.
func (q *operatorsQuarantine) List(context.Context) ([]operatorapi.QuarantineEntry, error) {
	entries := q.duty.List()
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

// Release implements operatorapi.Quarantine.
func (q *operatorsQuarantine) Release(ctx context.Context, fingerprint string) error {
	err := q.duty.Release(ctx, quarantine.Fingerprint(fingerprint))
	var unknown *quarantine.NotQuarantinedError
	if errors.As(err, &unknown) {
		return &operatorapi.UnknownFingerprintError{Fingerprint: fingerprint}
	}
	return errors.Trace(err)
}
