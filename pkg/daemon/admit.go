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

// PreemptedError is the cause with which the context of a deferred request
// ends when its slot is taken for others. The request is resumed later.
type PreemptedError struct{ RequestID string }

func (e *PreemptedError) Error() string { return "request " + e.RequestID + " was preempted" }

const (
	// occupancyWeight is the weight of a new observation of the time per token.
	occupancyWeight = 0.05
	// optimism is the part of the mean time that a request is expected to
	// take at least: a refusal must be for a request that hardly could end in
	// time, not for one that is slower than the mean.
	optimism = 0.5
)

// admitter lets streams in by the admission controller.
type admitter struct {
	controller *admission.Controller
	clock      clock.PassiveClock

	mu sync.Mutex
	// perToken is the moving average of the occupancy per requested token of
	// each route.
	perToken map[string]time.Duration
	// prefill is the moving average of the time from a request's slot to its
	// first token on each route.
	prefill map[string]time.Duration
	// target returns the time to the first token beyond which a route refuses
	// requests; false for none.
	target func(route string) (time.Duration, bool)
	// resource returns the admission resource of a route.
	resource func(route string) string
	// preemptions cancel the deferred requests in progress.
	preemptions map[string]context.CancelCauseFunc
}

func newAdmitter(controller *admission.Controller, clock clock.PassiveClock, resource func(string) string, target func(string) (time.Duration, bool)) *admitter {
	return &admitter{
		controller:  controller,
		clock:       clock,
		target:      target,
		resource:    resource,
		prefill:     make(map[string]time.Duration),
		perToken:    make(map[string]time.Duration),
		preemptions: make(map[string]context.CancelCauseFunc),
	}
}

// Acquire implements streaming.Admission.
func (a *admitter) Acquire(ctx context.Context, req *streaming.AdmissionRequest) (func(), error) {
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
		a.observe(req, a.clock.Since(started))
		slot.Release()
	}, nil
}

// preemptible returns a context that ends when the request is preempted.
func (a *admitter) preemptible(ctx context.Context, requestID string) (context.Context, func()) {
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

func (a *admitter) awaitPreemption(requestID string, slot *admission.Slot, released <-chan struct{}) {
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

func (a *admitter) expected(req *streaming.AdmissionRequest) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(optimism * float64(a.perToken[req.Route]) * float64(req.MaxTokens))
}

// startBy returns the latest start that keeps the route's target for the first
// token, zero for none. It is never before the arrival: a request that can start
// at once is admitted however long prefills took, since without new observations
// the average would stay high for ever.
func (a *admitter) startBy(req *streaming.AdmissionRequest) time.Time {
	target, ok := a.target(req.Route)
	if !ok || req.Deferred {
		return time.Time{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now().Add(max(target-a.prefill[req.Route], 0))
}

// firstToken observes the time from a request's slot to its first token.
func (a *admitter) firstToken(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.prefill[route]
	if !ok {
		mean = took
	}
	a.prefill[route] = mean + time.Duration(occupancyWeight*float64(took-mean))
}

func (a *admitter) observe(req *streaming.AdmissionRequest, occupied time.Duration) {
	perToken := occupied / time.Duration(max(req.MaxTokens, 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.perToken[req.Route]
	if !ok {
		mean = perToken
	}
	a.perToken[req.Route] = mean + time.Duration(occupancyWeight*float64(perToken-mean))
}

// refusalProblem maps a refusal to what the caller is told.
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
