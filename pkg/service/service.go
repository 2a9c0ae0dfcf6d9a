// Package service is the client of plain services such as booking systems.
package service

import (
	"context"
	"fmt"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Request is one attempt of a call.
type Request struct {
	AttemptID      string
	IdempotencyKey string
	Path           string
	Body           []byte
	// FreshConnection asks for a new connection, so that an idle connection
	// which the server has just closed cannot make the outcome unknown.
	FreshConnection bool
}

// Client calls plain services by their addresses (ip:port). It never repeats a
// request on its own.
type Client interface {
	Call(ctx context.Context, address string, req *Request) (*api.CallAnswer, error)
	// Lookup asks at path what became of an attempt or key. It returns
	// AttemptNotFoundError when the service holds no record of it.
	Lookup(ctx context.Context, address, path string, attemptID, key string) (*api.CallAnswer, error)
}

// NotSentError reports that no byte of the request can have reached the
// service.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("service %s not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports a service's definite refusal: the request did not run.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
	// Leaving is set when the service refuses because its Host is leaving.
	Leaving bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s refused with status %d: %s", e.Address, e.Status, e.Reason)
}

// BrokenError reports a call that may have run and gave no usable answer.
type BrokenError struct {
	Address string
	// Silent is set when the connection stayed open without an answer.
	Silent bool
	Cause  error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("call to service %s broken (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// AttemptNotFoundError reports that the service has no record of an attempt.
type AttemptNotFoundError struct {
	Address   string
	AttemptID string
}

func (e *AttemptNotFoundError) Error() string {
	return fmt.Sprintf("service %s has no record of attempt %s", e.Address, e.AttemptID)
}
