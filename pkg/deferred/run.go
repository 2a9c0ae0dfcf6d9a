package deferred

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// run is one run of a request. rec and version are accessed only by the goroutine
// that writes the row: saveLoop while the chat runs, and execute before and after
// it.
type run struct {
	d             *Driver
	name          string
	rangeIndex    int
	fencingNumber uint64
	rec           record
	version       table.Version
	ctx           context.Context
	cancel        context.CancelFunc
	done          chan struct{}
	saveDue       chan struct{}
	// failures counts the failed runs before this one.
	failures int

	mu           sync.Mutex
	tokens       []string
	finishReason string
	lastSave     time.Time
}

// holdsRange reports whether this daemon still holds the range's lease with the
// fencing number with which the run was started.
func (r *run) holdsRange() bool {
	return r.d.opts.Ranges.Holds(r.rangeIndex) && r.d.opts.Ranges.FencingNumber(r.rangeIndex) == r.fencingNumber
}

// execute runs the request and stores its answer.
func (r *run) execute() {
	failed := true
	defer func() {
		r.cancel()
		r.d.runFinished(r, failed)
		close(r.done)
		r.d.wake()
	}()
	req, err := r.prepare()
	if err != nil {
		klog.V(1).InfoS("deferred request not started", "request", r.rec.RequestID, "err", err)
		return
	}
	failed = !r.complete(req, r.chat(req))
}

// prepare claims the request for this lease holder by writing its fencing number
// to the row, and reads the request body and the partial answer.
func (r *run) prepare() (*api.ChatRequest, error) {
	if !r.holdsRange() {
		return nil, &TakenOverError{RequestID: r.rec.RequestID}
	}
	if err := r.writeRow(r.rec); err != nil {
		return nil, err
	}
	req := &api.ChatRequest{}
	if err := r.readObject(r.rec.BodyKey, req); err != nil {
		return nil, err
	}
	req.Deferred = true
	return req, r.readPartial()
}

// maxPartialReadAttempts is the number of failed runs after which an unreadable
// partial answer is given up and the request restarts without it. The request
// body is read just before, so the store itself is not down then.
const maxPartialReadAttempts = 5

func (r *run) readPartial() error {
	if r.rec.PartialKey == "" {
		return nil
	}
	var partial answerBody
	err := r.readObject(r.rec.PartialKey, &partial)
	if err != nil && r.failures < maxPartialReadAttempts {
		return err
	}
	if err != nil {
		klog.ErrorS(err, "partial answer not readable, the request restarts from the beginning", "request", r.rec.RequestID)
		return nil
	}
	r.tokens = partial.Tokens
	r.d.metrics.resumed.Inc()
	return nil
}

func (r *run) readObject(key string, value any) error {
	ctx, cancel := r.d.storeContext()
	defer cancel()
	data, err := r.d.opts.Objects.Get(ctx, key)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(data, value))
}

// chat resumes the request from its saved tokens. saveLoop saves the new tokens
// concurrently.
func (r *run) chat(req *api.ChatRequest) error {
	now := r.d.opts.Clock.Now()
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return api.NewUnknownOutcomeProblem(api.ProblemDeadlineExceeded, "the request was not complete at its deadline")
	}
	attempt := *req
	timeout := now.Add(r.d.opts.AttemptTimeout)
	if attempt.Deadline.IsZero() || timeout.Before(attempt.Deadline) {
		attempt.Deadline = timeout
	}
	r.lastSave = now
	var saver sync.WaitGroup
	stop := make(chan struct{})
	saver.Go(func() { r.saveLoop(stop) })
	resumed := append([]string(nil), r.tokens...)
	err := r.d.opts.Chat.Resume(r.ctx, &attempt, resumed, r)
	close(stop)
	saver.Wait()
	return err
}

// Send implements api.EventSink. It adds a token to the answer and triggers a save
// once SaveInterval has passed since the last one.
func (r *run) Send(e api.TokenEvent) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Offset != len(r.tokens) {
		return &OffsetError{RequestID: r.rec.RequestID, Offset: e.Offset, Expected: len(r.tokens)}
	}
	if e.FinishReason != "" {
		r.finishReason = e.FinishReason
		return nil
	}
	r.tokens = append(r.tokens, e.Text)
	if now := r.d.opts.Clock.Now(); now.Sub(r.lastSave) >= r.d.opts.SaveInterval {
		r.lastSave = now
		select {
		case r.saveDue <- struct{}{}:
		default:
		}
	}
	return nil
}

// OffsetError reports a token whose offset does not follow the previous token.
type OffsetError struct {
	RequestID string
	Offset    int
	Expected  int
}

func (e *OffsetError) Error() string {
	return "request " + e.RequestID + ": token at offset " + strconv.Itoa(e.Offset) + ", want " + strconv.Itoa(e.Expected)
}

