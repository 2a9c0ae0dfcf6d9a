package deferred

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// unit is a group of writes that apply together or not at all.
type unit struct {
	ctx    context.Context
	writes []table.Write
	result chan error
}

// writer puts the units that wait at the same moment in one transaction, within
// a rate limit that counts rows.
type writer struct {
	store   table.Store
	limiter *rate.Limiter
	clock   clock.Clock
	units   chan *unit
	stopped chan struct{}
}

func newWriter(store table.Store, limiter *rate.Limiter, c clock.Clock) *writer {
	return &writer{store: store, limiter: limiter, clock: c, units: make(chan *unit), stopped: make(chan struct{})}
}

// write applies writes that must not be dropped. It waits for its share.
func (w *writer) write(ctx context.Context, writes ...table.Write) error {
	u := &unit{ctx: ctx, writes: writes, result: make(chan error, 1)}
	select {
	case w.units <- u:
	case <-ctx.Done():
		return &WriteNotSentError{Reason: context.Cause(ctx).Error()}
	case <-w.stopped:
		return &WriteNotSentError{Reason: "the daemon stops"}
	}
	return <-u.result
}

// tryWrite is write for writes that may be dropped: without a free share they
// are not sent.
func (w *writer) tryWrite(ctx context.Context, writes ...table.Write) error {
	if w.limiter.TokensAt(w.clock.Now()) < float64(2*len(writes)) {
		return &WriteNotSentError{Reason: "no share is left"}
	}
	return w.write(ctx, writes...)
}

func (w *writer) loop(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case first := <-w.units:
			w.commit(w.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

// collect takes the units that wait behind the first.
func (w *writer) collect(first *unit) []*unit {
	group, rows := []*unit{first}, len(first.writes)
	limit := min(table.MaxTransactionWrites, w.limiter.Burst())
	for rows < limit {
		select {
		case u := <-w.units:
			group = append(group, u)
			rows += len(u.writes)
		default:
			return group
		}
	}
	return group
}

func (w *writer) commit(group []*unit) {
	for len(group) > 0 {
		batch, rest := split(group, min(table.MaxTransactionWrites, w.limiter.Burst()))
		group = append(w.transact(batch), rest...)
	}
}

// split returns the units that fit in one transaction and write different rows,
// and the others.
func split(group []*unit, limit int) (batch, rest []*unit) {
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

func overlaps(rows map[table.Key]struct{}, u *unit) bool {
	for _, write := range u.writes {
		if _, ok := rows[write.Key]; ok {
			return true
		}
	}
	return false
}

// transact applies a batch and returns the units to try again: those that were
// in one transaction with a unit whose condition failed.
func (w *writer) transact(batch []*unit) []*unit {
	batch = w.awaitShare(batch)
	if len(batch) == 0 {
		return nil
	}
	var writes []table.Write
	for _, u := range batch {
		writes = append(writes, u.writes...)
	}
	ctx, cancel := latest(batch)
	defer cancel()
	err := w.store.Transact(ctx, writes)
	var failed *table.ConditionFailedError
	if !errors.As(err, &failed) || len(batch) == 1 {
		for _, u := range batch {
			u.result <- err
		}
		return nil
	}
	return answerFailed(batch, failed)
}

func answerFailed(batch []*unit, failed *table.ConditionFailedError) (again []*unit) {
	at := 0
	for _, u := range batch {
		var own []int
		for i := range u.writes {
			if failed.Failed(at + i) {
				own = append(own, i)
			}
		}
		at += len(u.writes)
		if len(own) == 0 {
			again = append(again, u)
			continue
		}
		u.result <- &table.ConditionFailedError{Indexes: own}
	}
	if len(again) == len(batch) {
		// No unit is named: a further try could go on for ever.
		for _, u := range batch {
			u.result <- failed
		}
		return nil
	}
	return again
}

// awaitShare waits until the limiter lets the rows of the batch through and
// returns the units whose caller still waits.
func (w *writer) awaitShare(batch []*unit) []*unit {
	rows := 0
	for _, u := range batch {
		rows += len(u.writes)
	}
	now := w.clock.Now()
	if delay := w.limiter.ReserveN(now, rows).DelayFrom(now); delay > 0 && delay != rate.InfDuration {
		w.sleep(batch, delay)
	}
	kept := batch[:0]
	for _, u := range batch {
		if u.ctx.Err() != nil {
			u.result <- &WriteNotSentError{Reason: context.Cause(u.ctx).Error()}
			continue
		}
		kept = append(kept, u)
	}
	return kept
}

func (w *writer) sleep(batch []*unit, d time.Duration) {
	ctx, cancel := latest(batch)
	defer cancel()
	timer := w.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// latest returns a context that ends when the contexts of all units have ended.
func latest(batch []*unit) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan struct{}, len(batch))
	stops := make([]func() bool, len(batch))
	for i, u := range batch {
		stops[i] = context.AfterFunc(u.ctx, func() {
			left <- struct{}{}
			if len(left) == cap(left) {
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
