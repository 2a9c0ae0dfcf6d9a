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

// storeRetryAfter is when a caller may come back after a store failure.
const storeRetryAfter = 5 * time.Second

// Accept stores a request. After a nil error the request is answered whatever
// happens to this daemon, and the caller may be told so. A request that is
// already stored is accepted again.
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
		return unavailable("the request could not be stored: " + err.Error())
	}
	if err := d.insert(ctx, rec); err != nil {
		return err
	}
	d.metrics.accepted.Inc()
	d.wake()
	return nil
}

func unavailable(detail string) *api.Problem {
	return api.NewNotRunProblem(api.ProblemStoreUnavailable, http.StatusServiceUnavailable, detail).WithRetryAfter(storeRetryAfter)
}

func (d *Driver) insert(ctx context.Context, rec record) error {
	value, err := rec.encode()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemInternal, http.StatusInternalServerError, err.Error())
	}
	// A done row with the same name must not exist: its answer would be a
	// second one.
	done, err := d.exists(ctx, doneKey(rec.ClientAccount, rec.RequestID))
	if err != nil {
		return unavailable(err.Error())
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
		d.discard(rec.BodyKey)
		return nil
	case errors.As(err, &ambiguous):
		return d.readBack(ctx, key, rec.AcceptID)
	default:
		d.discard(rec.BodyKey)
		return unavailable("the request could not be recorded: " + err.Error())
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

// readBack settles an insert whose answer was lost. A missing row may only be
// late, so that the outcome stays unknown then.
func (d *Driver) readBack(ctx context.Context, key table.Key, acceptID string) error {
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

// discard removes an object that no row names.
func (d *Driver) discard(keys ...string) {
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

func (d *Driver) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}
