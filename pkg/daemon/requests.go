package daemon

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	"github.com/monsooncrank/monsooncrank/pkg/gateway"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// chats lets the gateway use the streams of accounts that may use the route.
type chats struct {
	catalog *catalog
	streams *streaming.Driver
}

// Chat implements gateway.Chats.
func (c *chats) Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error {
	if err := c.catalog.mayChat(req.ClientAccount, req.Model, false); err != nil {
		return err
	}
	return reattachable(c.streams.Chat(ctx, req, sink))
}

// Attach implements gateway.Chats.
func (c *chats) Attach(ctx context.Context, account, requestID string, from int, sink api.EventSink) error {
	return reattachable(c.streams.Attach(ctx, account, requestID, from, sink))
}

// reattachable tells the gateway of a stream that a peer continues.
func reattachable(err error) error {
	var handedOver *streaming.HandedOverError
	if errors.As(err, &handedOver) {
		return &gateway.ReattachError{RequestID: handedOver.RequestID}
	}
	return err
}

// calls lets the gateway use the services that an account may use.
type calls struct {
	catalog *catalog
	caller  *oncecall.Caller
}

// Call implements gateway.Calls.
func (c *calls) Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
	if err := c.catalog.mayCall(req.ClientAccount, req.Service); err != nil {
		return nil, err
	}
	return c.caller.Call(ctx, req)
}

// deferredRequests lets the gateway submit and look up deferred requests.
type deferredRequests struct {
	catalog *catalog
	driver  *deferred.Driver
}

// Submit implements gateway.Deferred.
func (r *deferredRequests) Submit(ctx context.Context, req *api.ChatRequest) error {
	if err := r.catalog.mayChat(req.ClientAccount, req.Model, true); err != nil {
		return err
	}
	return r.driver.Accept(ctx, req)
}

// Status implements gateway.Deferred.
func (r *deferredRequests) Status(ctx context.Context, account, requestID string) (*gateway.DeferredStatus, error) {
	status, err := r.driver.Get(ctx, account, requestID)
	if err != nil {
		return nil, deferredProblem(err)
	}
	answer := &gateway.DeferredStatus{Finished: status.Done, Text: status.Text(), Problem: status.Problem}
	switch {
	case status.Problem != nil:
		answer.Outcome = status.Problem.Outcome
	case status.Done:
		answer.Outcome = api.OutcomeDone
	}
	return answer, nil
}

// deferredProblem maps a failed look-up. Nothing runs for a look-up, so its
// problems are not_run.
func deferredProblem(err error) error {
	var missing *deferred.NotFoundError
	if errors.As(err, &missing) {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no such request")
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return api.NewNotRunProblem(api.ProblemStoreUnavailable, http.StatusServiceUnavailable, err.Error()).WithRetryAfter(notReadyRetryAfter)
}

// preemptibleChats runs deferred requests, which end early when their slot is
// taken for others.
type preemptibleChats struct {
	streams *streaming.Driver
	admits  *admitter
}

// Resume implements deferred.Chatter.
func (p *preemptibleChats) Resume(ctx context.Context, req *api.ChatRequest, tokens []string, sink api.EventSink) error {
	ctx, end := p.admits.preemptible(ctx, req.ID)
	defer end()
	return p.streams.Resume(ctx, req, tokens, sink)
}

// ranges tells which ranges of deferred requests this daemon holds.
type ranges struct{ manager *lease.Manager }

// Holds implements deferred.Ranges.
func (r *ranges) Holds(n int) bool {
	_, held := r.manager.Held(lease.RangeName(rangeDuty, n))
	return held
}

// Number implements deferred.Ranges.
func (r *ranges) FencingNumber(n int) uint64 {
	number, _ := r.manager.Held(lease.RangeName(rangeDuty, n))
	return number
}
