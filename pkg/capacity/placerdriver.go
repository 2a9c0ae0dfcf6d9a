package capacity

import (
	"context"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Orderer is the part of the engine client that sends and reads orders.
type Orderer interface {
	// Order sends an order to an engine.
	Order(ctx context.Context, address string, order engine.Order) error
	// CurrentOrder returns the order in force at an engine.
	CurrentOrder(ctx context.Context, address string) (engine.Order, error)
}

// PlacerDriver performs the actions of a Placer while the lease is held.
type PlacerDriver struct {
	*runner
	orderer  Orderer
	engines  func() []Engine
	recorder *decision.Recorder
}

// NewPlacerDriver starts a PlacerDriver, which runs until Close. engines returns
// the present engines and what each of them should load.
func NewPlacerDriver(o DriverOptions, placer *Placer, orderer Orderer, lease Lease, engines func() []Engine, recorder *decision.Recorder) *PlacerDriver {
	d := &PlacerDriver{runner: newRunner(o, lease, placer), orderer: orderer, engines: engines, recorder: recorder}
	d.eventsBeforeTick, d.execute = d.events, d.perform
	d.start()
	return d
}

func (d *PlacerDriver) events() []Event { return []Event{EnginesEvent{Engines: d.engines()}} }

func (d *PlacerDriver) perform(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case ReadAction:
		return d.read(ctx, a)
	case OrderAction:
		return d.order(ctx, a)
	}
	return nil
}

func (d *PlacerDriver) read(ctx context.Context, a ReadAction) Event {
	order, err := d.orderer.CurrentOrder(ctx, a.Address)
	if err != nil {
		klog.V(1).InfoS("reading the order in force failed", "engine", a.Name, "err", err)
		return OrderFailedEvent{Name: a.Name}
	}
	return OrderReadEvent{Name: a.Name, Order: order}
}

func (d *PlacerDriver) order(ctx context.Context, a OrderAction) Event {
	d.recorder.Record(decision.Decision{Time: d.o.Clock.Now(), Kind: decision.KindPlacement, Chosen: a.Name, Reason: a.Reason})
	err := d.orderer.Order(ctx, a.Address, a.Order)
	var stale *engine.StaleOrderError
	if errors.As(err, &stale) {
		return OrderDoneEvent{Name: a.Name, Stale: true}
	}
	if err != nil {
		klog.InfoS("order failed; the order in force will be read", "engine", a.Name, "err", err)
		return OrderFailedEvent{Name: a.Name}
	}
	return OrderDoneEvent{Name: a.Name}
}
