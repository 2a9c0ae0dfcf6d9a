// Package engine simulates a model engine for tests and serves it over real TCP.
// It implements the engine protocol of pkg/engine: OpenAI-compatible event
// streams, continuous batching with prefill and decode cost, a limited prefix
// cache, priorities, cancel, resume, KV export and import, load reports with a
// lag, delayed cache events and orders. Its answers are a function of the model
// and messages, so that a test can check a complete answer. A Ledger records what
// actually ran.
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

// Defaults of Options, and the limits of the HTTP server.
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
	// Models are the names of the models that the engine serves; empty means every
	// model.
	Models []string
	// BatchSize is the maximum number of sequences that run at once.
	BatchSize int
	// PrefillPerToken is the time to prefill one token. DecodeStep is the time to
	// generate one token for every sequence of the batch.
	PrefillPerToken time.Duration
	DecodeStep      time.Duration
	// PrefillChunk is the maximum number of tokens prefilled between two decode
	// steps.
	PrefillChunk int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// KVBytesPerToken and TransferBytesPerSecond determine how long the transfer
	// of a KV cache takes. Transfers from one source engine run one after the
	// other. A rate of 0 is unlimited.
	KVBytesPerToken        int64
	TransferBytesPerSecond int64
	// LoadLag is the age of load reports and CacheEventDelay the age at which
	// cache events become visible. Every CacheEventGap-th cache event is lost; 0
	// loses none.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	// Without it, the engine accepts them.
	ChecksFencing bool
	// CrashMarker is a text that crashes the engine when it starts to process a
	// message that contains it; empty means none.
	CrashMarker string
	// KeepAlive is the interval of keep-alive comments on streams without events.
	KeepAlive time.Duration
	Ledger    *Ledger
	Clock     clock.WithTicker
}

// Engine is a running engine.
type Engine struct {
	opts   Options
	ledger *Ledger
	clock  clock.WithTicker

	listener *trackedListener
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
	// wake wakes the scheduler when a request arrives while it is idle.
	wake chan struct{}
	// tasks counts the goroutines and requests that Close waits for.
	tasks sync.WaitGroup
	// transferMu serializes the transfers of exported KV caches.
	transferMu sync.Mutex

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	// byID holds the sequences that have not ended, by attempt ID.
	byID  map[string]*sequence
	cache *prefixCache
	// exports and imports hold KV caches by handle.
	exports     map[string]kvCache
	imports     map[string]kvCache
	loadHistory []engine.LoadBody
	// order is the order in force.
	order   engine.Order
	leaving bool
	killed  bool
	faults  EventFaults
	// sequence is the arrival number of the last sequence.
	sequence uint64
}

// EventFaults sets the faults of the events of each stream; 0 disables a fault.
type EventFaults struct {
	// LateEvery repeats the first event of the stream after every n-th event.
	LateEvery int
	// CrossedEvery inserts an event of another attempt after every n-th event.
	CrossedEvery int
	// GapAt omits the event at this offset.
	GapAt int
}

// Start starts an engine. The caller must Close it.
func Start(opts Options) (*Engine, error) {
	opts = withDefaults(opts)
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "simulated engine %s", opts.Name)
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
	e.server = &http.Server{Handler: e.trackRequests(e.handler()), ReadHeaderTimeout: readHeaderTimeout}
	e.tasks.Go(func() { _ = e.server.Serve(e.listener) })
	e.tasks.Go(e.schedule)
	return e, nil
}

// withDefaults returns the options with defaults in place of zero values.
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

// Address returns the listening address as ip:port.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Name returns the name of the engine.
func (e *Engine) Name() string { return e.opts.Name }

// Ledger returns the ledger in which the engine records its work.
func (e *Engine) Ledger() *Ledger { return e.ledger }

// Connections returns how many connections the engine has accepted.
func (e *Engine) Connections() int {
	e.listener.mu.Lock()
	defer e.listener.mu.Unlock()
	return e.listener.accepted
}

// Leave makes the engine refuse new requests because its Host is leaving. Running
// requests continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Silence makes all open connections permanently silent. New connections work.
func (e *Engine) Silence() { e.listener.silence() }

// SetEventFaults sets the event faults of streams that start from now on.
func (e *Engine) SetEventFaults(faults EventFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Kill stops the engine immediately, as in a crash. It resets open connections and
// refuses new ones.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.killed = true
	e.mu.Unlock()
	e.stopOnce.Do(func() { close(e.stop) })
	_ = e.listener.Listener.Close()
	e.listener.resetAll()
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
		return errors.Annotatef(err, "simulated engine %s", e.opts.Name)
	}
	return nil
}

// beginRequest registers a request, so that Close waits for it. It returns false
// if the engine has been killed.
func (e *Engine) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.killed {
		e.tasks.Add(1)
	}
	return !e.killed
}

// String returns the name and address.
func (e *Engine) String() string { return fmt.Sprintf("%s (%s)", e.opts.Name, e.Address()) }
