package deferred

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// saveLoop saves partial answers when they are due.
func (r *run) saveLoop(stop <-chan struct{}) {
	for {
		select {
		case <-r.due:
			r.save(r.tryWriteRow)
		case <-stop:
			return
		}
	}
}

// save stores the tokens so far and points the row to them. A failed save costs
// only the tokens that a later holder generates again.
func (r *run) save(write func(record) error) {
	r.mu.Lock()
	partial := answerBody{Tokens: r.tokens[:len(r.tokens):len(r.tokens)], FinishReason: r.finish}
	r.mu.Unlock()
	if len(partial.Tokens) == r.rec.SavedTokens {
		return
	}
	if !r.held() {
		r.lose()
		return
	}
	result := "saved"
	if err := r.store(partial, write); err != nil {
		result = "failed"
		klog.V(1).InfoS("partial answer not saved", "request", r.rec.RequestID, "err", err)
	}
	r.d.metrics.saves.WithLabelValues(result).Inc()
}

func (r *run) store(partial answerBody, write func(record) error) error {
	data, err := json.Marshal(partial)
	if err != nil {
		return errors.Trace(err)
	}
	rec, old := r.rec, r.rec.PartialKey
	// A new name for each save: the row must never name an object that
	// another save replaces or removes.
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
	r.d.discard(old)
	return nil
}

// lose stops the run: the request has another holder.
func (r *run) lose() {
	r.d.metrics.lost.Inc()
	r.cancel()
}

func (r *run) writeRow(rec record) error { return r.putRow(rec, false) }

func (r *run) tryWriteRow(rec record) error { return r.putRow(rec, true) }

// putRow replaces the open row that this run has last read or written.
func (r *run) putRow(rec record, droppable bool) error {
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
		r.lose()
		return &TakenOverError{RequestID: rec.RequestID}
	case errors.As(err, &ambiguous):
		return r.settleRow(key, rec, err)
	default:
		return err
	}
}

// settleRow reads back a row whose write's answer was lost.
func (r *run) settleRow(key table.Key, rec record, cause error) error {
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
		r.lose()
		return &TakenOverError{RequestID: rec.RequestID}
	}
	r.version = item.Version
	return nil
}
