package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/admission"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// PreemptedError is the cancellation cause of the context of a deferred request
// whose slot was given to another request. The request is resumed later.
type PreemptedError struct{ RequestID string }

func (e *PreemptedError) Error() string { return "request " + e.RequestID + " was preempted" }

const (
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.05
	// minExpectedFraction is the fraction of the mean duration that a request is
	// assumed to need at least. It is below 1 so that only requests that could
	// hardly finish in time are refused, not all that would be late at the mean
	// duration.
	minExpectedFraction = 0.5
)

// streamAdmitter implements streaming.Admission on top of the admission
// controller.
type streamAdmitter struct {
	controller *admission.Controller
	clock      clock.PassiveClock

	mu sync.Mutex
	// perToken is, by route, the moving average of the time a request occupies its
	// slot, per requested token.
	perToken map[string]time.Duration
	// prefillTime is, by route, the moving average of the time from the assignment
	// of a slot to the first token.
	prefillTime map[string]time.Duration
	// target returns the time to first token beyond which a route refuses requests,
	// or false if the route has no such target.
	target func(route string) (time.Duration, bool)
	// resource returns the admission resource of a route.
	resource func(route string) string
	// preemptions holds the cancel functions of the deferred requests in progress,
	// by request ID.
	preemptions map[string]context.CancelCauseFunc
}

func newStreamAdmitter(controller *admission.Controller, clock clock.PassiveClock, resource func(string) string, target func(string) (time.Duration, bool)) *streamAdmitter {
	return &streamAdmitter{
		controller:  controller,
		clock:       clock,
		target:      target,
		resource:    resource,
		prefillTime: make(map[string]time.Duration),
		perToken:    make(map[string]time.Duration),
		preemptions: make(map[string]context.CancelCauseFunc),
	}
}

// Acquire implements streaming.Admission.
func (a *streamAdmitter) Acquire(ctx context.Context, req *streaming.AdmissionRequest) (func(), error) {
	slot, err := a.controller.Acquire(ctx, admission.Request{
		ID:               req.RequestID,
		Resource:         a.resource(req.Route),
		ClientAccount:    req.ClientAccount,
		Priority:         req.Priority,
		Deadline:         req.Deadline,
		ExpectedDuration: a.expected(req),
		StartBy:          a.startBy(req),
		Deferred:         req.Deferred,
	})
	if err != nil {
		return nil, refusalProblem(err)
	}
	started := a.clock.Now()
	released := make(chan struct{})
	if req.Deferred {
		go a.awaitPreemption(req.RequestID, slot, released)
	}
	return func() {
		close(released)
		a.observeOccupancy(req, a.clock.Since(started))
		slot.Release()
	}, nil
}

// withPreemption returns a context that is canceled when the request is preempted,
// and a function that releases it.
func (a *streamAdmitter) withPreemption(ctx context.Context, requestID string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	a.preemptions[requestID] = cancel
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.preemptions, requestID)
		a.mu.Unlock()
		cancel(nil)
	}
}

func (a *streamAdmitter) awaitPreemption(requestID string, slot *admission.Slot, released <-chan struct{}) {
	select {
	case <-released:
	case <-slot.Preempted():
		a.mu.Lock()
		cancel := a.preemptions[requestID]
		a.mu.Unlock()
		if cancel != nil {
			cancel(&PreemptedError{RequestID: requestID})
		}
	}
}

// expected returns the shortest time for which the request is expected to occupy
// its slot.
func (a *streamAdmitter) expected(req *streaming.AdmissionRequest) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(minExpectedFraction * float64(a.perToken[req.Route]) * float64(req.MaxTokens))
}

// startBy returns the latest start time at which the request can meet the route's
// target for the first token, or zero if there is no target. It is never in the
// past, so a request that can start immediately is always admitted: without new
// observations a high average prefill time would never come down.
func (a *streamAdmitter) startBy(req *streaming.AdmissionRequest) time.Time {
	target, ok := a.target(req.Route)
	if !ok || req.Deferred {
		return time.Time{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now().Add(max(target-a.prefillTime[req.Route], 0))
}

// observeFirstToken updates the route's average time from the assignment of a slot
// to the first token.
func (a *streamAdmitter) observeFirstToken(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.prefillTime[route]
	if !ok {
		mean = took
	}
	a.prefillTime[route] = mean + time.Duration(averageWeight*float64(took-mean))
}

// observeOccupancy updates the route's average slot time per requested token.
func (a *streamAdmitter) observeOccupancy(req *streaming.AdmissionRequest, occupied time.Duration) {
	perToken := occupied / time.Duration(max(req.MaxTokens, 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.perToken[req.Route]
	if !ok {
		mean = perToken
	}
	a.perToken[req.Route] = mean + time.Duration(averageWeight*float64(perToken-mean))
}

// refusalProblem converts a refusal by the admission controller into the problem
// that is returned to the caller.
func refusalProblem(err error) error {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	name, status := api.ProblemOverloaded, http.StatusServiceUnavailable
	switch refused.Reason {
	case admission.ReasonRate, admission.ReasonInFlight, admission.ReasonQueueFull:
		name, status = api.ProblemRateLimited, http.StatusTooManyRequests
	case admission.ReasonDeadline:
		name = api.ProblemDeadlineUnmeetable
	case admission.ReasonNoCapacity:
		name = api.ProblemNoBackendServer
	}
	return api.NewNotRunProblem(name, status, string(refused.Reason)).WithRetryAfter(refused.RetryAfter)
}
