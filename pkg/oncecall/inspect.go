package oncecall

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// inspectPageSize is the number of records that an Inspector reads in one query.
const inspectPageSize = 200

// RecordView is a once-only record as shown to operators. It omits the request
// body and the answer, because both may be confidential.
type RecordView struct {
	ClientAccount  string    `json:"client_account"`
	IdempotencyKey string    `json:"idempotency_key"`
	State          string    `json:"state"`
	Service        string    `json:"service"`
	Call           string    `json:"call"`
	AttemptID      string    `json:"attempt_id"`
	Attempts       int       `json:"attempts"`
	Revision       uint64    `json:"revision"`
	Daemon         string    `json:"daemon"`
	Settled        bool      `json:"settled"`
	FinishedAt     time.Time `json:"finished_at,omitzero"`
}

// NoRecordError reports that no record exists for a key.
type NoRecordError struct {
	ClientAccount  string
	IdempotencyKey string
}

func (e *NoRecordError) Error() string {
	return fmt.Sprintf("no record of key %q of account %s", e.IdempotencyKey, e.ClientAccount)
}

// Inspector reads once-only records for operators.
type Inspector struct{ store table.Store }

// NewInspector returns an Inspector that reads from store.
func NewInspector(store table.Store) *Inspector { return &Inspector{store: store} }

// Record returns the record of a key, or a *NoRecordError if there is none.
func (i *Inspector) Record(ctx context.Context, account, key string) (*RecordView, error) {
	id := idempotency.ID{Account: account, Key: key}
	item, err := i.store.Get(ctx, id.RowKey())
	var notFound *table.NotFoundError
	if errors.As(err, &notFound) {
		return nil, &NoRecordError{ClientAccount: account, IdempotencyKey: key}
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := idempotency.Decode(id, item)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return viewOf(stored), nil
}

// InState returns up to limit records that are in the given state. It scans all
// records and is meant for operators who reconcile calls of unknown outcome with
// the service's own data.
func (i *Inspector) InState(ctx context.Context, state idempotency.State, limit int) ([]*RecordView, error) {
	var found []*RecordView
	for r := range idempotency.Ranges {
		views, err := i.rangeInState(ctx, r, state, limit-len(found))
		if err != nil {
			return nil, errors.Annotatef(err, "range %d", r)
		}
		if found = append(found, views...); len(found) >= limit {
			break
		}
	}
	return found, nil
}

func (i *Inspector) rangeInState(ctx context.Context, r int, state idempotency.State, limit int) ([]*RecordView, error) {
	var found []*RecordView
	after := ""
	for {
		items, err := i.store.Query(ctx, idempotency.RecordPartition(r), after, inspectPageSize)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, item := range items {
			stored, err := idempotency.DecodeRow(item)
			if err != nil || stored.Record.State != state {
				continue
			}
			if found = append(found, viewOf(stored)); len(found) == limit {
				return found, nil
			}
		}
		if len(items) < inspectPageSize {
			return found, nil
		}
		after = items[len(items)-1].Key.Sort
	}
}

func viewOf(s *idempotency.Stored) *RecordView {
	view := &RecordView{
		ClientAccount:  s.ID.Account,
		IdempotencyKey: s.ID.Key,
		State:          string(s.Record.State),
		Service:        s.Record.Service,
		Call:           s.Record.Call,
		AttemptID:      s.Record.AttemptID,
		Attempts:       s.Record.Attempts,
		Revision:       s.Record.Revision,
		Daemon:         s.Record.Daemon,
		Settled:        s.Record.Settled,
	}
	if s.Record.FinishedUnix != 0 {
		view.FinishedAt = time.Unix(s.Record.FinishedUnix, 0).UTC()
	}
	return view
}
