package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"k8s.io/utils/clock"
)

const (
	defaultStoreTimeout = 2 * time.Second
	defaultDrainTimeout = 5 * time.Second
	// listPageSize is the maximum number of rows that one query returns.
	listPageSize = 200
	// eventQueueSize bounds the events that are queued for the loop. Each request
	// to the table posts one event, and the loop never waits for a request.
	eventQueueSize = 256
)

// Options configures a Manager.
type Options struct {
	Core  CoreOptions
	Store table.Store
	Clock clock.Clock
	// StoreTimeout is the timeout of one request to the table.
	StoreTimeout time.Duration
	// DrainTimeout bounds the release of the leases on Close.
	DrainTimeout time.Duration
	// OnAcquired and OnLost are called in order, one at a time, if set. A lease
	// is released only after OnLost has returned. OnLost must not wait for a
	// request to the table.
	OnAcquired func(Acquired)
	OnLost     func(Lost)
}

// Manager runs a Core against a table.Store. It is safe for concurrent use.
type Manager struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	events  chan Event
	drained chan struct{}
	closing sync.Once

	mu   sync.Mutex
	core *Core
}

// NewManager returns a Manager and starts to acquire leases. The caller must
// Close it. If the options have no holder or random source, it creates them.
func NewManager(options Options) *Manager {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	if options.StoreTimeout == 0 {
		options.StoreTimeout = defaultStoreTimeout
	}
	if options.DrainTimeout == 0 {
		options.DrainTimeout = defaultDrainTimeout
	}
	if options.Core.Random == nil {
		options.Core.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Core.Holder == "" {
		// An empty holder in a row means that the lease is released.
		options.Core.Holder = fmt.Sprintf("%016x", rand.Uint64())
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		events:  make(chan Event, eventQueueSize),
		drained: make(chan struct{}),
		core:    NewCore(options.Core),
	}
	m.running.Add(1)
	go m.loop()
	return m
}

// Held returns the fencing number of a lease that is held at this moment.
// Callers check it before each action under the lease.
func (m *Manager) Held(name string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Held(m.options.Clock.Now(), name)
}

// HeldNames returns the leases that are held at this moment, sorted.
func (m *Manager) HeldNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.HeldNames(m.options.Clock.Now())
}

// EarliestOrder returns when the holder may first send orders to engines that
// ignore fencing numbers.
func (m *Manager) EarliestOrder(name string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.EarliestOrder(name)
}

// SetDaemons sets the number of daemons that share the leases, this one included.
func (m *Manager) SetDaemons(n int) { m.post(Peers{Daemons: n}) }

// Duty returns a view of the range leases of a duty.
func (m *Manager) Duty(name string) *Duty { return &Duty{manager: m, name: name} }

// Duty reports which ranges of a duty this daemon holds.
type Duty struct {
	manager *Manager
	name    string
}

// HoldsRange reports whether the lease of a range is held at this moment.
func (d *Duty) HoldsRange(r int) bool {
	_, ok := d.manager.Held(RangeName(d.name, r))
	return ok
}

// Close releases the leases, waiting at most DrainTimeout, and stops the Manager.
func (m *Manager) Close() {
	m.closing.Do(func() {
		m.post(Drain{})
		timer := m.options.Clock.NewTimer(m.options.DrainTimeout)
		defer timer.Stop()
		select {
		case <-m.drained:
		case <-timer.C():
		}
		m.cancel()
	})
	m.running.Wait()
}

func (m *Manager) post(event Event) {
	select {
	case m.events <- event:
	case <-m.ctx.Done():
	}
}

func (m *Manager) loop() {
	defer m.running.Done()
	m.handle(Tick{})
	for {
		timer := m.options.Clock.NewTimer(m.untilWake())
		select {
		case event := <-m.events:
			m.handle(event)
		case <-timer.C():
			m.handle(EpochKnown{Epoch: m.options.Store.Epoch()})
		case <-m.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (m *Manager) untilWake() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	// The epoch of the table is looked at as often as a lease is renewed.
	return max(min(m.core.NextWake(now).Sub(now), m.core.options.Duration/renewalsPerLease), time.Millisecond)
}

// handle passes an event to the Core and performs the resulting actions in order.
func (m *Manager) handle(event Event) {
	m.mu.Lock()
	now := m.options.Clock.Now()
	actions := m.core.Handle(now, event)
	idle := m.core.draining && m.core.Idle()
	m.mu.Unlock()
	for _, action := range actions {
		m.perform(now, action)
	}
	if idle {
		m.finishDrain()
	}
}

func (m *Manager) finishDrain() {
	select {
	case <-m.drained:
	default:
		close(m.drained)
	}
}

func (m *Manager) perform(now time.Time, action Action) {
	switch a := action.(type) {
	case Acquired:
		if m.options.OnAcquired != nil {
			m.options.OnAcquired(a)
		}
	case Lost:
		if m.options.OnLost != nil {
			m.options.OnLost(a)
		}
	case Write:
		m.running.Add(1)
		go m.write(a)
	case List:
		m.running.Add(1)
		go m.list(now)
	}
}

func (m *Manager) write(a Write) {
	defer m.running.Done()
	ctx, cancel := context.WithTimeout(m.ctx, m.options.StoreTimeout)
	defer cancel()
	err := m.options.Store.Transact(ctx, []table.Write{a.Write})
	m.post(Wrote{Name: a.Name, Status: StatusOf(err)})
}

// StatusOf returns the status of a transaction that returned err. An error that
// does not prove whether the writes were applied is ambiguous.
func StatusOf(err error) WriteStatus {
	var failed *table.ConditionFailedError
	var unavailable *table.UnavailableError
	var invalid *table.InvalidTransactionError
	switch {
	case err == nil:
		return WriteApplied
	case errors.As(err, &failed):
		return WriteRefused
	case errors.As(err, &unavailable), errors.As(err, &invalid):
		return WriteUnavailable
	default:
		return WriteAmbiguous
	}
}

// list reads all rows. The list fails if the epoch of the table changes meanwhile.
func (m *Manager) list(sentAt time.Time) {
	defer m.running.Done()
	epoch := m.options.Store.Epoch()
	var items []table.Item
	after := ""
	for {
		page, err := m.query(after)
		if err != nil {
			m.post(Listed{SentAt: sentAt, Failed: true})
			return
		}
		items = append(items, page...)
		if len(page) < listPageSize {
			break
		}
		after = page[len(page)-1].Key.Sort
	}
	m.post(Listed{SentAt: sentAt, Epoch: epoch, Items: items, Failed: m.options.Store.Epoch() != epoch})
}

func (m *Manager) query(after string) ([]table.Item, error) {
	ctx, cancel := context.WithTimeout(m.ctx, m.options.StoreTimeout)
	defer cancel()
	return m.options.Store.Query(ctx, Partition, after, listPageSize)
}
