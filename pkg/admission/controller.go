package admission

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// tickInterval is the maximum time until a waiting request that can no longer
// start in time is refused.
const tickInterval = 20 * time.Millisecond

// Slot is the right to run one request on a resource. The holder must call
// Release; further calls have no effect.
type Slot struct {
	controller *Controller
	id         string
	preempted  chan struct{}
	once       sync.Once
}

// Preempted returns a channel that is closed when the holder must stop
// immediately.
func (s *Slot) Preempted() <-chan struct{} { return s.preempted }

// Release frees the slot.
func (s *Slot) Release() {
	s.once.Do(func() { s.controller.finish(s.id) })
}

// activeRequest is a waiting or running request.
type activeRequest struct {
	decided   chan *RefusedError
	preempted chan struct{}
}

// ControllerOptions are the settings and dependencies of a Controller.
type ControllerOptions struct {
	Core     Options
	Clock    clock.WithTicker
	Registry prometheus.Registerer
	Recorder *decision.Recorder
}

// Controller makes a Core available to concurrent requests. A goroutine refuses
// waiting requests that have become too late.
type Controller struct {
	clock    clock.WithTicker
	recorder *decision.Recorder
	metrics  *metrics

	mu             sync.Mutex
	core           *Core
	activeRequests map[string]*activeRequest

	stop chan struct{}
	done chan struct{}
}

// NewController registers the metrics and starts a Controller.
func NewController(options ControllerOptions) (*Controller, error) {
	metrics, err := newMetrics(options.Registry)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		clock:          options.Clock,
		recorder:       options.Recorder,
		metrics:        metrics,
		core:           NewCore(options.Core),
		activeRequests: make(map[string]*activeRequest),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
	}
	go c.run()
	return c, nil
}

// Close stops the Controller. Requests that are still waiting end with their
// contexts.
func (c *Controller) Close() {
	close(c.stop)
	<-c.done
}

// SetDaemons sets the number of live daemons; see Core.SetDaemons.
func (c *Controller) SetDaemons(daemons int) {
	c.update(func(now time.Time) []Outcome { return c.core.SetDaemons(now, daemons) })
}

// SetAccounts sets the accounts of a configuration; see Core.SetAccounts.
func (c *Controller) SetAccounts(accounts map[string]Account) {
	c.update(func(now time.Time) []Outcome {
		c.core.SetAccounts(now, accounts)
		return nil
	})
}

// SetSlots sets the number of slots of a resource; see Core.SetSlots.
func (c *Controller) SetSlots(resource string, slots int) {
	c.update(func(now time.Time) []Outcome { return c.core.SetSlots(now, resource, slots) })
}

// Load returns the numbers of running and waiting requests of all resources.
func (c *Controller) Load() (running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Load()
}

// Acquire waits for a slot. It returns a RefusedError if the request is refused,
// or the context's error.
func (c *Controller) Acquire(ctx context.Context, request Request) (*Slot, error) {
	active := &activeRequest{decided: make(chan *RefusedError, 1), preempted: make(chan struct{})}
	started := c.clock.Now()
	c.update(func(now time.Time) []Outcome {
		c.activeRequests[request.ID] = active
		return c.core.Submit(now, request)
	})
	select {
	case refused := <-active.decided:
		return c.decided(request, active, refused, c.clock.Since(started))
	case <-ctx.Done():
	}
	c.finish(request.ID)
	// The request may have been admitted at the same time as the context
	// ended. finish has released the slot in that case too.
	return nil, ctx.Err()
}

// decided records the decision on a request and returns its slot or the refusal.
func (c *Controller) decided(request Request, active *activeRequest, refused *RefusedError, waited time.Duration) (*Slot, error) {
	d := decision.Decision{Time: c.clock.Now(), Kind: decision.KindAdmission, RequestID: request.ID}
	if refused != nil {
		c.metrics.refused.WithLabelValues(string(refused.Reason)).Inc()
		d.Reason = string(refused.Reason)
		c.recorder.Record(d)
		return nil, refused
	}
	c.metrics.wait.Observe(waited.Seconds())
	d.Chosen, d.Reason = request.Resource, "admitted after "+waited.String()
	c.recorder.Record(d)
	return &Slot{controller: c, id: request.ID, preempted: active.preempted}, nil
}

// finish removes a request and releases its slot if it has one.
func (c *Controller) finish(id string) {
	c.update(func(now time.Time) []Outcome {
		delete(c.activeRequests, id)
		return c.core.Finish(now, id)
	})
}

// update runs an event on the core and delivers its outcomes.
func (c *Controller) update(event func(now time.Time) []Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range event(c.clock.Now()) {
		c.deliver(o)
	}
}

// deliver passes an outcome to the goroutine of its request.
func (c *Controller) deliver(o Outcome) {
	active, ok := c.activeRequests[o.ID]
	if !ok {
		return
	}
	if o.Preempted {
		c.metrics.preempted.Inc()
		close(active.preempted)
		delete(c.activeRequests, o.ID)
		return
	}
	if o.Refused != nil {
		delete(c.activeRequests, o.ID)
	}
	active.decided <- o.Refused
}

func (c *Controller) run() {
	defer close(c.done)
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			c.update(func(now time.Time) []Outcome { return c.core.Tick(now) })
		case <-c.stop:
			return
		}
	}
}

type metrics struct {
	refused   *prometheus.CounterVec
	preempted prometheus.Counter
	wait      prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsooncrank_admission_refused_total",
			Help: "Requests refused by reason.",
		}, []string{"reason"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "monsooncrank_admission_preempted_total",
			Help: "Deferred requests whose slot was taken for others.",
		}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "monsooncrank_admission_wait_seconds",
			Help:    "Time that admitted requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
	}
	for _, collector := range []prometheus.Collector{m.refused, m.preempted, m.wait} {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}
