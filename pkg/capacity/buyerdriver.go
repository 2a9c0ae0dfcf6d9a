package capacity

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// BuyerHooks connect a BuyerDriver to the other duties.
type BuyerHooks struct {
	// Groups returns what is needed now.
	Groups func() []Group
	// Drain takes the Host's BackendServer out of use at every daemon.
	Drain func(cloud.Host)
	// Left says whether the Host's BackendServer has been taken out of use.
	Draining func(cloud.Host) bool
	// Idle says whether no daemon has work left on the Host.
	Idle func(cloud.Host) bool
	// OnNotices gets the reclaims of each poll; it may be nil.
	OnNotices func([]cloud.Notice)
}

// BuyerDriver runs a Buyer while the lease is held.
type BuyerDriver struct {
	*runner
	api      cloud.API
	hooks    BuyerHooks
	recorder *decision.Recorder

	known sync.Mutex
	hosts []cloud.Host // the last list
}

// NewBuyerDriver starts a driver that runs until Close.
func NewBuyerDriver(o DriverOptions, buyer *Buyer, api cloud.API, lease Lease, hooks BuyerHooks, recorder *decision.Recorder) *BuyerDriver {
	d := &BuyerDriver{runner: newRunner(o, lease, buyer), api: api, hooks: hooks, recorder: recorder}
	d.before, d.call = d.events, d.perform
	d.start()
	return d
}

// events asks the other duties before each tick.
func (d *BuyerDriver) events() []Event {
	d.known.Lock()
	hosts := d.hosts
	d.known.Unlock()
	events := []Event{GroupsEvent{Groups: d.hooks.Groups()}}
	var left []string
	for _, h := range hosts {
		if !d.hooks.Draining(h) {
			continue
		}
		left = append(left, h.ID)
		if d.hooks.Idle(h) {
			events = append(events, IdleEvent{HostID: h.ID})
		}
	}
	return append(events, DrainingEvent{HostIDs: left})
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
			klog.ErrorS(err, "stop of a host failed; it is repeated", "host", a.HostID)
		}
	}
	return nil
}

func (d *BuyerDriver) list(ctx context.Context) Event {
	asked := d.o.Clock.Now()
	hosts, err := d.api.List(ctx)
	if err != nil {
		klog.ErrorS(err, "list of hosts failed; nothing is bought without it")
		return ListFailedEvent{}
	}
	d.known.Lock()
	d.hosts = hosts
	d.known.Unlock()
	d.step(ListEvent{RequestedAt: asked, Hosts: hosts})
	notices, err := d.api.Notices(ctx)
	if err != nil {
		klog.ErrorS(err, "reclaim notices could not be read")
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
		klog.InfoS("start of a host failed", "pool", a.Pool, "token", a.Request.Token, "err", err)
		return StartFailedEvent{Token: a.Request.Token, Cause: err}
	}
	return StartedEvent{Token: a.Request.Token, Host: host}
}

func (d *BuyerDriver) record(chosen string, alternatives []decision.Alternative, reason string) {
	d.recorder.Record(decision.Decision{Time: d.o.Clock.Now(), Kind: decision.KindCapacity,
		Chosen: chosen, Alternatives: alternatives, Reason: reason})
}
