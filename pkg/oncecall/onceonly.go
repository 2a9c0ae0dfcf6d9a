package oncecall

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// onceOnlyRun performs one once-only call: it executes the I/O actions of the
// call's state machine and returns their results to it as events. It runs on its
// own goroutine, so that it continues when the caller disconnects.
type onceOnlyRun struct {
	caller   *Caller
	req      *api.CallRequest
	declared config.Call
	pools    []string
	spec     idempotency.Spec
	replyCh  chan idempotency.Reply

	mu           sync.Mutex
	stateMachine *idempotency.Call
}

// onceOnly runs a call that must not be executed more than once.
func (c *Caller) onceOnly(ctx context.Context, req *api.CallRequest, declared config.Call, pools []string) (*api.CallAnswer, *api.Problem) {
	if req.IdempotencyKey == "" && declared.RequiresKey {
		return nil, api.NewNotRunProblem(api.ProblemKeyRequired, http.StatusBadRequest, "the call needs an Idempotency-Key")
	}
	r := c.newOnceOnlyRun(req, declared, pools)
	c.activeCalls.Add(1)
	c.metrics.inProgress.Inc()
	go r.run()
	return c.toAnswer(r.wait(ctx))
}

func (c *Caller) newOnceOnlyRun(req *api.CallRequest, declared config.Call, pools []string) *onceOnlyRun {
	timeout := callTimeout(declared)
	toDeadline := max(req.Deadline.Sub(c.options.Clock.Now()), 0)
	spec := idempotency.Spec{
		ID:                idempotency.ID{Account: req.ClientAccount, Key: req.IdempotencyKey},
		Digest:            idempotency.Digest(req.Service, req.Call, req.Body),
		AttemptID:         c.options.NewAttemptID(),
		Revision:          req.Revision,
		Daemon:            c.options.Daemon,
		Service:           req.Service,
		Call:              req.Call,
		Keyless:           req.IdempotencyKey == "",
		CanLookup:         declared.LookupPath != "",
		DeduplicatesByKey: declared.DeduplicatesByKey,
		DispatchBy:        req.Deadline,
		SettleAfter:       toDeadline + timeout + c.options.SettleMargin,
	}
	return &onceOnlyRun{
		caller:       c,
		req:          req,
		declared:     declared,
		pools:        pools,
		spec:         spec,
		replyCh:      make(chan idempotency.Reply, 1),
		stateMachine: idempotency.NewCall(spec, c.options.Reporter),
	}
}

// wait returns the state machine's reply to the caller. When the deadline passes,
// the caller disconnects or the drain timeout passes, it requests the reply that
// can be given at that moment.
func (r *onceOnlyRun) wait(ctx context.Context) idempotency.Reply {
	clock := r.caller.options.Clock
	timer := clock.NewTimer(max(r.req.Deadline.Sub(clock.Now()), 0))
	defer timer.Stop()
	select {
	case reply := <-r.replyCh:
		return reply
	case <-timer.C():
	case <-ctx.Done():
	case <-r.caller.ctx.Done():
	}
	r.handle(idempotency.CallerTimedOut{})
	return <-r.replyCh
}

// run performs the actions of the state machine one after another until the call
// ends or the drain timeout passes.
func (r *onceOnlyRun) run() {
	defer r.caller.activeCalls.Done()
	defer r.caller.metrics.inProgress.Dec()
	next := r.handle(idempotency.Started{})
	for next != nil && r.caller.ctx.Err() == nil {
		event, ok := r.perform(next)
		if !ok {
			break
		}
		next = r.handle(event)
	}
	// The caller must get a reply even if the drain timeout has ended the run.
	r.handle(idempotency.CallerTimedOut{})
}

// handle passes an event to the state machine and delivers a reply for the caller
// to replyCh. It returns the next action to perform, or nil if there is none.
func (r *onceOnlyRun) handle(event idempotency.CallEvent) idempotency.CallAction {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next idempotency.CallAction
	for _, action := range r.stateMachine.Handle(r.caller.options.Clock.Now(), event) {
		switch a := action.(type) {
		case idempotency.Reply:
			r.replyCh <- a
		case idempotency.End:
		default:
			next = a
		}
	}
	return next
}

