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

// flight drives the core of one once-only call. It runs on its own goroutine,
// so that the caller's disconnect does not end it.
type flight struct {
	caller   *Caller
	req      *api.CallRequest
	declared config.Call
	pools    []string
	spec     idempotency.Spec
	replied  chan idempotency.Reply

	mu   sync.Mutex
	core *idempotency.Call
}

// onceOnly runs a call that may not be repeated.
func (c *Caller) onceOnly(ctx context.Context, req *api.CallRequest, declared config.Call, pools []string) (*api.CallAnswer, *api.Problem) {
	if req.IdempotencyKey == "" && declared.RequiresKey {
		return nil, api.NewNotRunProblem(api.ProblemKeyRequired, http.StatusBadRequest, "the call needs an Idempotency-Key")
	}
	f := c.newFlight(req, declared, pools)
	c.flights.Add(1)
	c.metrics.inProgress.Inc()
	go f.run()
	return c.verdict(f.wait(ctx))
}

func (c *Caller) newFlight(req *api.CallRequest, declared config.Call, pools []string) *flight {
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
	return &flight{
		caller:   c,
		req:      req,
		declared: declared,
		pools:    pools,
		spec:     spec,
		replied:  make(chan idempotency.Reply, 1),
		core:     idempotency.NewCall(spec, c.options.Reporter),
	}
}

// wait returns what the caller is told: the flight's verdict, or what is known
// when its deadline passes or it goes.
func (f *flight) wait(ctx context.Context) idempotency.Reply {
	clock := f.caller.options.Clock
	timer := clock.NewTimer(max(f.req.Deadline.Sub(clock.Now()), 0))
	defer timer.Stop()
	select {
	case reply := <-f.replied:
		return reply
	case <-timer.C():
	case <-ctx.Done():
	case <-f.caller.ctx.Done():
	}
	f.handle(idempotency.CallerTimedOut{})
	return <-f.replied
}

// run performs actions one after another until the core ends.
func (f *flight) run() {
	defer f.caller.flights.Done()
	defer f.caller.metrics.inProgress.Dec()
	next := f.handle(idempotency.Started{})
	for next != nil && f.caller.ctx.Err() == nil {
		event, ok := f.perform(next)
		if !ok {
			break
		}
		next = f.handle(event)
	}
	// A flight that the drain has ended still tells its caller.
	f.handle(idempotency.CallerTimedOut{})
}

// handle feeds an event to the core, delivers its verdict and returns the
// action that has an answer, if any.
func (f *flight) handle(event idempotency.CallEvent) idempotency.CallAction {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next idempotency.CallAction
	for _, action := range f.core.Handle(f.caller.options.Clock.Now(), event) {
		switch a := action.(type) {
		case idempotency.Reply:
			f.replied <- a
		case idempotency.End:
		default:
			next = a
		}
	}
	return next
}

// perform does one action; ok is false when the drain's time is over.
func (f *flight) perform(action idempotency.CallAction) (event idempotency.CallEvent, ok bool) {
	switch a := action.(type) {
	case idempotency.WriteRecord:
		if !f.caller.sleep(f.caller.ctx, a.After) {
			return nil, false
		}
		return idempotency.Committed{Result: f.caller.write(a)}, true
	case idempotency.ReadRecord:
		if !f.caller.sleep(f.caller.ctx, a.After) {
			return nil, false
		}
		return f.caller.readRow(a.Key), true
	case idempotency.Dispatch:
		kind, answer := f.dispatch(a)
		return idempotency.Dispatched{Kind: kind, Answer: answer}, true
	case idempotency.Lookup:
		if !f.caller.sleep(f.caller.ctx, a.After) {
			return nil, false
		}
		kind, answer := f.caller.lookup(f.declared, f.pools, a.AttemptID, f.req.IdempotencyKey)
		return idempotency.LookedUp{Kind: kind, Answer: answer}, true
	}
	return nil, false
}

// write commits a claim unless the table is known to be down, or an outcome.
func (c *Caller) write(a idempotency.WriteRecord) idempotency.Result {
	if !a.Claim {
		return c.commit(idempotency.ClassOnceOnly, a.Writes)
	}
	if !c.gate.enter(c.options.Clock.Now()) {
		return idempotency.Result{Status: idempotency.StatusUnavailable}
	}
	result := c.commit(idempotency.ClassOnceOnly, a.Writes)
	c.gate.leave(c.options.Clock.Now(), result.Status)
	return result
}