// complete stores the final answer or, if the chat was interrupted, the partial
// answer. It reports whether the request needs no further run.
func (r *run) complete(req *api.ChatRequest, err error) bool {
	problem := r.finalProblem(req, err)
	if err == nil || problem != nil {
		return r.storeAnswer(problem)
	}
	klog.V(1).InfoS("deferred request interrupted", "request", r.rec.RequestID, "tokens", len(r.tokens), "err", err)
	if r.d.ctx.Err() == nil {
		r.save(r.writeRow)
	}
	return false
}

// finalProblem returns the problem that ends a request permanently, because a
// further run would have the same result. It returns nil if there is none.
func (r *run) finalProblem(req *api.ChatRequest, err error) *api.Problem {
	var problem *api.Problem
	if !errors.As(err, &problem) {
		return nil
	}
	switch problem.Name {
	case api.ProblemBadRequest, api.ProblemTooLarge, api.ProblemQuarantined:
		return problem
	case api.ProblemDeadlineExceeded:
		if !req.Deadline.IsZero() && !r.d.opts.Clock.Now().Before(req.Deadline) {
			return problem
		}
	}
	return nil
}

// storeAnswer stores the final answer. It retries until it succeeds, the range's
// lease is lost or the Driver is closed, because the answer exists only in this
// process's memory. It reports whether the answer was stored.
func (r *run) storeAnswer(problem *api.Problem) bool {
	rec := r.rec
	rec.Problem = problem
	rec.ExpiresAt = r.d.opts.Clock.Now().Add(r.d.opts.Retention)
	rec.AnswerKey = objectKey(rec.ClientAccount, rec.RequestID, "answer-"+uuid.NewString())
	for delay := r.d.opts.RetryBaseDelay; ; delay = min(2*delay, r.d.opts.RetryMaxDelay) {
		if !r.holdsRange() {
			r.d.metrics.lost.Inc()
			return false
		}
		done, err := r.tryStoreAnswer(rec)
		if done {
			return err == nil
		}
		klog.V(1).InfoS("storing the answer of a deferred request failed", "request", rec.RequestID, "err", err)
		select {
		case <-r.d.opts.Clock.After(delay):
		case <-r.d.ctx.Done():
			return false
		}
	}
}

// tryStoreAnswer makes one attempt to store the final answer. It reports whether
// no further attempt is needed.
func (r *run) tryStoreAnswer(rec record) (bool, error) {
	ctx, cancel := r.d.storeContext()
	defer cancel()
	if err := r.putAnswerObject(ctx, rec.AnswerKey); err != nil {
		return false, err
	}
	value, err := rec.encode()
	if err != nil {
		return true, errors.Trace(err)
	}
	err = r.d.writer.write(ctx,
		table.Write{Key: openKey(rec.ClientAccount, rec.RequestID), Version: r.version, Delete: true},
		table.Write{Key: doneKey(rec.ClientAccount, rec.RequestID), Value: value},
	)
	var failed *table.ConditionFailedError
	var ambiguous *table.AmbiguousError
	if errors.As(err, &failed) || errors.As(err, &ambiguous) {
		return r.resolveAnswerWrite(ctx, rec, err)
	}
	if err != nil {
		return false, err
	}
	r.answered(rec)
	return true, nil
}

func (r *run) putAnswerObject(ctx context.Context, key string) error {
	data, err := json.Marshal(answerBody{Tokens: r.tokens, FinishReason: r.finishReason})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.d.opts.Objects.Put(ctx, key, data))
}

// resolveAnswerWrite reads back the done row after a failed or ambiguous write, to
// determine whether this run's answer is stored.
func (r *run) resolveAnswerWrite(ctx context.Context, rec record, cause error) (bool, error) {
	item, err := r.d.opts.Table.Get(ctx, doneKey(rec.ClientAccount, rec.RequestID))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		var failed *table.ConditionFailedError
		if errors.As(cause, &failed) {
			// The open row has another version, so another lease holder has claimed
			// the request.
			r.d.metrics.lost.Inc()
			return true, &TakenOverError{RequestID: rec.RequestID}
		}
		return false, cause
	}
	if err != nil {
		return false, errors.Trace(err)
	}
	stored, err := decodeRecord(item)
	if err == nil && stored.AnswerKey == rec.AnswerKey {
		r.answered(rec)
		return true, nil
	}
	r.d.deleteObjects(rec.AnswerKey)
	return true, &TakenOverError{RequestID: rec.RequestID}
}

// answered counts a stored answer and deletes the objects of the request body and
// of the partial answer.
func (r *run) answered(rec record) {
	result := "answer"
	if rec.Problem != nil {
		result = string(rec.Problem.Name)
	}
	r.d.metrics.answered.WithLabelValues(result).Inc()
	r.d.deleteObjects(rec.BodyKey, rec.PartialKey)
}
