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
	options      Options
	servers      *servers
	committer    *idempotency.Committer
	ownCommitter bool
	metrics      *metrics
	gate         gate

	// ctx ends when the drain's time is over.
	ctx     context.Context
	cancel  context.CancelFunc
	flights sync.WaitGroup
	settler *settlement

	mu      sync.Mutex
	closing bool
}

// NewCaller returns a Caller; Close it.
func NewCaller(options Options) *Caller {
	options = options.withDefaults()
	c := &Caller{
		options:   options,
		servers:   newServers(options.Directory, options.Random),
		committer: options.Committer,
		metrics:   newMetrics(options.Registerer),
		gate:      gate{interval: options.ProbeInterval},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.committer == nil {
		c.ownCommitter = true
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
		c.settler = newSettlement(c)
	}
	return c
}

// Close takes no new call and waits for the calls in progress. After
// Options.DrainTimeout it waits only for dispatches, which their calls' timeouts
// bound; outcomes that could not be stored by then are left to settlement.
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
		c.flights.Wait()
	}()
	timer := c.options.Clock.NewTimer(c.options.DrainTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C():
		klog.InfoS("drain time is over with once-only calls in progress")
	}
	c.cancel()
	<-drained
	if c.ownCommitter {
		c.committer.Close()
	}
}

// Call runs a call and returns the service's answer or an *api.Problem.
func (c *Caller) Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
	if !c.enter() {
		return nil, api.NewNotRunProblem(api.ProblemDraining, http.StatusServiceUnavailable, "the daemon is draining").WithRetryAfter(c.options.RetryAfter)
	}
	defer c.flights.Done()
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
	c.count(declared.Mode, answer, problem)
	if problem != nil {
		return nil, problem
	}
	return answer, nil
}

// Committer returns the group commit of claims and outcomes, so that deferred
// work can share its transactions. It ends with Close.
func (c *Caller) Committer() *idempotency.Committer { return c.committer }

// enter counts a call in progress unless the Caller is closing.
func (c *Caller) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.flights.Add(1)
	return true
}

func (c *Caller) count(mode config.CallMode, answer *api.CallAnswer, problem *api.Problem) {
	if problem != nil {
		c.metrics.outcomes.WithLabelValues(string(mode), string(problem.Outcome), string(problem.Name)).Inc()
		return
	}
	c.metrics.outcomes.WithLabelValues(string(mode), string(api.OutcomeDone), "").Inc()
	if answer.Replayed {
		c.metrics.replays.Inc()
	}
}

// attempt sends one attempt to a server and records the choice.
func (c *Caller) attempt(ctx context.Context, mode config.CallMode, server membership.BackendServer, weighed []decision.Alternative, requestID string, req *service.Request) (*api.CallAnswer, error) {
	c.options.Decisions.Record(decision.Decision{
		Time:         c.options.Clock.Now(),
		Kind:         decision.KindRoute,
		RequestID:    requestID,
		Chosen:       server.Name,
		Alternatives: weighed,
		Reason:       "fewest outstanding calls of two, attempt " + req.AttemptID,
	})
	answer, err := c.options.Client.Call(ctx, server.Address, req)
	c.metrics.dispatches.WithLabelValues(string(mode), resultOf(err)).Inc()
	if err != nil {
		c.servers.reportLeaving(server, err)
		klog.InfoS("call attempt failed", "request", requestID, "attempt", req.AttemptID,
			"server", server.Name, "result", resultOf(err), "err", err)
	}
	return answer, err
}

// callTimeout is the declared time of one attempt.
func callTimeout(declared config.Call) time.Duration {
	if declared.TimeoutSeconds <= 0 {
		return defaultCallTimeout
	}
	return time.Duration(declared.TimeoutSeconds * float64(time.Second))
}

// sleep waits on the clock; it reports false when a context ends first.
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