func (c *Caller) commit(class idempotency.Class, writes []table.Write) idempotency.Result {
	started := c.options.Clock.Now()
	result, err := c.committer.Commit(class, writes)
	if err != nil {
		return idempotency.Result{Status: idempotency.StatusUnavailable}
	}
	c.metrics.claim.Observe(c.options.Clock.Since(started).Seconds())
	return result
}

func (c *Caller) readRow(key table.Key) idempotency.RowRead {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.StoreTimeout)
	defer cancel()
	return idempotency.ReadRow(ctx, c.options.Store, key)
}

// dispatch sends the call on a new connection. Only a server that cannot be
// dialled is passed over for the next one, which proves that no byte has left.
func (f *flight) dispatch(a idempotency.Dispatch) (idempotency.DispatchKind, []byte) {
	c := f.caller
	tried := make(map[string]bool)
	for c.options.Clock.Now().Before(f.spec.DispatchBy) {
		server, weighed, ok := c.servers.acquire(f.pools, tried)
		if !ok {
			break
		}
		tried[server.Name] = true
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout(f.declared))
		answer, err := c.attempt(ctx, config.CallOnceOnly, server, weighed, f.req.ID, &service.Request{
			AttemptID:       a.AttemptID,
			IdempotencyKey:  f.req.IdempotencyKey,
			Path:            f.declared.Path,
			Body:            f.req.Body,
			FreshConnection: true,
		})
		cancel()
		c.servers.release(server)
		kind, stored := dispatchKind(answer, err)
		if kind != idempotency.DispatchNotSent {
			return kind, stored
		}
	}
	return idempotency.DispatchNotSent, nil
}

func dispatchKind(answer *api.CallAnswer, err error) (idempotency.DispatchKind, []byte) {
	var notSent *service.NotSentError
	var refused *service.RefusedError
	var noRecord *service.LookupUnknownError
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

// lookup asks the service's servers, each on a new connection, what became of
// an attempt. The first answer or definite statement counts for the service.
func (c *Caller) lookup(declared config.Call, pools []string, attemptID, key string) (idempotency.DispatchKind, []byte) {
	result := idempotency.DispatchBroken
	tried := make(map[string]bool)
	for len(tried) < maxLookupServers {
		server, _, ok := c.servers.acquire(pools, tried)
		if !ok {
			break
		}
		tried[server.Name] = true
		ctx, cancel := context.WithTimeout(context.Background(), c.options.LookupTimeout)
		answer, err := c.options.Client.Lookup(ctx, server.Address, declared.LookupPath, attemptID, key)
		cancel()
		c.servers.release(server)
		switch kind, stored := dispatchKind(answer, err); kind {
		case idempotency.DispatchAnswered, idempotency.DispatchRefused:
			return kind, stored
		case idempotency.LookupNoRecord:
			result = kind
		}
	}
	return result, nil
}

// maxLookupServers bounds how many servers one look-up asks.
const maxLookupServers = 3

func encodeAnswer(answer *api.CallAnswer) []byte {
	// CallAnswer holds only an integer, a string and bytes.
	value, _ := json.Marshal(answer)
	return value
}

func decodeAnswer(value []byte) (*api.CallAnswer, error) {
	answer := &api.CallAnswer{}
	err := json.Unmarshal(value, answer)
	return answer, err
}

// verdict turns what the core tells into an answer or a problem.
func (c *Caller) verdict(t idempotency.Reply) (*api.CallAnswer, *api.Problem) {
	if t.Kind == idempotency.ReplyDone {
		answer, err := decodeAnswer(t.Answer)
		if err != nil {
			return nil, &api.Problem{Name: api.ProblemInternal, Status: http.StatusInternalServerError, Detail: "stored answer is unreadable", Outcome: api.OutcomeDone}
		}
		answer.Replayed = t.Replayed
		return answer, nil
	}
	return nil, c.problem(t)
}

func (c *Caller) problem(t idempotency.Reply) *api.Problem {
	const unavailable = http.StatusServiceUnavailable
	switch t.Kind {
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
