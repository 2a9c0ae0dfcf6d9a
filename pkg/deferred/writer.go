package deferred

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// atomicWrite is a set of writes that are applied together or not at all.
type atomicWrite struct {
	ctx    context.Context
	writes []table.Write
	result chan error
}

// writer combines the atomic writes that are pending at the same time into one
// transaction, within a rate limit on rows.
type writer struct {
	store   table.Store
	limiter *rate.Limiter
	clock   clock.Clock
	pending chan *atomicWrite
	stopped chan struct{}
}

func newWriter(store table.Store, limiter *rate.Limiter, c clock.Clock) *writer {
	return &writer{store: store, limiter: limiter, clock: c, pending: make(chan *atomicWrite), stopped: make(chan struct{})}
}

// write applies writes that must not be dropped. It waits until the rate limit
// permits them or ctx ends.
func (w *writer) write(ctx context.Context, writes ...table.Write) error {
	u := &atomicWrite{ctx: ctx, writes: writes, result: make(chan error, 1)}
	select {
	case w.pending <- u:
	case <-ctx.Done():
		return &WriteNotSentError{Reason: context.Cause(ctx).Error()}
	case <-w.stopped:
		return &WriteNotSentError{Reason: "the daemon stops"}
	}
	return <-u.result
}

// tryWrite applies writes that may be dropped. If the rate limit does not leave
// twice the needed rows, they are not sent.
func (w *writer) tryWrite(ctx context.Context, writes ...table.Write) error {
	if w.limiter.TokensAt(w.clock.Now()) < float64(2*len(writes)) {
		return &WriteNotSentError{Reason: "write rate limit reached"}
	}
	return w.write(ctx, writes...)
}

// loop commits pending writes until ctx ends.
func (w *writer) loop(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case first := <-w.pending:
			w.commit(w.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

// collect returns the first write together with those that are pending behind it,
// up to the number of rows in one transaction.
func (w *writer) collect(first *atomicWrite) []*atomicWrite {
	group, rows := []*atomicWrite{first}, len(first.writes)
	limit := min(table.MaxTransactionWrites, w.limiter.Burst())
	for rows < limit {
		select {
		case u := <-w.pending:
			group = append(group, u)
			rows += len(u.writes)
		default:
			return group
		}
	}
	return group
}

// commit applies a group in one or more transactions.
func (w *writer) commit(group []*atomicWrite) {
	for len(group) > 0 {
		batch, rest := splitBatch(group, min(table.MaxTransactionWrites, w.limiter.Burst()))
		group = append(w.transact(batch), rest...)
	}
}

// splitBatch returns the writes that fit into one transaction and have no row in
// common, and the remaining ones.
func splitBatch(group []*atomicWrite, limit int) (batch, rest []*atomicWrite) {
	rows := make(map[table.Key]struct{})
	for _, u := range group {
		if len(batch) > 0 && (len(rows)+len(u.writes) > limit || overlaps(rows, u)) {
			rest = append(rest, u)
			continue
		}
		for _, write := range u.writes {
			rows[write.Key] = struct{}{}
		}
		batch = append(batch, u)
	}
	return batch, rest
}

func overlaps(rows map[table.Key]struct{}, u *atomicWrite) bool {
	for _, write := range u.writes {
		if _, ok := rows[write.Key]; ok {
			return true
		}
	}
	return false
}

// transact applies a batch in one transaction. It returns the writes to try again,
// which are those that were rolled back only because the condition of another
// write in the batch failed.
func (w *writer) transact(batch []*atomicWrite) []*atomicWrite {
	batch = w.waitForLimiter(batch)
	if len(batch) == 0 {
		return nil
	}
	var writes []table.Write
	for _, u := range batch {
		writes = append(writes, u.writes...)
	}
	ctx, cancel := contextUntilAllDone(batch)
	defer cancel()
	err := w.store.Transact(ctx, writes)
	var failed *table.ConditionFailedError
	if !errors.As(err, &failed) || len(batch) == 1 {
		for _, u := range batch {
			u.result <- err
		}
		return nil
	}
	return resolveFailedBatch(batch, failed)
}

// resolveFailedBatch sends the error to the writes whose conditions failed and
// returns the other ones.
func resolveFailedBatch(batch []*atomicWrite, failed *table.ConditionFailedError) (retry []*atomicWrite) {
	offset := 0
	for _, u := range batch {
		var ownIndexes []int
		for i := range u.writes {
			if failed.Failed(offset + i) {
				ownIndexes = append(ownIndexes, i)
			}
		}
		offset += len(u.writes)
		if len(ownIndexes) == 0 {
			retry = append(retry, u)
			continue
		}
		u.result <- &table.ConditionFailedError{Indexes: ownIndexes}
	}
	if len(retry) == len(batch) {
		// The error identifies none of the writes, so retrying might never end.
		for _, u := range batch {
			u.result <- failed
		}
		return nil
	}
	return retry
}

// waitForLimiter waits until the limiter permits the rows of the batch and returns
// the writes whose contexts have not ended.
func (w *writer) waitForLimiter(batch []*atomicWrite) []*atomicWrite {
	rows := 0
	for _, u := range batch {
		rows += len(u.writes)
	}
	now := w.clock.Now()
	if delay := w.limiter.ReserveN(now, rows).DelayFrom(now); delay > 0 && delay != rate.InfDuration {
		w.sleep(batch, delay)
	}
	remaining := batch[:0]
	for _, u := range batch {
		if u.ctx.Err() != nil {
			u.result <- &WriteNotSentError{Reason: context.Cause(u.ctx).Error()}
			continue
		}
		remaining = append(remaining, u)
	}
	return remaining
}

// sleep waits for d, or less if the contexts of all writes end earlier.
func (w *writer) sleep(batch []*atomicWrite, d time.Duration) {
	ctx, cancel := contextUntilAllDone(batch)
	defer cancel()
	timer := w.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// contextUntilAllDone returns a context that ends when the contexts of all writes
// have ended.
func contextUntilAllDone(batch []*atomicWrite) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, len(batch))
	stops := make([]func() bool, len(batch))
	for i, u := range batch {
		stops[i] = context.AfterFunc(u.ctx, func() {
			ended <- struct{}{}
			if len(ended) == cap(ended) {
				cancel()
			}
		})
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancel()
	}
}
