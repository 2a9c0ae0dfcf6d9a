package idempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"k8s.io/utils/clock"
)

// defaultStoreTimeout is the timeout of one request to the table.
const defaultStoreTimeout = 2 * time.Second

// CommitterOptions configures a Committer.
type CommitterOptions struct {
	Store table.Store
	Clock clock.Clock
	Batch BatchOptions
	// StoreTimeout is the timeout of one request to the table; 0 selects the
	// default.
	StoreTimeout time.Duration
	// OnTransaction is called before each transaction with the number of its
	// commits and writes, if set.
	OnTransaction func(commits, writes int)
}

// Committer runs a Batcher against a table.Store. It is safe for concurrent use.
type Committer struct {
	options CommitterOptions
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	core    *Batcher
	nextID  uint64
	waiting map[uint64]chan Result
	closed  bool
}

// ClosedError reports a commit that was submitted after Close.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "committer is closed" }

// NewCommitter returns a Committer. The caller must Close it.
func NewCommitter(options CommitterOptions) *Committer {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	if options.StoreTimeout == 0 {
		options.StoreTimeout = defaultStoreTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		core:    NewBatcher(options.Batch),
		waiting: make(map[uint64]chan Result),
	}
}

// Commit applies writes in a transaction shared with other commits and waits for
// the result. The row of the first write is read back when the result of the
// transaction does not show whether they were applied. Commit cannot be
// cancelled, since it would then be unknown whether the writes were applied;
// each request to the table is bounded by StoreTimeout.
func (c *Committer) Commit(class Class, writes []table.Write) (Result, error) {
	done := make(chan Result, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Result{Status: StatusUnavailable}, &ClosedError{}
	}
	c.nextID++
	id := c.nextID
	c.waiting[id] = done
	c.perform(c.core.Handle(c.options.Clock.Now(), Submit{Commit: Commit{ID: id, Class: class, Writes: writes}}))
	c.mu.Unlock()
	return <-done, nil
}

// Close waits for the commits in progress. Later commits return ClosedError.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
	c.cancel()
}

// handle passes an event to the Batcher and performs the resulting actions.
func (c *Committer) handle(event BatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.core.Handle(c.options.Clock.Now(), event))
}

// perform starts the actions. The caller holds the lock.
func (c *Committer) perform(actions []BatchAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case Transact:
			c.running.Add(1)
			go c.transact(a)
		case Read:
			c.running.Add(1)
			go c.read(a)
		case Finish:
			c.waiting[a.Commit] <- a.Result
			delete(c.waiting, a.Commit)
		}
	}
}

func (c *Committer) transact(a Transact) {
	defer c.running.Done()
	if c.options.OnTransaction != nil {
		c.options.OnTransaction(a.Commits, len(a.Writes))
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.options.StoreTimeout)
	defer cancel()
	c.handle(Transacted{Batch: a.Batch, Err: c.options.Store.Transact(ctx, a.Writes)})
}

func (c *Committer) read(a Read) {
	defer c.running.Done()
	ctx, cancel := context.WithTimeout(c.ctx, c.options.StoreTimeout)
	defer cancel()
	item, err := c.options.Store.Get(ctx, a.Key)
	c.handle(ReadBack{Commit: a.Commit, Item: item, Err: err})
}

// String returns the name of the status for logs and tests.
func (s Status) String() string {
	names := map[Status]string{
		StatusApplied:     "applied",
		StatusFound:       "found",
		StatusUnavailable: "unavailable",
		StatusAmbiguous:   "ambiguous",
		StatusQueueFull:   "queue full",
	}
	if name, ok := names[s]; ok {
		return name
	}
	return fmt.Sprintf("status %d", int(s))
}
