package deferred

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Status is the state of a deferred request.
type Status struct {
	AcceptedAt time.Time
	// Done is set when the final answer or problem is stored.
	Done bool
	// Tokens is the final answer. It is empty until Done is set.
	Tokens       []string
	FinishReason string
	// SavedTokens is the number of tokens in the saved partial answer.
	SavedTokens int
	Problem     *api.Problem
	// ExpiresAt is when the answer expires.
	ExpiresAt time.Time
}

// Text returns the answer as one string.
func (s *Status) Text() string { return strings.Join(s.Tokens, "") }

// Get returns the status of an account's request. It can be called on any daemon.
// It returns NotFoundError if the request is unknown or its answer has expired.
func (d *Driver) Get(ctx context.Context, account, requestID string) (*Status, error) {
	// The row moves from open to done when the request is answered. The done key
	// is read a second time to find a row that moved between the first two reads.
	for _, key := range []table.Key{doneKey(account, requestID), openKey(account, requestID), doneKey(account, requestID)} {
		item, err := d.opts.Table.Get(ctx, key)
		var missing *table.NotFoundError
		if errors.As(err, &missing) {
			continue
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		rec, err := decodeRecord(item)
		if err != nil {
			return nil, err
		}
		return d.status(ctx, &rec, isDone(key))
	}
	return nil, &NotFoundError{RequestID: requestID}
}

func (d *Driver) status(ctx context.Context, rec *record, done bool) (*Status, error) {
	status := &Status{AcceptedAt: rec.AcceptedAt, Done: done, SavedTokens: rec.SavedTokens, Problem: rec.Problem, ExpiresAt: rec.ExpiresAt}
	if !done {
		return status, nil
	}
	if !d.opts.Clock.Now().Before(rec.ExpiresAt) {
		return nil, &NotFoundError{RequestID: rec.RequestID}
	}
	data, err := d.opts.Objects.Get(ctx, rec.AnswerKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Trace(err)
	}
	status.Tokens, status.FinishReason = body.Tokens, body.FinishReason
	return status, nil
}

// sweep deletes the expired answers in the ranges that this daemon holds.
func (d *Driver) sweep(now time.Time) {
	for r := range RangeCount {
		if d.opts.Ranges.Holds(r) && d.ctx.Err() == nil {
			d.sweepRange(now, r)
		}
	}
}

func (d *Driver) sweepRange(now time.Time, rangeIndex int) {
	for after := doneScanStart; ; {
		ctx, cancel := d.storeContext()
		items, err := d.opts.Table.Query(ctx, partition(rangeIndex), after, scanPageSize)
		cancel()
		if err != nil {
			return
		}
		for _, item := range items {
			after = item.Key.Sort
			if !isDone(item.Key) {
				return
			}
			d.removeExpired(now, item)
		}
		if len(items) < scanPageSize {
			return
		}
	}
}

func (d *Driver) removeExpired(now time.Time, item table.Item) {
	rec, err := decodeRecord(item)
	if err != nil || now.Before(rec.ExpiresAt) {
		return
	}
	ctx, cancel := d.storeContext()
	defer cancel()
	err = d.writer.tryWrite(ctx, table.Write{Key: item.Key, Version: item.Version, Delete: true})
	if err != nil {
		klog.V(1).InfoS("expired answer not removed", "request", rec.RequestID, "err", err)
		return
	}
	d.deleteObjects(rec.AnswerKey)
}
