package deferred

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// saveLoop saves a partial answer whenever saveDue is signaled.
func (r *run) saveLoop(stop <-chan struct{}) {
	for {
		select {
		case <-r.saveDue:
			r.save(r.tryWriteRow)
		case <-stop:
			return
		}
	}
}

// save stores the tokens generated so far and refers to them in the row. A failed
// save is only counted and logged: it loses no request, but a later lease holder
// has to generate the tokens again.
func (r *run) save(write func(record) error) {
	r.mu.Lock()
	partial := answerBody{Tokens: r.tokens[:len(r.tokens):len(r.tokens)], FinishReason: r.finishReason}
	r.mu.Unlock()
	if len(partial.Tokens) == r.rec.SavedTokens {
		return
	}
	if !r.holdsRange() {
		r.abandon()
		return
	}
	result := "saved"
	if err := r.storePartial(partial, write); err != nil {
		result = "failed"
		klog.V(1).InfoS("saving the partial answer failed", "request", r.rec.RequestID, "err", err)
	}
	r.d.metrics.saves.WithLabelValues(result).Inc()
}

// storePartial stores a partial answer as a new object and updates the row with
// write.
func (r *run) storePartial(partial answerBody, write func(record) error) error {
	data, err := json.Marshal(partial)
	if err != nil {
		return errors.Trace(err)
	}
	rec, old := r.rec, r.rec.PartialKey
	// Each save uses a new key, because the row must never refer to an object that
	// another save replaces or deletes.
	rec.PartialKey = objectKey(rec.ClientAccount, rec.RequestID, "partial-"+uuid.NewString())
	rec.SavedTokens = len(partial.Tokens)
	ctx, cancel := r.d.storeContext()
	defer cancel()
	if err := r.d.opts.Objects.Put(ctx, rec.PartialKey, data); err != nil {
		return errors.Trace(err)
	}
	if err := write(rec); err != nil {
		return errors.Trace(err)
	}
	r.rec = rec
	r.d.deleteObjects(old)
	return nil
}

// abandon cancels the run because another lease holder has taken over the request.
func (r *run) abandon() {
	r.d.metrics.lost.Inc()
	r.cancel()
}

// writeRow replaces the open row and waits for the rate limit.
func (r *run) writeRow(rec record) error { return r.replaceRow(rec, false) }

// tryWriteRow replaces the open row if the rate limit permits it at once.
func (r *run) tryWriteRow(rec record) error { return r.replaceRow(rec, true) }

// replaceRow replaces the open row if it still has the version that this run last
// read or wrote. A droppable write fails if the rate limit is reached.
func (r *run) replaceRow(rec record, droppable bool) error {
	value, err := rec.encode()
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := r.d.storeContext()
	defer cancel()
	key := openKey(rec.ClientAccount, rec.RequestID)
	write := r.d.writer.write
	if droppable {
		write = r.d.writer.tryWrite
	}
	err = write(ctx, table.Write{Key: key, Version: r.version, Value: value})
	var failed *table.ConditionFailedError
	var ambiguous *table.AmbiguousError
	switch {
	case err == nil:
		r.version++
		return nil
	case errors.As(err, &failed):
		r.abandon()
		return &TakenOverError{RequestID: rec.RequestID}
	case errors.As(err, &ambiguous):
		return r.resolveRowWrite(key, rec, err)
	default:
		return err
	}
}

// resolveRowWrite reads back a row after a write whose response was lost, to
// determine whether the write was applied.
func (r *run) resolveRowWrite(key table.Key, rec record, cause error) error {
	ctx, cancel := r.d.storeContext()
	defer cancel()
	item, err := r.d.opts.Table.Get(ctx, key)
	if err != nil {
		return errors.Trace(err)
	}
	stored, err := decodeRecord(item)
	if err != nil {
		return err
	}
	if item.Version == r.version {
		return cause
	}
	if stored.FencingNumber != rec.FencingNumber || stored.PartialKey != rec.PartialKey {
		r.abandon()
		return &TakenOverError{RequestID: rec.RequestID}
	}
	r.version = item.Version
	return nil
}
