package oncecall

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// repeatableRun is one repeatable call with its attempts so far.
type repeatableRun struct {
	caller   *Caller
	req      *api.CallRequest
	declared config.Call
	pools    []string
	tried    map[string]bool
	attempts int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// fresh asks for new connections after one was silent or broken.
	fresh bool
}

// repeatable runs a call that may be repeated: it is retried on other servers
// within the deadline and the retry budget.
func (c *Caller) repeatable(ctx context.Context, req *api.CallRequest, declared config.Call, pools []string) (*api.CallAnswer, *api.Problem) {
	run := &repeatableRun{caller: c, req: req, declared: declared, pools: pools, tried: make(map[string]bool)}
	for {
		answer, err := run.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		if problem := run.next(ctx, err); problem != nil {
			return nil, problem
		}
	}
}

func (r *repeatableRun) attempt(ctx context.Context) (*api.CallAnswer, error) {
	c := r.caller
	remaining := r.remaining()
	if remaining <= 0 || ctx.Err() != nil {
		return nil, &tooLateError{}
	}
	server, weighed, ok := c.servers.acquire(r.pools, r.tried)
	if !ok {
		return nil, &noServerError{}
	}
	defer c.servers.release(server)
	r.tried[server.Name] = true
	r.attempts++
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout(r.declared), remaining))
	defer cancel()
	answer, err := c.attempt(ctx, config.CallRepeatable, server, weighed, r.req.ID, &service.Request{
		AttemptID:       c.options.NewAttemptID(),
		IdempotencyKey:  r.req.IdempotencyKey,
		Path:            r.declared.Path,
		Body:            r.req.Body,
		FreshConnection: r.fresh,
	})
	if err == nil && c.options.Budget != nil {
		c.options.Budget.Success(c.options.Clock.Now(), r.req.ClientAccount, server.Pool)
	}
	return answer, err
}

func (r *repeatableRun) remaining() time.Duration {
	return r.req.Deadline.Sub(r.caller.options.Clock.Now())
}

// next returns nil when another attempt may be made, otherwise the problem that
// the caller is told.
func (r *repeatableRun) next(ctx context.Context, err error) *api.Problem {
	cause := resultOf(err)
	switch cause {
	case "not_sent", "refused":
		// Nothing ran: the next server costs no work and no budget.
		if r.attempts < maxRepeatableAttempts {
			r.count(cause)
			return nil
		}
	default:
		if isFinal(err) {
			return r.problem(err)
		}
		r.mayHaveRun = true
		r.fresh = true
		if r.attempts < maxRepeatableAttempts && r.mayRetry(ctx) {
			r.count(cause)
			return nil
		}
	}
	return r.problem(err)
}

// mayRetry takes a retry from the budget and backs off with full jitter within
// the caller's remaining time.
func (r *repeatableRun) mayRetry(ctx context.Context) bool {
	c := r.caller
	backoff := min(firstBackoff<<(r.attempts-1), maxBackoff)
	wait := time.Duration(c.servers.float64() * float64(backoff))
	if wait >= r.remaining() || ctx.Err() != nil {
		return false
	}
	if len(c.servers.available(r.pools)) <= len(r.tried) {
		// All servers were tried; a new connection may reach one again.
		r.tried = make(map[string]bool)
	}
	if c.options.Budget != nil && !c.options.Budget.Retry(c.options.Clock.Now(), r.req.ClientAccount, r.pools[0]) {
		return false
	}
	return c.sleep(ctx, wait)
}

func (r *repeatableRun) count(cause string) {
	c := r.caller
	c.metrics.retries.WithLabelValues(cause).Inc()
	c.options.Decisions.Record(decision.Decision{
		Time:      c.options.Clock.Now(),
		Kind:      decision.KindRetry,
		RequestID: r.req.ID,
		Reason:    "attempt " + cause,
	})
}

func (r *repeatableRun) problem(err error) *api.Problem {
	var late *tooLateError
	name, status := api.ProblemBackendFailed, http.StatusBadGateway
	switch {
	case errors.As(err, &late), r.remaining() <= 0:
		name, status = api.ProblemDeadlineExceeded, http.StatusGatewayTimeout
	case !r.mayHaveRun:
		name, status = api.ProblemNoBackendServer, http.StatusServiceUnavailable
	}
	problem := &api.Problem{Name: name, Status: status, Detail: err.Error(), Outcome: api.OutcomeNotRun}
	if r.mayHaveRun {
		problem.Outcome = api.OutcomeUnknown
	}
	return problem.WithRetryAfter(r.caller.options.RetryAfter)
}

func isFinal(err error) bool {
	var late *tooLateError
	var none *noServerError
	return errors.As(err, &late) || errors.As(err, &none)
}

// tooLateError reports that the caller's deadline has passed or it has gone.
type tooLateError struct{}

func (e *tooLateError) Error() string { return "the caller's deadline has passed" }

// noServerError reports that no untried server is available.
type noServerError struct{}

func (e *noServerError) Error() string { return "no server of the service is available" }
