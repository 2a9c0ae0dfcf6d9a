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

// repeatableRun is the state of one repeatable call.
type repeatableRun struct {
	caller   *Caller
	req      *api.CallRequest
	declared config.Call
	pools    []string
	tried    map[string]bool
	attempts int
	// mayHaveRun is set when any attempt may have been executed by a server.
	mayHaveRun bool
	// freshConnection is set after an attempt without an answer or with a broken
	// connection; further attempts then use new connections.
	freshConnection bool
}

// repeatable runs a call that may be executed more than once. It is retried on
// other servers within the deadline and the retry budget.
func (c *Caller) repeatable(ctx context.Context, req *api.CallRequest, declared config.Call, pools []string) (*api.CallAnswer, *api.Problem) {
	run := &repeatableRun{caller: c, req: req, declared: declared, pools: pools, tried: make(map[string]bool)}
	for {
		if c.quarantine.refuses(ctx, req) {
			return nil, run.quarantinedProblem()
		}
		answer, err := run.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		if problem := run.retryOrProblem(ctx, err); problem != nil {
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
	server, alternatives, ok := c.balancer.acquire(r.pools, r.tried)
	if !ok {
		return nil, &noServerError{}
	}
	defer c.balancer.release(server)
	r.tried[server.Name] = true
	r.attempts++
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout(r.declared), remaining))
	defer cancel()
	answer, err := c.attempt(ctx, config.CallRepeatable, server, alternatives, r.req, &service.Request{
		AttemptID:       c.options.NewAttemptID(),
		IdempotencyKey:  r.req.IdempotencyKey,
		Path:            r.declared.Path,
		Body:            r.req.Body,
		FreshConnection: r.freshConnection,
	})
	if err == nil && c.options.Budget != nil {
		c.options.Budget.Success(c.options.Clock.Now(), r.req.ClientAccount, server.Pool)
	}
	return answer, err
}

func (r *repeatableRun) remaining() time.Duration {
	return r.req.Deadline.Sub(r.caller.options.Clock.Now())
}

// retryOrProblem returns nil if another attempt may be made after err, otherwise
// the problem to return to the caller.
func (r *repeatableRun) retryOrProblem(ctx context.Context, err error) *api.Problem {
	cause := attemptResult(err)
	switch cause {
	case "not_sent", "refused":
		// The call was not executed, so trying the next server repeats no work and
		// takes nothing from the retry budget.
		if r.attempts < maxRepeatableAttempts {
			r.recordRetry(cause)
			return nil
		}
	default:
		if isFinal(err) {
			return r.problem(err)
		}
		r.mayHaveRun = true
		r.freshConnection = true
		if r.attempts < maxRepeatableAttempts && r.mayRetry(ctx) {
			r.recordRetry(cause)
			return nil
		}
	}
	return r.problem(err)
}

// mayRetry takes a retry from the budget and waits for an exponential back-off
// with full jitter. It returns false if the back-off does not fit into the
// caller's remaining time or the budget is spent.
func (r *repeatableRun) mayRetry(ctx context.Context) bool {
	c := r.caller
	backoff := min(firstBackoff<<(r.attempts-1), maxBackoff)
	wait := time.Duration(c.balancer.float64() * float64(backoff))
	if wait >= r.remaining() || ctx.Err() != nil {
		return false
	}
	if len(c.balancer.available(r.pools)) <= len(r.tried) {
		// All servers were tried. A server may be reachable again over a new
		// connection.
		r.tried = make(map[string]bool)
	}
	if c.options.Budget != nil && !c.options.Budget.Retry(c.options.Clock.Now(), r.req.ClientAccount, r.pools[0]) {
		return false
	}
	return c.sleep(ctx, wait)
}

// recordRetry counts a retry and adds it to the decision log.
func (r *repeatableRun) recordRetry(cause string) {
	c := r.caller
	c.metrics.retries.WithLabelValues(cause).Inc()
	c.options.Decisions.Record(decision.Decision{
		Time:      c.options.Clock.Now(),
		Kind:      decision.KindRetry,
		RequestID: r.req.ID,
		Reason:    "attempt " + cause,
	})
}

// problem returns the problem for a call that failed with err.
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

// quarantinedProblem returns the problem for a call that has crashed servers.
func (r *repeatableRun) quarantinedProblem() *api.Problem {
	const detail = "the call crashed the servers that ran it"
	if !r.mayHaveRun {
		return api.NewNotRunProblem(api.ProblemQuarantined, http.StatusUnprocessableEntity, detail)
	}
	problem := api.NewUnknownOutcomeProblem(api.ProblemQuarantined, detail)
	problem.Status = http.StatusUnprocessableEntity
	return problem
}

// isFinal reports whether no further attempt is possible after err.
func isFinal(err error) bool {
	var late *tooLateError
	var none *noServerError
	return errors.As(err, &late) || errors.As(err, &none)
}

// tooLateError reports that the caller's deadline has passed or that the caller
// has disconnected.
type tooLateError struct{}

func (e *tooLateError) Error() string { return "the caller's deadline has passed" }

// noServerError reports that no untried server is available.
type noServerError struct{}

func (e *noServerError) Error() string { return "no server of the service is available" }
