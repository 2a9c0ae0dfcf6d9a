package oncecall

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"k8s.io/klog/v2"
)

// Caller runs calls to plain services. It is safe for concurrent use.
type Caller struct {
	options       Options
	balancer      *balancer
	committer     *idempotency.Committer
	ownsCommitter bool
	metrics       *metrics
	claimBreaker  claimBreaker
	quarantine    callQuarantine

	// ctx is cancelled when Options.DrainTimeout has passed after Close.
	ctx         context.Context
	cancel      context.CancelFunc
	activeCalls sync.WaitGroup
	settler     *claimSettler

	mu      sync.Mutex
	closing bool
}

// NewCaller returns a Caller, which the user must Close.
func NewCaller(options Options) *Caller {
	options = options.withDefaults()
	c := &Caller{
		options:      options,
		balancer:     newBalancer(options.Directory, options.Random),
		committer:    options.Committer,
		metrics:      newMetrics(options.Registerer),
		claimBreaker: claimBreaker{probeInterval: options.ProbeInterval},
		quarantine:   callQuarantine{manager: options.Quarantine},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.committer == nil {
		c.ownsCommitter = true
		c.committer = idempotency.NewCommitter(idempotency.CommitterOptions{
			Store:        options.Store,
			Clock:        options.Clock,
			StoreTimeout: options.StoreTimeout,
			OnTransaction: func(commits, _ int) {
				c.metrics.commits.Observe(float64(commits))
			},
		})
	}
	if options.Leases != nil {
		c.settler = newClaimSettler(c)
	}
	return c
}

// Close refuses new calls and waits for the calls in progress. After
// Options.DrainTimeout it waits only for dispatches, which are bounded by their
// calls' timeouts. Outcomes that could not be stored by then are left to
// settlement by the daemon that holds the lease of their range.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	if c.settler != nil {
		c.settler.close()
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		c.activeCalls.Wait()
	}()
	timer := c.options.Clock.NewTimer(c.options.DrainTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C():
		klog.InfoS("drain timeout passed while once-only calls were in progress")
	}
	c.cancel()
	<-drained
	if c.ownsCommitter {
		c.committer.Close()
	}
}

// Call runs a call and returns the service's answer or an *api.Problem.
func (c *Caller) Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
	if !c.beginCall() {
		return nil, api.NewNotRunProblem(api.ProblemDraining, http.StatusServiceUnavailable, "the daemon is draining").WithRetryAfter(c.options.RetryAfter)
	}
	defer c.activeCalls.Done()
	declared, pools, ok := c.options.Configuration.Call(req.Service, req.Call)
	if !ok {
		return nil, api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no call "+req.Call+" of service "+req.Service)
	}
	var answer *api.CallAnswer
	var problem *api.Problem
	if declared.Mode == config.CallRepeatable {
		answer, problem = c.repeatable(ctx, req, declared, pools)
	} else {
		answer, problem = c.onceOnly(ctx, req, declared, pools)
	}
	c.countOutcome(declared.Mode, answer, problem)
	if problem != nil {
		return nil, problem
	}
	return answer, nil
}

// Committer returns the group committer of claims and outcomes, so that deferred
// work can share its transactions. Unless it was given in Options, Close closes
// it.
func (c *Caller) Committer() *idempotency.Committer { return c.committer }

// beginCall registers a call in progress, or returns false if the Caller is
// closing.
func (c *Caller) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.activeCalls.Add(1)
	return true
}

// countOutcome counts the outcome that is returned to the caller.
func (c *Caller) countOutcome(mode config.CallMode, answer *api.CallAnswer, problem *api.Problem) {
	if problem != nil {
		c.metrics.outcomes.WithLabelValues(string(mode), string(problem.Outcome), string(problem.Name)).Inc()
		return
	}
	c.metrics.outcomes.WithLabelValues(string(mode), string(api.OutcomeDone), "").Inc()
	if answer.Replayed {
		c.metrics.replays.Inc()
	}
}

// attempt records the choice of a server and sends one attempt to it.
func (c *Caller) attempt(ctx context.Context, mode config.CallMode, server membership.BackendServer, alternatives []decision.Alternative, call *api.CallRequest, req *service.Request) (*api.CallAnswer, error) {
	c.options.Decisions.Record(decision.Decision{
		Time:         c.options.Clock.Now(),
		Kind:         decision.KindRoute,
		RequestID:    call.ID,
		Chosen:       server.Name,
		Alternatives: alternatives,
		Reason:       "fewest outstanding calls of two, attempt " + req.AttemptID,
	})
	c.quarantine.started(call, req.AttemptID, &server)
	answer, err := c.options.Client.Call(ctx, server.Address, req)
	c.quarantine.ended(ctx, call, req.AttemptID, err)
	c.metrics.dispatches.WithLabelValues(string(mode), attemptResult(err)).Inc()
	if err != nil {
		c.balancer.reportLeaving(server, err)
		klog.InfoS("call attempt failed", "request", call.ID, "attempt", req.AttemptID,
			"server", server.Name, "result", attemptResult(err), "err", err)
	}
	return answer, err
}

// callTimeout returns the declared timeout of one attempt, or the default.
func callTimeout(declared config.Call) time.Duration {
	if declared.TimeoutSeconds <= 0 {
		return defaultCallTimeout
	}
	return time.Duration(declared.TimeoutSeconds * float64(time.Second))
}

// sleep waits for d on the configured clock. It returns false if ctx is cancelled
// first.
func (c *Caller) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := c.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