// perform executes one action and returns its result. ok is false when the drain
// timeout has passed.
func (r *onceOnlyRun) perform(action idempotency.CallAction) (event idempotency.CallEvent, ok bool) {
	switch a := action.(type) {
	case idempotency.WriteRecord:
		if !r.caller.sleep(r.caller.ctx, a.After) {
			return nil, false
		}
		return idempotency.Committed{Result: r.caller.write(a)}, true
	case idempotency.ReadRecord:
		if !r.caller.sleep(r.caller.ctx, a.After) {
			return nil, false
		}
		return r.caller.readRow(a.Key), true
	case idempotency.Dispatch:
		kind, answer := r.dispatch(a)
		return idempotency.Dispatched{Kind: kind, Answer: answer}, true
	case idempotency.Lookup:
		if !r.caller.sleep(r.caller.ctx, a.After) {
			return nil, false
		}
		kind, answer := r.caller.lookup(r.declared, r.pools, a.AttemptID, r.req.IdempotencyKey)
		return idempotency.LookedUp{Kind: kind, Answer: answer}, true
	}
	return nil, false
}

// write commits a claim or an outcome. A claim is refused without access to the
// table while the breaker considers it down.
func (c *Caller) write(a idempotency.WriteRecord) idempotency.Result {
	if !a.Claim {
		return c.commit(idempotency.ClassOnceOnly, a.Writes)
	}
	if !c.claimBreaker.allow(c.options.Clock.Now()) {
		return idempotency.Result{Status: idempotency.StatusUnavailable}
	}
	result := c.commit(idempotency.ClassOnceOnly, a.Writes)
	c.claimBreaker.recordResult(c.options.Clock.Now(), result.Status)
	return result
}

func (c *Caller) commit(class idempotency.Class, writes []table.Write) idempotency.Result {
	started := c.options.Clock.Now()
	result, err := c.committer.Commit(class, writes)
	if err != nil {
		return idempotency.Result{Status: idempotency.StatusUnavailable}
	}
	c.metrics.commitSeconds.Observe(c.options.Clock.Since(started).Seconds())
	return result
}

func (c *Caller) readRow(key table.Key) idempotency.RowRead {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.StoreTimeout)
	defer cancel()
	return idempotency.ReadRow(ctx, c.options.Store, key)
}

// dispatch sends the call on a new connection. It tries the next server only if
// the connection could not be established, because only then is it certain that
// no byte was sent. A call that has crashed servers is refused.
func (r *onceOnlyRun) dispatch(a idempotency.Dispatch) (idempotency.DispatchKind, []byte) {
	c := r.caller
	if c.quarantine.refuses(c.ctx, r.req) {
		return idempotency.DispatchRefused, nil
	}
	tried := make(map[string]bool)
	for c.options.Clock.Now().Before(r.spec.DispatchBy) {
		server, alternatives, ok := c.balancer.acquire(r.pools, tried)
		if !ok {
			break
		}
		tried[server.Name] = true
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout(r.declared))
		answer, err := c.attempt(ctx, config.CallOnceOnly, server, alternatives, r.req, &service.Request{
			AttemptID:       a.AttemptID,
			IdempotencyKey:  r.req.IdempotencyKey,
			Path:            r.declared.Path,
			Body:            r.req.Body,
			FreshConnection: true,
		})
		cancel()
		c.balancer.release(server)
		kind, stored := dispatchKind(answer, err)
		if kind != idempotency.DispatchNotSent {
			return kind, stored
		}
	}
	return idempotency.DispatchNotSent, nil
}

// dispatchKind classifies the result of a dispatch or a look-up, and returns the
// encoded answer if there is one.
func dispatchKind(answer *api.CallAnswer, err error) (idempotency.DispatchKind, []byte) {
	var notSent *service.NotSentError
	var refused *service.RefusedError
	var noRecord *service.AttemptNotFoundError
	switch {
	case err == nil:
		return idempotency.DispatchAnswered, encodeAnswer(answer)
	case errors.As(err, &notSent):
		return idempotency.DispatchNotSent, nil
	case errors.As(err, &refused):
		return idempotency.DispatchRefused, nil
	case errors.As(err, &noRecord):
		return idempotency.LookupNoRecord, nil
	default:
		return idempotency.DispatchBroken, nil
	}
}

