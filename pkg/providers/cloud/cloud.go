// Package cloud is the client of the platform's cloud API, which starts and
// stops Hosts and announces when a Host will be reclaimed.
package cloud

import (
	"context"
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// HostState is the state of a Host as reported by the cloud API.
type HostState string

// States of a Host.
const (
	HostStarting HostState = "starting"
	HostRunning  HostState = "running"
	HostLeaving  HostState = "leaving"
)

// Host is a machine rented from the cloud, billed until it is stopped or
// reclaimed.
type Host struct {
	ID               string              `json:"id"`
	Address          string              `json:"address"`
	AvailabilityZone string              `json:"availability_zone"`
	MachineClass     string              `json:"machine_class"`
	Purchase         membership.Purchase `json:"purchase"`
	State            HostState           `json:"state"`
	// Token is the token of the StartRequest that started the Host.
	Token     string    `json:"token"`
	StartedAt time.Time `json:"started_at"`
}

// StartRequest is a request for one Host. The Token is returned with the Host,
// so that after a lost response the started Host can be found in the list.
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

// API is the cloud API. Implementations never retry a request.
type API interface {
	// Start starts a Host. It returns CapacityRefusedError, RateLimitedError
	// or UnavailableError if no Host was started, and AmbiguousError if one
	// may have been started.
	Start(ctx context.Context, req StartRequest) (Host, error)
	// Stop stops a Host. It returns NotFoundError if the Host does not exist.
	Stop(ctx context.Context, hostID string) error
	// List returns the Hosts that have not been stopped or reclaimed.
	List(ctx context.Context) ([]Host, error)
	// Notices returns the pending reclaim notices.
	Notices(ctx context.Context) ([]Notice, error)
}

// CapacityRefusedError reports that the cloud currently has no capacity for the
// requested kind of Host.
type CapacityRefusedError struct {
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
}

func (e *CapacityRefusedError) Error() string {
	return fmt.Sprintf("no capacity for %s host %s in %s", e.Purchase, e.MachineClass, e.AvailabilityZone)
}

// RateLimitedError reports a request rejected by the rate limit of the cloud
// API.
type RateLimitedError struct{ RetryAfter time.Duration }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("cloud API rate limit, retry after %v", e.RetryAfter)
}

// UnavailableError reports a request that the cloud did not apply.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("cloud API unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError reports a request that the cloud may have applied. Status is 0
// if there was no response.
type AmbiguousError struct {
	Status int
	Cause  error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("cloud API request may have been applied (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// NotFoundError reports a Host that does not exist.
type NotFoundError struct{ HostID string }

func (e *NotFoundError) Error() string { return "host " + e.HostID + " not found" }

// InvalidResponseError reports a response, or a Notice payload, that cannot be
// decoded, or an unexpected status.
type InvalidResponseError struct {
	Status int
	Cause  error
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid cloud API response (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }
