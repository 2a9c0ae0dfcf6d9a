// Package service provides an HTTP client for plain services, such as booking
// systems.
package service

import (
	"context"
	"fmt"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Request describes one attempt of a call to a service.
type Request struct {
	AttemptID      string
	IdempotencyKey string
	Path           string
	Body           []byte
	// FreshConnection makes the client open a new connection. On an idle
	// connection that the server has just closed, the call would fail with an
	// unknown outcome.
	FreshConnection bool
}

// Client calls plain services, addressed by ip:port. It never retries a request.
type Client interface {
	Call(ctx context.Context, address string, req *Request) (*api.CallAnswer, error)
	// Lookup queries path for the result of an attempt or idempotency key. It
	// returns AttemptNotFoundError if the service has no record of it.
	Lookup(ctx context.Context, address, path string, attemptID, key string) (*api.CallAnswer, error)
}

// NotSentError reports a request of which no byte can have reached the service.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("service %s not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that a service refused a request without running it.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
	// Leaving is true if the service refused because its Host is leaving the
	// fleet.
	Leaving bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s refused with status %d: %s", e.Address, e.Status, e.Reason)
}

// BrokenError reports a call that may have run but returned no usable response.
type BrokenError struct {
	Address string
	// Silent is true if the connection stayed open but no response arrived in
	// time.
	Silent bool
	Cause  error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("call to service %s broken (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// AttemptNotFoundError reports that a service has no record of an attempt. The
// request may still arrive at the service.
type AttemptNotFoundError struct {
	Address   string
	AttemptID string
}

func (e *AttemptNotFoundError) Error() string {
	return fmt.Sprintf("service %s has no record of attempt %s", e.Address, e.AttemptID)
}
