package deferred

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// storeRetryAfter is the Retry-After value of responses to store failures.
const storeRetryAfter = 5 * time.Second

// Accept stores a request durably. After it returns nil, the request will be
// answered even if this daemon fails, so the caller may send an acceptance to
// its client. Accepting a request that is already stored also returns nil.
func (d *Driver) Accept(ctx context.Context, req *api.ChatRequest) error {
	rec := record{
		ClientAccount: req.ClientAccount, RequestID: req.ID,
		AcceptID: uuid.NewString(), AcceptedAt: d.opts.Clock.Now(),
	}
	rec.BodyKey = objectKey(req.ClientAccount, req.ID, "request-"+rec.AcceptID)
	body, err := json.Marshal(req)
	if err != nil {
		return api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, err.Error())
	}
	if err := d.opts.Objects.Put(ctx, rec.BodyKey, body); err != nil {
		return storeUnavailable("the request could not be stored: " + err.Error())
	}
	if err := d.insert(ctx, rec); err != nil {
		return err
	}
	d.metrics.accepted.Inc()
	d.wake()
	return nil
}

// storeUnavailable returns the problem for a request that was not accepted because
// of a store failure.
func storeUnavailable(detail string) *api.Problem {
	return api.NewNotRunProblem(api.ProblemStoreUnavailable, http.StatusServiceUnavailable, detail).WithRetryAfter(storeRetryAfter)
}

// insert writes the open row of a request. It succeeds without writing if the
// request has an open or a done row.
func (d *Driver) insert(ctx context.Context, rec record) error {
	value, err := rec.encode()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemInternal, http.StatusInternalServerError, err.Error())
	}
	// If there is a done row with the same name, the request is not run again,
	// because that would produce a second answer.
	done, err := d.exists(ctx, doneKey(rec.ClientAccount, rec.RequestID))
	if err != nil {
		return storeUnavailable(err.Error())
	}
	if done {
		return nil
	}
	key := openKey(rec.ClientAccount, rec.RequestID)
	err = d.writer.write(ctx, table.Write{Key: key, Value: value})
	var failed *table.ConditionFailedError
	var ambiguous *table.AmbiguousError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failed):
		d.deleteObjects(rec.BodyKey)
		return nil
	case errors.As(err, &ambiguous):
		return d.resolveInsert(ctx, key, rec.AcceptID)
	default:
		d.deleteObjects(rec.BodyKey)
		return storeUnavailable("the request could not be recorded: " + err.Error())
	}
}

func (d *Driver) exists(ctx context.Context, key table.Key) (bool, error) {
	_, err := d.opts.Table.Get(ctx, key)
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

// resolveInsert determines whether an insert whose response was lost was applied.
// If the row is missing, the outcome stays unknown, because the write may still
// be applied later.
func (d *Driver) resolveInsert(ctx context.Context, key table.Key, acceptID string) error {
	item, err := d.opts.Table.Get(ctx, key)
	if err == nil {
		rec, decodeErr := decodeRecord(item)
		if decodeErr == nil && rec.AcceptID == acceptID {
			return nil
		}
	}
	problem := api.NewUnknownOutcomeProblem(api.ProblemStoreUnavailable, "it is not known whether the request was recorded")
	problem.Status = http.StatusServiceUnavailable
	return problem.WithRetryAfter(storeRetryAfter)
}

// deleteObjects deletes objects to which no row refers, in the background. Errors
// are ignored.
func (d *Driver) deleteObjects(keys ...string) {
	if d.ctx.Err() != nil {
		return
	}
	d.tasks.Go(func() {
		ctx, cancel := d.storeContext()
		defer cancel()
		for _, key := range keys {
			if key != "" {
				_ = d.opts.Objects.Delete(ctx, key)
			}
		}
	})
}

// wake makes pollLoop poll without waiting for the next tick.
func (d *Driver) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}
