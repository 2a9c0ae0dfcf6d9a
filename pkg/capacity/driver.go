package capacity

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Lease is the lease of the duty. Holds turns false a safety margin before the
// lease can be taken over.
type Lease interface {
	Holds() bool
	Number() uint64
}

// core is a Buyer or a Placer.
type core interface {
	Step(now time.Time, event Event) []Action
}

// DriverOptions are the settings of a driver. Zero values take the defaults.
type DriverOptions struct {
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// CallTimeout is the deadline of each call. It has to be well below the
	// time after which an earlier holder's requests count as settled.
	CallTimeout time.Duration
	// MaxCalls bounds the calls at the same time.
	MaxCalls int
	Clock    clock.WithTicker
}

const (
	defaultDriverTick  = time.Second
	defaultCallTimeout = 5 * time.Second
	defaultMaxCalls    = 64
)

func (o DriverOptions) withDefaults() DriverOptions {
	orDefault(&o.TickInterval, defaultDriverTick)
	orDefault(&o.CallTimeout, defaultCallTimeout)
	orDefault(&o.MaxCalls, defaultMaxCalls)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return o
}

// runner drives a core: it passes events one at a time and runs the calls of its
// actions on a bounded number of goroutines, only while the lease is held.
type runner struct {
	o      DriverOptions
	lease  Lease
	core   core
	before func() []Event // the events before each tick
	// call does an action and returns the event that answers it.
	call func(context.Context, Action) Event

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	slots  chan struct{}
	mu     sync.Mutex
}

func newRunner(o DriverOptions, lease Lease, c core) *runner {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{o: o, lease: lease, core: c, ctx: ctx, cancel: cancel, slots: make(chan struct{}, o.MaxCalls)}
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

// Close stops the driver and waits for its calls.
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
	for _, event := range r.before() {
		r.step(event)
	}
	for _, action := range r.step(TickEvent{}) {
		r.run(lease.Number, action)
	}
}

func (r *runner) step(event Event) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Step(r.o.Clock.Now(), event)
}

// run does an action on a goroutine of its own. It waits for a free slot; the
// core bounds the actions of a tick.
func (r *runner) run(number uint64, action Action) {
	select {
	case r.slots <- struct{}{}:
	case <-r.ctx.Done():
		return
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer func() { <-r.slots }()
		// The lease may have lapsed since the tick, such as in a pause.
		if !r.lease.Holds() || r.lease.Number() != number {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, r.o.CallTimeout)
		defer cancel()
		if event := r.call(ctx, action); event != nil {
			r.follow(r.step(event))
		}
	}()
}

// follow logs what answers lead to; all other actions come from ticks.
func (r *runner) follow(actions []Action) {
	for _, action := range actions {
		if down, ok := action.(StepDownAction); ok {
			klog.InfoS("no more orders under this lease", "reason", down.Reason)
		}
	}
}
