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

// authorizedChats implements gateway.ChatHandler. It checks that the account may
// use the route before it starts a stream.
type authorizedChats struct {
	catalog *catalog
	streams *streaming.Driver
}

// Chat implements gateway.ChatHandler.
func (c *authorizedChats) Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error {
	if err := c.catalog.authorizeChat(req.ClientAccount, req.Model, false); err != nil {
		return err
	}
	return asReattachError(c.streams.Chat(ctx, req, sink))
}

// Attach implements gateway.ChatHandler.
func (c *authorizedChats) Attach(ctx context.Context, account, requestID string, from int, sink api.EventSink) error {
	return asReattachError(c.streams.Attach(ctx, account, requestID, from, sink))
}

// asReattachError converts a HandedOverError into a gateway.ReattachError, so that
// the caller re-attaches to a stream that a peer continues.
func asReattachError(err error) error {
	var handedOver *streaming.HandedOverError
	if errors.As(err, &handedOver) {
		return &gateway.ReattachError{RequestID: handedOver.RequestID}
	}
	return err
}

// authorizedCalls implements gateway.CallHandler. It checks that the account may
// use the service before it calls it.
type authorizedCalls struct {
	catalog *catalog
	caller  *oncecall.Caller
}

// Call implements gateway.CallHandler.
func (c *authorizedCalls) Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
	if err := c.catalog.authorizeCall(req.ClientAccount, req.Service); err != nil {
		return nil, err
	}
	return c.caller.Call(ctx, req)
}

// authorizedDeferred implements gateway.DeferredHandler. It checks that the account
// may use the route before it accepts a deferred request.
type authorizedDeferred struct {
	catalog *catalog
	driver  *deferred.Driver
}

// Submit implements gateway.DeferredHandler.
func (r *authorizedDeferred) Submit(ctx context.Context, req *api.ChatRequest) error {
	if err := r.catalog.authorizeChat(req.ClientAccount, req.Model, true); err != nil {
		return err
	}
	return r.driver.Accept(ctx, req)
}

// Status implements gateway.DeferredHandler.
func (r *authorizedDeferred) Status(ctx context.Context, account, requestID string) (*gateway.DeferredStatus, error) {
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

// deferredProblem converts the error of a failed lookup into a problem. A lookup
// runs nothing on a BackendServer, so the outcome is not_run.
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

// preemptibleChats implements deferred.ChatResumer. The streams that it runs end early
// when their slot is given to another request.
type preemptibleChats struct {
	streams  *streaming.Driver
	admitter *streamAdmitter
}

// Resume implements deferred.ChatResumer.
func (p *preemptibleChats) Resume(ctx context.Context, req *api.ChatRequest, tokens []string, sink api.EventSink) error {
	ctx, end := p.admitter.withPreemption(ctx, req.ID)
	defer end()
	return p.streams.Resume(ctx, req, tokens, sink)
}

// rangeLeases implements deferred.Ranges with the range leases held by this daemon.
type rangeLeases struct{ manager *lease.Manager }

// Holds implements deferred.Ranges.
func (r *rangeLeases) Holds(n int) bool {
	_, held := r.manager.Held(lease.RangeName(rangeLeasePrefix, n))
	return held
}

// FencingNumber implements deferred.Ranges.
func (r *rangeLeases) FencingNumber(n int) uint64 {
	fencingNumber, _ := r.manager.Held(lease.RangeName(rangeLeasePrefix, n))
	return fencingNumber
}
