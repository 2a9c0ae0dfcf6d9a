package idempotency

import (
	"errors"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Class is the kind of work that a commit belongs to.
type Class int

// The classes, in the order in which they go into a transaction.
const (
	ClassOnceOnly Class = iota
	ClassDeferred
	classCount
)

const (
	// reservedDeferredWrites is how many of a transaction's writes waiting deferred
	// work gets. Bookings get the rest, and each class takes what the other
	// leaves, so that neither starves.
	reservedDeferredWrites = 20
	// defaultMaxInFlight bounds concurrent transactions. What arrives
	// meanwhile waits and shares the next one.
	defaultMaxInFlight = 2
	defaultMaxQueued   = 4096
)

// Commit is a group of writes that apply together. The first write names the
// row that tells whether they have applied.
type Commit struct {
	ID     uint64
	Class  Class
	Writes []table.Write
}

// Status says what became of a commit.
type Status int

// The statuses of a finished commit.
const (
	// StatusApplied means that all its writes have applied.
	StatusApplied Status = iota + 1
	// StatusFound means that a condition failed or the answer was lost; Item
	// is the first write's row as read afterwards, and Exists says whether
	// there is one. An own write whose answer was lost shows in the row.
	StatusFound
	// StatusUnavailable means that no write has applied or will apply.
	StatusUnavailable
	// StatusAmbiguous means that the writes may have applied or may still
	// apply, and the row could not be read.
	StatusAmbiguous
	// StatusQueueFull means that the commit was not accepted.
	StatusQueueFull
)

// Result is the end of a commit.
type Result struct {
	Status Status
	Item   table.Item
	Exists bool
	// Lost is set with StatusFound when the transaction's answer was lost: a
	// row that does not show the write may still get it.
	AnswerLost bool
}

// BatchEvent is an input of a Batcher: Submit, Transacted or ReadBack.
type BatchEvent interface{ batchEvent() }

// Submit adds a commit.
type Submit struct{ Commit Commit }

// Transacted is the end of a transaction.
type Transacted struct {
	Batch uint64
	Err   error
}

// ReadBack is the end of a read of a commit's first row.
type ReadBack struct {
	Commit uint64
	Item   table.Item
	Err    error
}

func (Submit) batchEvent()     {}
func (Transacted) batchEvent() {}
func (ReadBack) batchEvent()   {}

// BatchAction is an output of a Batcher: Transact, Read or Finish.
type BatchAction interface{ batchAction() }

// Transact asks for a transaction.
type Transact struct {
	Batch  uint64
	Writes []table.Write
	// Commits is how many commits share the transaction.
	Commits int
}

// Read asks for a row.
type Read struct {
	Commit uint64
	Key    table.Key
}

// Finish ends a commit.
type Finish struct {
	Commit uint64
	Result Result
}

func (Transact) batchAction() {}
func (Read) batchAction()     {}
func (Finish) batchAction()   {}

// BatchOptions configures a Batcher. Zero values take defaults.
type BatchOptions struct {
	MaxInFlight int
	// MaxQueued bounds the waiting commits of each class.
	MaxQueued int
}

// Batcher is the core of group commit: commits that wait at the same moment
// share a transaction, and a failed condition of one does not fail the others.
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

// Handle takes an event and returns what to do.
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

// start composes transactions while some may start.
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

// compose takes bookings first but for the deferred share, then deferred work,
// then bookings again if deferred work left room.
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

// take removes commits of up to room writes from a queue, in order. Commits of
// rows in use wait, since a transaction may write a row only once.
func (b *Batcher) take(class Class, capacity int) []Commit {
	var taken, kept []Commit
	for i, c := range b.queues[class] {
		if capacity == 0 {
			kept = append(kept, b.queues[class][i:]...)
			break
		}
		if len(c.Writes) > capacity || b.anyBusy(c.Writes) {
			kept = append(kept, c)
			continue
		}
		b.markBusy(c.Writes)
		capacity -= len(c.Writes)
		taken = append(taken, c)
	}
	b.queues[class] = kept
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
		// Any other error does not prove that nothing was applied.
		return b.readAll(commits, true)
	}
}

// conditionFailed reads the rows of the commits that failed and puts the others
// back at the front of their queues.
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
