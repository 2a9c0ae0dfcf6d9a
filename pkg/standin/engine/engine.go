// Package engine is a stand-in of a model engine over real TCP. It speaks
// section 6.2 of the design page: OpenAI-compatible event streams, continuous
// batching with prefill and decode cost, a limited prefix cache, priorities,
// cancel, resume, KV export and import, lagging load, late cache events and
// orders. Its answers are a function of the messages, so that a test can check
// a whole answer, and a Ledger records what really ran.
package engine

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"k8s.io/utils/clock"
)

// Defaults of Options.
const (
	defaultBatchSize     = 8
	defaultPrefillChunk  = 512
	defaultCacheTokens   = 1 << 16
	defaultKeepAlive     = 100 * time.Millisecond
	defaultKVBytesPerTok = 128 << 10
	readHeaderTimeout    = 5 * time.Second
)

// Options configure an Engine. The zero value is a fast engine on a free
// loopback port that serves every model.
type Options struct {
	Name string
	// Address is the listening address; empty means a free loopback port.
	Address string
	// Models are what the engine serves; empty means every model.
	Models []string
	// BatchSize is the number of sequences that run at once.
	BatchSize int
	// PrefillPerToken and DecodeStep are the costs of one prefilled token and
	// of one token for every sequence of the batch.
	PrefillPerToken time.Duration
	DecodeStep      time.Duration
	// PrefillChunk bounds the tokens prefilled between two decode steps.
	PrefillChunk int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// KVBytesPerToken and TransferBytesPerSecond set the cost of moving a KV
	// cache; transfers of one source engine run one after the other. A zero
	// rate is unlimited.
	KVBytesPerToken        int64
	TransferBytesPerSecond int64
	// LoadLag is the age of load reports, CacheEventDelay that of cache
	// events; every CacheEventGap-th cache event is lost.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing makes the engine refuse orders with an old fencing
	// number; otherwise it obeys them.
	ChecksFencing bool
	// CrashMarker kills the engine when a message that it starts contains it.
	CrashMarker string
	// KeepAlive is the interval of the comments sent to a stream that waits.
	KeepAlive time.Duration
	Ledger    *Ledger
	Clock     clock.WithTicker
}

// Engine is a running stand-in.
type Engine struct {
	opts   Options
	ledger *Ledger
	clock  clock.WithTicker

	listener *trackedListener
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
	wake     chan struct{}
	tasks    sync.WaitGroup
	transfer sync.Mutex

	mu       sync.Mutex
	waiting  []*sequence
	running  []*sequence
	byID     map[string]*sequence
	cache    *prefixCache
	exports  map[string]kvCache
	imports  map[string]kvCache
	loads    []engine.LoadBody
	order    engine.Order
	leaving  bool
	killed   bool
	faults   EventFaults
	sequence uint64
}

// EventFaults sets which events of each stream are disturbed; 0 means none.
type EventFaults struct {
	// LateEvery repeats an old event after every n-th event.
	LateEvery int
	// CrossedEvery adds an event of another attempt after every n-th event.
	CrossedEvery int
	// GapAt leaves out the event at this offset.
	GapAt int
}

// Start returns a running engine.
func Start(opts Options) (*Engine, error) {
	opts = withDefaults(opts)
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "stand-in engine %s", opts.Name)
	}
	e := &Engine{
		opts:     opts,
		ledger:   opts.Ledger,
		clock:    opts.Clock,
		listener: newTrackedListener(listener),
		stop:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		byID:     make(map[string]*sequence),
		cache:    newPrefixCache(opts.CacheTokens / engine.PrefixBlockTokens),
		exports:  make(map[string]kvCache),
		imports:  make(map[string]kvCache),
		order:    engine.Order{Models: opts.Models},
	}
	e.server = &http.Server{Handler: e.counted(e.handler()), ReadHeaderTimeout: readHeaderTimeout}
	e.tasks.Go(func() { _ = e.server.Serve(e.listener) })
	e.tasks.Go(e.schedule)
	return e, nil
}

func withDefaults(opts Options) Options {
	setDefault(&opts.Address, "127.0.0.1:0")
	setDefault(&opts.BatchSize, defaultBatchSize)
	setDefault(&opts.PrefillChunk, defaultPrefillChunk)
	setDefault(&opts.CacheTokens, defaultCacheTokens)
	setDefault(&opts.KeepAlive, defaultKeepAlive)
	setDefault(&opts.KVBytesPerToken, int64(defaultKVBytesPerTok))
	if opts.Ledger == nil {
		opts.Ledger = NewLedger()
	}
	if opts.Clock == nil {
		opts.Clock = clock.RealClock{}
	}
	return opts
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Address returns the listening address (ip:port).
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Name returns the name of the engine.
func (e *Engine) Name() string { return e.opts.Name }

// Ledger returns the ledger that the engine writes to.
func (e *Engine) Ledger() *Ledger { return e.ledger }

// Connections returns how many connections the engine has accepted.
func (e *Engine) Connections() int {
	e.listener.mu.Lock()
	defer e.listener.mu.Unlock()
	return e.listener.accepted
}

// Leave makes the engine refuse new work as leaving. What runs goes on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Silence makes all open connections silent for good; new connections work.
func (e *Engine) Silence() { e.listener.silence() }

// SetEventFaults disturbs the events of streams from now on.
func (e *Engine) SetEventFaults(faults EventFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Kill stops the engine at once: open connections are reset, new ones refused.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.killed = true
	e.mu.Unlock()
	e.stopOnce.Do(func() { close(e.stop) })
	_ = e.listener.Listener.Close()
	e.listener.cut()
}

// Killed reports whether the engine has been killed or has crashed.
func (e *Engine) Killed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed
}

// Close kills the engine and waits until all its goroutines have ended.
func (e *Engine) Close() error {
	e.Kill()
	err := e.server.Close()
	e.tasks.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Annotatef(err, "stand-in engine %s", e.opts.Name)
	}
	return nil
}

// begin counts a request in, so that Close waits for it; a killed engine takes
// none.
func (e *Engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.killed {
		e.tasks.Add(1)
	}
	return !e.killed
}

// String returns the name and address.
func (e *Engine) String() string { return fmt.Sprintf("%s (%s)", e.opts.Name, e.Address()) }
