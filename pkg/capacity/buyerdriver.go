package capacity

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// BuyerHooks connects a BuyerDriver to the other parts of the daemon.
type BuyerHooks struct {
	// Groups returns the present demand for capacity and the offers to meet it.
	Groups func() []Group
	// Drain takes the Host's BackendServer out of use at all daemons.
	Drain func(cloud.Host)
	// Draining reports whether the Host's BackendServer has been taken out of use.
	Draining func(cloud.Host) bool
	// Idle reports whether no daemon has work left on the Host.
	Idle func(cloud.Host) bool
	// OnNotices is called with the reclaim notices of each poll. It may be nil.
	OnNotices func([]cloud.Notice)
}

// BuyerDriver performs the actions of a Buyer while the lease is held.
type BuyerDriver struct {
	*runner
	api      cloud.API
	hooks    BuyerHooks
	recorder *decision.Recorder

	hostsMu sync.Mutex
	hosts   []cloud.Host // newest list, guarded by hostsMu
}

// NewBuyerDriver starts a BuyerDriver, which runs until Close.
func NewBuyerDriver(o DriverOptions, buyer *Buyer, api cloud.API, lease Lease, hooks BuyerHooks, recorder *decision.Recorder) *BuyerDriver {
	d := &BuyerDriver{runner: newRunner(o, lease, buyer), api: api, hooks: hooks, recorder: recorder}
	d.eventsBeforeTick, d.execute = d.events, d.perform
	d.start()
	return d
}

// events returns the events for the Buyer before each tick: the demand, and the
// draining and idle Hosts of the newest list.
func (d *BuyerDriver) events() []Event {
	d.hostsMu.Lock()
	hosts := d.hosts
	d.hostsMu.Unlock()
	events := []Event{GroupsEvent{Groups: d.hooks.Groups()}}
	var draining []string
	for _, h := range hosts {
		if !d.hooks.Draining(h) {
			continue
		}
		draining = append(draining, h.ID)
		if d.hooks.Idle(h) {
			events = append(events, IdleEvent{HostID: h.ID})
		}
	}
	return append(events, DrainingEvent{HostIDs: draining})
}

func (d *BuyerDriver) perform(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case ListAction:
		return d.list(ctx)
	case StartAction:
		return d.startHost(ctx, a)
	case DrainAction:
		d.record(a.Host.ID, nil, "drain: "+a.Reason)
		d.hooks.Drain(a.Host)
	case StopAction:
		d.record(a.HostID, nil, "stop: "+a.Reason)
		var missing *cloud.NotFoundError
		if err := d.api.Stop(ctx, a.HostID); err != nil && !errors.As(err, &missing) {
			klog.ErrorS(err, "stopping a host failed; it will be retried", "host", a.HostID)
		}
	}
	return nil
}

// list requests the cloud's list of Hosts and its reclaim notices.
func (d *BuyerDriver) list(ctx context.Context) Event {
	requestedAt := d.o.Clock.Now()
	hosts, err := d.api.List(ctx)
	if err != nil {
		klog.ErrorS(err, "listing hosts failed; no hosts are bought until it succeeds")
		return ListFailedEvent{}
	}
	d.hostsMu.Lock()
	d.hosts = hosts
	d.hostsMu.Unlock()
	d.step(ListEvent{RequestedAt: requestedAt, Hosts: hosts})
	notices, err := d.api.Notices(ctx)
	if err != nil {
		klog.ErrorS(err, "reading reclaim notices failed")
		return nil
	}
	if d.hooks.OnNotices != nil {
		d.hooks.OnNotices(notices)
	}
	return NoticesEvent{Notices: notices}
}

func (d *BuyerDriver) startHost(ctx context.Context, a StartAction) Event {
	d.record(a.Pool, a.Alternatives, "start: "+a.Reason)
	host, err := d.api.Start(ctx, a.Request)
	if err != nil {
		klog.InfoS("starting a host failed", "pool", a.Pool, "token", a.Request.Token, "err", err)
		return StartFailedEvent{Token: a.Request.Token, Cause: err}
	}
	return StartedEvent{Token: a.Request.Token, Host: host}
}

// record adds a capacity decision to the decision log.
func (d *BuyerDriver) record(chosen string, alternatives []decision.Alternative, reason string) {
	d.recorder.Record(decision.Decision{Time: d.o.Clock.Now(), Kind: decision.KindCapacity,
		Chosen: chosen, Alternatives: alternatives, Reason: reason})
}