// lookup queries the service's servers, each on a new connection, for the result
// of an attempt. The first answer or refusal is taken as the result for the whole
// service; "no record" is returned only if no queried server gave one of these.
func (c *Caller) lookup(declared config.Call, pools []string, attemptID, key string) (idempotency.DispatchKind, []byte) {
	result := idempotency.DispatchBroken
	tried := make(map[string]bool)
	for len(tried) < maxLookupServers {
		server, _, ok := c.balancer.acquire(pools, tried)
		if !ok {
			break
		}
		tried[server.Name] = true
		ctx, cancel := context.WithTimeout(context.Background(), c.options.LookupTimeout)
		answer, err := c.options.Client.Lookup(ctx, server.Address, declared.LookupPath, attemptID, key)
		cancel()
		c.balancer.release(server)
		switch kind, stored := dispatchKind(answer, err); kind {
		case idempotency.DispatchAnswered, idempotency.DispatchRefused:
			return kind, stored
		case idempotency.LookupNoRecord:
			result = kind
		}
	}
	return result, nil
}

// maxLookupServers is the maximum number of servers that one look-up queries.
const maxLookupServers = 3

func encodeAnswer(answer *api.CallAnswer) []byte {
	// Marshal cannot fail: CallAnswer holds only an integer, a string and bytes.
	value, _ := json.Marshal(answer)
	return value
}

func decodeAnswer(value []byte) (*api.CallAnswer, error) {
	answer := &api.CallAnswer{}
	err := json.Unmarshal(value, answer)
	return answer, err
}

// toAnswer converts a reply of the state machine into an answer or a problem.
func (c *Caller) toAnswer(reply idempotency.Reply) (*api.CallAnswer, *api.Problem) {
	if reply.Kind == idempotency.ReplyDone {
		answer, err := decodeAnswer(reply.Answer)
		if err != nil {
			return nil, &api.Problem{Name: api.ProblemInternal, Status: http.StatusInternalServerError, Detail: "stored answer is unreadable", Outcome: api.OutcomeDone}
		}
		answer.Replayed = reply.Replayed
		return answer, nil
	}
	return nil, c.problem(reply)
}

// problem returns the problem for a reply without an answer.
func (c *Caller) problem(reply idempotency.Reply) *api.Problem {
	const unavailable = http.StatusServiceUnavailable
	switch reply.Kind {
	case idempotency.ReplyConflict:
		return api.NewNotRunProblem(api.ProblemKeyConflict, http.StatusConflict, "the key was used with another body")
	case idempotency.ReplyInUse:
		problem := &api.Problem{Name: api.ProblemKeyInUse, Status: http.StatusConflict, Detail: "another call with the key is in progress", Outcome: api.OutcomeUnknown}
		return problem.WithRetryAfter(c.options.RetryAfter)
	case idempotency.ReplyStoreUnavailable:
		return api.NewNotRunProblem(api.ProblemStoreUnavailable, unavailable, "the claim could not be stored").WithRetryAfter(c.options.RetryAfter)
	case idempotency.ReplyNotReached:
		return api.NewNotRunProblem(api.ProblemNoBackendServer, unavailable, "no server of the service could be reached").WithRetryAfter(c.options.RetryAfter)
	case idempotency.ReplyRefused:
		return api.NewNotRunProblem(api.ProblemBackendFailed, unavailable, "the service refused the call").WithRetryAfter(c.options.RetryAfter)
	case idempotency.ReplyTooLate:
		return api.NewNotRunProblem(api.ProblemDeadlineExceeded, http.StatusGatewayTimeout, "the call was not sent before its deadline").WithRetryAfter(time.Second)
	default:
		return api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, "the call may have run and gave no answer")
	}
}
