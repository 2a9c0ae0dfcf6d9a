// Package cloud is the client of the platform's cloud API, which starts and
// stops Hosts and announces reclaims.
package cloud

import (
	"context"
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// HostState is the state of a Host at the cloud.
type HostState string

// The states of a Host.
const (
	HostStarting HostState = "starting"
	HostRunning  HostState = "running"
	HostLeaving  HostState = "leaving"
)

// Host is a machine that is paid for.
type Host struct {
	ID               string              `json:"id"`
	Address          string              `json:"address"`
	AvailabilityZone string              `json:"availability_zone"`
	MachineClass     string              `json:"machine_class"`
	Purchase         membership.Purchase `json:"purchase"`
	State            HostState           `json:"state"`
	// Token is that of the request that started the Host.
	Token     string    `json:"token"`
	StartedAt time.Time `json:"started_at"`
}

// StartRequest asks for one Host. The Host shows the Token, so that a start
// whose answer was lost can be found in the list.
type StartRequest struct {
	AvailabilityZone string              `json:"availability_zone"`
	MachineClass     string              `json:"machine_class"`
	Purchase         membership.Purchase `json:"purchase"`
	Token            string              `json:"token"`
}

// Notice announces the reclaim of a Host.
type Notice struct {
	HostID    string    `json:"host_id"`
	ReclaimAt time.Time `json:"reclaim_at"`
}

// API is the cloud. Implementations never repeat a request on their own.
type API interface {
	// Start starts a Host. It returns CapacityRefusedError, RateLimitedError
	// or UnavailableError when none was started, and AmbiguousError when one
	// may have been.
	Start(ctx context.Context, req StartRequest) (Host, error)
	// Stop stops a Host. A Host that is not there is NotFoundError.
	Stop(ctx context.Context, hostID string) error
	List(ctx context.Context) ([]Host, error)
	// Notices returns the reclaims that are to come.
	Notices(ctx context.Context) ([]Notice, error)
}

// CapacityRefusedError reports that the cloud has no such Host to sell now.
type CapacityRefusedError struct {
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
}

func (e *CapacityRefusedError) Error() string {
	return fmt.Sprintf("no capacity for %s host %s in %s", e.Purchase, e.MachineClass, e.AvailabilityZone)
}

// RateLimitedError reports that too many requests were made.
type RateLimitedError struct{ RetryAfter time.Duration }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("cloud API rate limit, retry after %v", e.RetryAfter)
}

// UnavailableError reports a request that the cloud did not apply.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("cloud API unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError reports a request that the cloud may have applied.
type AmbiguousError struct {
	Status int
	Cause  error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("cloud API answer lost (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// NotFoundError reports a Host that does not exist.
type NotFoundError struct{ HostID string }

func (e *NotFoundError) Error() string { return "host " + e.HostID + " not found" }

// InvalidResponseError reports an answer that cannot be read.
type InvalidResponseError struct {
	Status int
	Cause  error
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid cloud API answer (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }
