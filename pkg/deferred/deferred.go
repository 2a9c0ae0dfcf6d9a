// Package deferred runs requests that may be delayed but must not be lost.
//
// A request is stored in the object store and in the table before it is accepted.
// The daemon that holds the lease of the request's range runs it as a chat with
// low priority, saves partial answers and stores one final answer. If that daemon
// fails, the next lease holder resumes from the last saved partial answer.
package deferred

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// RangeCount is the number of lease ranges into which requests are partitioned.
const RangeCount = 64

// Defaults of Options.
const (
	// A longer save interval makes a daemon failure repeat more tokens, and a
	// shorter one causes more table writes; see docs/measurements-streaming.md.
	defaultSaveInterval   = 10 * time.Second
	defaultPollInterval   = time.Second
	defaultRetention      = 24 * time.Hour
	defaultAttemptTimeout = 10 * time.Minute
	defaultRetryBaseDelay = 200 * time.Millisecond
	defaultRetryMaxDelay  = 10 * time.Second
	defaultStoreTimeout   = 2 * time.Second
	defaultSweepInterval  = time.Minute
	defaultMaxRunning     = 64
	// defaultWritesPerSecond limits the deferred requests of one daemon to a part
	// of the several hundred writes per second that the table supports.
	defaultWritesPerSecond = 20
	defaultWriteBurst      = 100
	scanPageSize           = 100
)

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// Ranges reports which lease ranges this daemon holds, and the fencing numbers of
// the leases.
type Ranges interface {
	Holds(r int) bool
	FencingNumber(r int) uint64
}

// ChatResumer runs a chat from a given prefix of its answer. streaming.Driver
// implements it.
type ChatResumer interface {
	Resume(ctx context.Context, req *api.ChatRequest, tokens []string, sink api.EventSink) error
}

// Options configure a Driver. Table, Objects, Ranges and Chat are required.
type Options struct {
	Table   table.Store
	Objects Objects
	Ranges  Ranges
	Chat    ChatResumer
	Clock   clock.WithTicker
	// SaveInterval is the interval at which partial answers are saved.
	SaveInterval time.Duration
	// PollInterval is the interval at which the table is polled for requests to
	// run.
	PollInterval time.Duration
	// Retention is how long a final answer is kept.
	Retention time.Duration
	// AttemptTimeout bounds one run of a request. A request that exceeds it is
	// run again.
	AttemptTimeout time.Duration
	// RetryBaseDelay is the delay after the first failed run. It doubles with
	// each further failure up to RetryMaxDelay.
	RetryBaseDelay time.Duration
	RetryMaxDelay  time.Duration
	StoreTimeout   time.Duration
	// SweepInterval is the interval at which expired answers are deleted.
	SweepInterval time.Duration
	// MaxRunning bounds the requests that run at the same time.
	MaxRunning int
	// WritesPerSecond and WriteBurst bound the rate of rows written to the table,
	// so that deferred requests cannot starve bookings.
	WritesPerSecond float64
	WriteBurst      int
	Invariants      *invariant.Reporter
	Registerer      prometheus.Registerer
}

// Driver accepts and runs deferred requests on one daemon and stores their
// answers. It is safe for concurrent use.
type Driver struct {
	opts    Options
	metrics *metrics
	writer  *writer
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	wakeup  chan struct{}

	mu       sync.Mutex
	running  map[string]*run
	backoffs map[string]backoff
	draining bool
}

// backoff delays the next run of a request that has failed.
type backoff struct {
	until    time.Time
	failures int
}

// NewDriver returns a Driver and starts its goroutines. Close stops them.
func NewDriver(opts Options) *Driver {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	d := &Driver{
		opts: opts, metrics: newMetrics(opts.Registerer), ctx: ctx, stop: stop,
		wakeup: make(chan struct{}, 1), running: make(map[string]*run), backoffs: make(map[string]backoff),
	}
	d.writer = newWriter(opts.Table, rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst), opts.Clock)
	d.tasks.Go(func() { d.writer.loop(ctx) })
	d.tasks.Go(d.pollLoop)
	return d
}

func (o Options) withDefaults() Options {
	setDefault(&o.SaveInterval, defaultSaveInterval)
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&o.RetryBaseDelay, defaultRetryBaseDelay)
	setDefault(&o.RetryMaxDelay, defaultRetryMaxDelay)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.SweepInterval, defaultSweepInterval)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.WritesPerSecond, float64(defaultWritesPerSecond))
	setDefault(&o.WriteBurst, defaultWriteBurst)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Drain stops the requests in progress and saves their partial answers, so that
// the next lease holder does not have to generate tokens again.
func (d *Driver) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	runs := make([]*run, 0, len(d.running))
	for _, r := range d.running {
		runs = append(runs, r)
	}
	d.mu.Unlock()
	for _, r := range runs {
		r.cancel()
	}
	for _, r := range runs {
		select {
		case <-r.done:
		case <-ctx.Done():
			return &DrainIncompleteError{Remaining: d.Running()}
		}
	}
	return nil
}

// Running returns the number of requests in progress.
func (d *Driver) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}

// Close stops all goroutines without saving partial answers. In a planned
// shutdown, call Drain first.
func (d *Driver) Close() error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.stop()
	d.tasks.Wait()
	return nil
}

func (d *Driver) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(d.ctx, d.opts.StoreTimeout)
}
