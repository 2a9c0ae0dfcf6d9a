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

// run is one request in progress. rec and version belong to the goroutine that
// writes the row: the saver while the chat runs, execute before and after.
type run struct {
	d       *Driver
	name    string
	r       int
	number  uint64
	rec     record
	version uint64
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	due     chan struct{}
	// failures counts the failed runs before this one.
	failures int

	mu     sync.Mutex
	tokens []string
	finish string
	saved  time.Time
}

// held reports whether this daemon still holds the range under the number that
// the request runs under.
func (r *run) held() bool {
	return r.d.opts.Ranges.Holds(r.r) && r.d.opts.Ranges.FencingNumber(r.r) == r.number
}

func (r *run) execute() {
	failed := true
	defer func() {
		r.cancel()
		r.d.finished(r, failed)
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

// prepare claims the request for this holder and reads what is stored of it.
func (r *run) prepare() (*api.ChatRequest, error) {
	if !r.held() {
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

// partialTries is how often a partial answer is read before the request starts
// from nothing. The body was read just before, so that the store is not down.
const partialTries = 5

func (r *run) readPartial() error {
	if r.rec.PartialKey == "" {
		return nil
	}
	var partial answerBody
	err := r.readObject(r.rec.PartialKey, &partial)
	if err != nil && r.failures < partialTries {
		return err
	}
	if err != nil {
		klog.ErrorS(err, "partial answer lost, the request starts again", "request", r.rec.RequestID)
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

// chat runs the request from its saved tokens while a saver saves new ones.
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
	r.saved = now
	var saver sync.WaitGroup
	stop := make(chan struct{})
	saver.Go(func() { r.saveLoop(stop) })
	resumed := append([]string(nil), r.tokens...)
	err := r.d.opts.Chat.Resume(r.ctx, &attempt, resumed, r)
	close(stop)
	saver.Wait()
	return err
}

// Send implements api.EventSink.
func (r *run) Send(e api.TokenEvent) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Offset != len(r.tokens) {
		return &OffsetError{RequestID: r.rec.RequestID, Offset: e.Offset, Expected: len(r.tokens)}
	}
	if e.FinishReason != "" {
		r.finish = e.FinishReason
		return nil
	}
	r.tokens = append(r.tokens, e.Text)
	if now := r.d.opts.Clock.Now(); now.Sub(r.saved) >= r.d.opts.SaveInterval {
		r.saved = now
		select {
		case r.due <- struct{}{}:
		default:
		}
	}
	return nil
}

// OffsetError reports a token that does not follow the one before.
type OffsetError struct {
	RequestID string
	Offset    int
	Expected  int
}

func (e *OffsetError) Error() string {
	return "request " + e.RequestID + ": token at offset " + strconv.Itoa(e.Offset) + ", want " + strconv.Itoa(e.Expected)
}

// complete stores the final answer, or what there is of it. It reports whether
// the request is done with.
func (r *run) complete(req *api.ChatRequest, err error) bool {
	problem := r.finalProblem(req, err)
	if err == nil || problem != nil {
		return r.answer(problem)
	}
	klog.V(1).InfoS("deferred request interrupted", "request", r.rec.RequestID, "tokens", len(r.tokens), "err", err)
	if r.d.ctx.Err() == nil {
		r.save(r.writeRow)
	}
	return false
}

// finalProblem returns the problem that ends a request for good: no further run
// can change it.
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

// answer stores the final answer. It tries until the store answers, since the
// answer is nowhere else.
func (r *run) answer(problem *api.Problem) bool {
	rec := r.rec
	rec.Problem = problem
	rec.ExpiresAt = r.d.opts.Clock.Now().Add(r.d.opts.Retention)
	rec.AnswerKey = objectKey(rec.ClientAccount, rec.RequestID, "answer-"+uuid.NewString())
	for delay := r.d.opts.RetryBaseDelay; ; delay = min(2*delay, r.d.opts.RetryMaxDelay) {
		if !r.held() {
			r.d.metrics.lost.Inc()
			return false
		}
		done, err := r.tryAnswer(rec)
		if done {
			return err == nil
		}
		klog.V(1).InfoS("answer of deferred request not stored", "request", rec.RequestID, "err", err)
		select {
		case <-r.d.opts.Clock.After(delay):
		case <-r.d.ctx.Done():
			return false
		}
	}
}

// tryAnswer reports whether there is nothing more to try.
func (r *run) tryAnswer(rec record) (bool, error) {
	ctx, cancel := r.d.storeContext()
	defer cancel()
	if err := r.putAnswer(ctx, rec.AnswerKey); err != nil {
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
		return r.settleAnswer(ctx, rec, err)
	}
	if err != nil {
		return false, err
	}
	r.answered(rec)
	return true, nil
}

func (r *run) putAnswer(ctx context.Context, key string) error {
	data, err := json.Marshal(answerBody{Tokens: r.tokens, FinishReason: r.finish})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.d.opts.Objects.Put(ctx, key, data))
}

// settleAnswer reads back whose answer is stored.
func (r *run) settleAnswer(ctx context.Context, rec record, cause error) (bool, error) {
	item, err := r.d.opts.Table.Get(ctx, doneKey(rec.ClientAccount, rec.RequestID))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		var failed *table.ConditionFailedError
		if errors.As(cause, &failed) {
			// The open row has another version: another holder runs it.
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
	r.d.discard(rec.AnswerKey)
	return true, &TakenOverError{RequestID: rec.RequestID}
}

func (r *run) answered(rec record) {
	result := "answer"
	if rec.Problem != nil {
		result = string(rec.Problem.Name)
	}
	r.d.metrics.answered.WithLabelValues(result).Inc()
	r.d.discard(rec.BodyKey, rec.PartialKey)
}
