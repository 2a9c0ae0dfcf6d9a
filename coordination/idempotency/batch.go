package idempotency

import (
	"errors"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Class is the kind of work that a commit belongs to. Each class has a queue and
// a share of every transaction.
type Class int

// The classes, in the order in which their commits are added to a transaction.
const (
	ClassOnceOnly Class = iota
	ClassDeferred
	classCount
)

const (
	// reservedDeferredWrites is the number of writes in a transaction that are
	// reserved for deferred work while some is queued. Once-only calls get the
	// rest, and each class may use what the other leaves, so that neither
	// starves.
	reservedDeferredWrites = 20
	// defaultMaxInFlight bounds concurrent transactions. Commits that arrive
	// while all are in flight wait and share the next one.
	defaultMaxInFlight = 2
	defaultMaxQueued   = 4096
)

// Commit is a group of writes that are applied together. The row of the first
// write is read back to find out whether they were applied.
type Commit struct {
	ID     uint64
	Class  Class
	Writes []table.Write
}

// Status is the result of a commit.
type Status int

// The statuses of a finished commit.
const (
	// StatusApplied means that all its writes were applied.
	StatusApplied Status = iota + 1
	// StatusFound means that a condition failed or the answer was lost. Item
	// is the first write's row as read afterwards, and Exists is set if there
	// is one. If the commit's own write was applied although its answer was
	// lost, the row contains it.
	StatusFound
	// StatusUnavailable means that no write was or will be applied.
	StatusUnavailable
	// StatusAmbiguous means that the writes may have been applied or may still
	// be applied, and the row could not be read.
	StatusAmbiguous
	// StatusQueueFull means that the commit was rejected because its queue was
	// full.
	StatusQueueFull
)

// Result is the result of a commit.
type Result struct {
	Status Status
	Item   table.Item
	Exists bool
	// AnswerLost is set with StatusFound when the transaction's answer was
	// lost. If the row does not contain the write, the write may still be
	// applied later.
	AnswerLost bool
}

// BatchEvent is an input event of a Batcher: Submit, Transacted or ReadBack.
type BatchEvent interface{ batchEvent() }

// Submit adds a commit to its queue.
type Submit struct{ Commit Commit }

// Transacted reports the result of a transaction.
type Transacted struct {
	Batch uint64
	Err   error
}

// ReadBack reports the result of reading the row of a commit's first write.
type ReadBack struct {
	Commit uint64
	Item   table.Item
	Err    error
}

func (Submit) batchEvent()     {}
func (Transacted) batchEvent() {}
func (ReadBack) batchEvent()   {}

// BatchAction is an action that a Batcher requests: Transact, Read or Finish.
type BatchAction interface{ batchAction() }

// Transact requests a transaction.
type Transact struct {
	Batch  uint64
	Writes []table.Write
	// Commits is the number of commits that share the transaction.
	Commits int
}

// Read requests a read of a row.
type Read struct {
	Commit uint64
	Key    table.Key
}

// Finish reports the result of a commit.
type Finish struct {
	Commit uint64
	Result Result
}

func (Transact) batchAction() {}
func (Read) batchAction()     {}
func (Finish) batchAction()   {}

// BatchOptions configures a Batcher. Zero values select the defaults.
type BatchOptions struct {
	MaxInFlight int
	// MaxQueued bounds the queued commits of each class.
	MaxQueued int
}

// Batcher is the state machine of group commit: commits that are queued at the
// same time share a transaction, and a failed condition of one does not fail the
// others.
type Batcher struct {
	options     BatchOptions
	queues      [classCount][]Commit
	batches     map[uint64][]Commit
	pendingRead map[uint64]pendingRead
	busyRows    map[table.Key]struct{}
	nextBatch   uint64
}

type pendingRead struct {
	commit     Commit
	answerLost bool
}

// NewBatcher returns an empty Batcher.
func NewBatcher(options BatchOptions) *Batcher {
	if options.MaxInFlight == 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	if options.MaxQueued == 0 {
		options.MaxQueued = defaultMaxQueued
	}
	return &Batcher{
		options:     options,
		batches:     make(map[uint64][]Commit),
		pendingRead: make(map[uint64]pendingRead),
		busyRows:    make(map[table.Key]struct{}),
	}
}

// Handle processes an event and returns the actions to perform.
func (b *Batcher) Handle(_ time.Time, event BatchEvent) []BatchAction {
	var actions []BatchAction
	switch e := event.(type) {
	case Submit:
		actions = b.submit(e.Commit)
	case Transacted:
		actions = b.transacted(e)
	case ReadBack:
		actions = b.readBack(e)
	}
	return append(actions, b.start()...)
}

func (b *Batcher) submit(c Commit) []BatchAction {
	if len(b.queues[c.Class]) >= b.options.MaxQueued {
		return []BatchAction{Finish{Commit: c.ID, Result: Result{Status: StatusQueueFull}}}
	}
	b.queues[c.Class] = append(b.queues[c.Class], c)
	return nil
}

// start composes transactions while commits are queued and fewer than
// MaxInFlight transactions are in flight.
func (b *Batcher) start() []BatchAction {
	var actions []BatchAction
	for len(b.batches) < b.options.MaxInFlight {
		commits := b.compose()
		if len(commits) == 0 {
			break
		}
		b.nextBatch++
		b.batches[b.nextBatch] = commits
		actions = append(actions, Transact{Batch: b.nextBatch, Writes: writesOf(commits), Commits: len(commits)})
	}
	return actions
}

// compose selects the commits of the next transaction: once-only calls up to the
// reserve for deferred work, then deferred work, then further once-only calls if
// there is capacity left.
func (b *Batcher) compose() []Commit {
	capacity := table.MaxTransactionWrites
	reserved := 0
	if len(b.queues[ClassDeferred]) > 0 {
		reserved = reservedDeferredWrites
	}
	commits := b.take(ClassOnceOnly, capacity-reserved)
	capacity -= len(writesOf(commits))
	deferred := b.take(ClassDeferred, capacity)
	capacity -= len(writesOf(deferred))
	commits = append(commits, deferred...)
	return append(commits, b.take(ClassOnceOnly, capacity)...)
}

// take removes commits of up to capacity writes from a queue, in order. Commits
// that write a row in use stay queued, since a transaction may write a row only
// once.
func (b *Batcher) take(class Class, capacity int) []Commit {
	var taken, remaining []Commit
	for i, c := range b.queues[class] {
		if capacity == 0 {
			remaining = append(remaining, b.queues[class][i:]...)
			break
		}
		if len(c.Writes) > capacity || b.anyBusy(c.Writes) {
			remaining = append(remaining, c)
			continue
		}
		b.markBusy(c.Writes)
		capacity -= len(c.Writes)
		taken = append(taken, c)
	}
	b.queues[class] = remaining
	return taken
}

func (b *Batcher) anyBusy(writes []table.Write) bool {
	for _, w := range writes {
		if _, ok := b.busyRows[w.Key]; ok {
			return true
		}
	}
	return false
}

func (b *Batcher) markBusy(writes []table.Write) {
	for _, w := range writes {
		b.busyRows[w.Key] = struct{}{}
	}
}

func (b *Batcher) release(c Commit) {
	for _, w := range c.Writes {
		delete(b.busyRows, w.Key)
	}
}

func (b *Batcher) transacted(e Transacted) []BatchAction {
	commits := b.batches[e.Batch]
	delete(b.batches, e.Batch)
	var failed *table.ConditionFailedError
	var unavailable *table.UnavailableError
	var invalid *table.InvalidTransactionError
	switch {
	case e.Err == nil:
		return b.finishAll(commits, StatusApplied)
	case errors.As(e.Err, &failed):
		return b.conditionFailed(commits, failed)
	case errors.As(e.Err, &unavailable), errors.As(e.Err, &invalid):
		return b.finishAll(commits, StatusUnavailable)
	default:
		// No other error proves that nothing was applied.
		return b.readAll(commits, true)
	}
}

// conditionFailed reads back the rows of the commits whose conditions failed and
// puts the other commits back at the front of their queues.
func (b *Batcher) conditionFailed(commits []Commit, failed *table.ConditionFailedError) []BatchAction {
	var conflicting []Commit
	var requeued [classCount][]Commit
	index := 0
	for _, c := range commits {
		if anyFailed(failed, index, len(c.Writes)) {
			conflicting = append(conflicting, c)
		} else {
			b.release(c)
			requeued[c.Class] = append(requeued[c.Class], c)
		}
		index += len(c.Writes)
	}
	for class := range requeued {
		b.queues[class] = append(requeued[class], b.queues[class]...)
	}
	return b.readAll(conflicting, false)
}

func anyFailed(failed *table.ConditionFailedError, first, n int) bool {
	for i := first; i < first+n; i++ {
		if failed.Failed(i) {
			return true
		}
	}
	return false
}

func (b *Batcher) readAll(commits []Commit, answerLost bool) []BatchAction {
	actions := make([]BatchAction, 0, len(commits))
	for _, c := range commits {
		b.pendingRead[c.ID] = pendingRead{commit: c, answerLost: answerLost}
		actions = append(actions, Read{Commit: c.ID, Key: c.Writes[0].Key})
	}
	return actions
}

func (b *Batcher) finishAll(commits []Commit, status Status) []BatchAction {
	actions := make([]BatchAction, 0, len(commits))
	for _, c := range commits {
		b.release(c)
		actions = append(actions, Finish{Commit: c.ID, Result: Result{Status: status}})
	}
	return actions
}

func (b *Batcher) readBack(e ReadBack) []BatchAction {
	r, ok := b.pendingRead[e.Commit]
	if !ok {
		return nil
	}
	delete(b.pendingRead, e.Commit)
	b.release(r.commit)
	return []BatchAction{Finish{Commit: e.Commit, Result: readBackResult(e, r.answerLost)}}
}

func readBackResult(e ReadBack, answerLost bool) Result {
	var notFound *table.NotFoundError
	switch {
	case e.Err == nil:
		return Result{Status: StatusFound, Item: e.Item, Exists: true, AnswerLost: answerLost}
	case errors.As(e.Err, &notFound):
		return Result{Status: StatusFound, AnswerLost: answerLost}
	case answerLost:
		return Result{Status: StatusAmbiguous}
	default:
		return Result{Status: StatusUnavailable}
	}
}

func writesOf(commits []Commit) []table.Write {
	var writes []table.Write
	for _, c := range commits {
		writes = append(writes, c.Writes...)
	}
	return writes
}
