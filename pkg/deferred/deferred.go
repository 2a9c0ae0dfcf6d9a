// Package deferred keeps requests that may wait and must arrive.
//
// A request is in the object store and in the table before it is accepted. The
// holder of its range's lease runs it through the chat path with low priority,
// saves partial answers, and stores one final answer. After the death of the
// holder the next one goes on from the last saved partial answer.
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

// RangeCount is the number of lease ranges that requests are split into.
const RangeCount = 64

// Defaults of Options.
const (
	// defaultSaveInterval is set by the measurement in
	// docs/measurements-streaming.md.
	defaultSaveInterval   = 10 * time.Second
	defaultPollInterval   = time.Second
	defaultRetention      = 24 * time.Hour
	defaultAttemptTimeout = 10 * time.Minute
	defaultRetryBase      = 200 * time.Millisecond
	defaultRetryLimit     = 10 * time.Second
	defaultStoreTimeout   = 2 * time.Second
	defaultSweepInterval  = time.Minute
	defaultMaxRunning     = 64
	// defaultWritesPerSecond is what deferred work of one daemon may take of
	// the several hundred writes a second that the table offers.
	defaultWritesPerSecond = 20
	defaultWriteBurst      = 100
	scanPage               = 100
)

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// Ranges says which lease ranges this daemon holds, and under which fencing
// number.
type Ranges interface {
	Holds(r int) bool
	FencingNumber(r int) uint64
}

// Chatter runs a chat whose first tokens are known, as streaming.Driver does.
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
	// SaveInterval is the time between two saved partial answers.
	SaveInterval time.Duration
	// PollInterval is the time between two looks for requests to run.
	PollInterval time.Duration
	// Retention is how long an answer is kept.
	Retention time.Duration
	// AttemptTimeout bounds one run; the request is then tried again.
	AttemptTimeout time.Duration
	// RetryBaseDelay and RetryMaxDelay bound the wait after a failed run.
	RetryBaseDelay time.Duration
	RetryMaxDelay  time.Duration
	StoreTimeout   time.Duration
	// SweepInterval is the time between two removals of expired answers.
	SweepInterval time.Duration
	// MaxRunning bounds the requests that run at once.
	MaxRunning int
	// WritesPerSecond and WriteBurst bound the rows written to the table, so
	// that deferred work cannot starve bookings.
	WritesPerSecond float64
	WriteBurst      int
	Invariants      *invariant.Reporter
	Registerer      prometheus.Registerer
}

// Driver accepts, runs and answers the deferred requests of one daemon. It is
// safe for concurrent use.
type Driver struct {
	opts    Options
	metrics *metrics
	writer  *writer
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	kick    chan struct{}

	mu       sync.Mutex
	running  map[string]*run
	waits    map[string]wait
	draining bool
}

// wait is when a request that has failed may run again.
type wait struct {
	until    time.Time
	failures int
}

// NewDriver returns a running Driver. Close stops it.
func NewDriver(opts Options) *Driver {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	d := &Driver{
		opts: opts, metrics: newMetrics(opts.Registerer), ctx: ctx, stop: stop,
		kick: make(chan struct{}, 1), running: make(map[string]*run), waits: make(map[string]wait),
	}
	d.writer = newWriter(opts.Table, rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst), opts.Clock)
	d.tasks.Go(func() { d.writer.loop(ctx) })
	d.tasks.Go(d.own)
	return d
}

func (o Options) withDefaults() Options {
	setDefault(&o.SaveInterval, defaultSaveInterval)
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&o.RetryBaseDelay, defaultRetryBase)
	setDefault(&o.RetryMaxDelay, defaultRetryLimit)
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
// the next holder loses nothing.
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

// Close stops all goroutines without saving anything more; Drain comes first in
// a planned stop.
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
