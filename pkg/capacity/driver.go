package capacity

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Lease is the lease under which a driver acts.
type Lease interface {
	// Holds reports whether the lease is held. It returns false from a safety
	// margin before the time at which another daemon can acquire the lease.
	Holds() bool
	// Number returns the fencing number, which increases with each new holder.
	Number() uint64
}

// stateMachine is a Buyer or a Placer.
type stateMachine interface {
	Step(now time.Time, event Event) []Action
}

// DriverOptions configures a driver. Zero values select the defaults.
type DriverOptions struct {
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// CallTimeout is the timeout of each call. It must be well below the time
	// after which the next holder of the lease assumes that no earlier request can
	// still be applied, see BuyerOptions.SettleTime and PlacerOptions.OrderTimeout.
	CallTimeout time.Duration
	// MaxCalls is the maximum number of concurrent calls.
	MaxCalls int
	Clock    clock.WithTicker
}

const (
	defaultTickInterval = time.Second
	defaultCallTimeout  = 5 * time.Second
	defaultMaxCalls     = 64
)

func (o DriverOptions) withDefaults() DriverOptions {
	setDefault(&o.TickInterval, defaultTickInterval)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.MaxCalls, defaultMaxCalls)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return o
}

// runner drives a state machine while the lease is held. It passes events to it
// one at a time and performs its actions on a bounded number of goroutines.
type runner struct {
	o                DriverOptions
	lease            Lease
	stateMachine     stateMachine
	eventsBeforeTick func() []Event // returns the events to process before a tick
	// execute performs an action and returns the resulting event, or nil.
	execute func(context.Context, Action) Event

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	slots  chan struct{}
	mu     sync.Mutex
}

func newRunner(o DriverOptions, lease Lease, machine stateMachine) *runner {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{o: o, lease: lease, stateMachine: machine, ctx: ctx, cancel: cancel, slots: make(chan struct{}, o.MaxCalls)}
}

func (r *runner) start() {
	ticker := r.o.Clock.NewTicker(r.o.TickInterval)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer ticker.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-ticker.C():
				r.tick()
			}
		}
	}()
}

// Close stops the driver and waits for the calls in progress.
func (r *runner) Close() {
	r.cancel()
	r.wg.Wait()
}

func (r *runner) tick() {
	lease := LeaseEvent{Held: r.lease.Holds(), Number: r.lease.Number()}
	r.step(lease)
	if !lease.Held {
		return
	}
	for _, event := range r.eventsBeforeTick() {
		r.step(event)
	}
	for _, action := range r.step(TickEvent{}) {
		r.runAction(lease.Number, action)
	}
}

func (r *runner) step(event Event) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMachine.Step(r.o.Clock.Now(), event)
}

// runAction performs an action on its own goroutine. It blocks until a slot is
// free; the state machine limits the number of actions of a tick.
func (r *runner) runAction(fencingNumber uint64, action Action) {
	select {
	case r.slots <- struct{}{}:
	case <-r.ctx.Done():
		return
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer func() { <-r.slots }()
		// The lease may have expired since the tick, for example while the process
		// was paused.
		if !r.lease.Holds() || r.lease.Number() != fencingNumber {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, r.o.CallTimeout)
		defer cancel()
		if event := r.execute(ctx, action); event != nil {
			r.logStepDown(r.step(event))
		}
	}()
}

// logStepDown logs a StepDownAction. This is the only action that results from an
// answer; all others result from ticks.
func (r *runner) logStepDown(actions []Action) {
	for _, action := range actions {
		if down, ok := action.(StepDownAction); ok {
			klog.InfoS("no further orders are sent under this lease", "reason", down.Reason)
		}
	}
}
