// Package operatorapi serves the operators' HTTP interface on its own address:
// the configuration, the daemon's status, decisions, drain, quarantine, metrics
// and health.
package operatorapi

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

const (
	defaultTimeout = 15 * time.Second
	// maxBodyBytes bounds a published configuration.
	maxBodyBytes = 64 << 20
	// defaultHistory is how many revisions the history lists by default.
	defaultHistory = 20
)

// Configuration publishes and reads configurations; publish.Publisher does.
type Configuration interface {
	Publish(ctx context.Context, req publish.Request) (publish.Record, error)
	Get(ctx context.Context, revision uint64) (publish.Record, []byte, error)
	History(ctx context.Context, limit int) ([]publish.Record, error)
}

// Decisions returns the decisions of a request; decision.Recorder does.
type Decisions interface {
	Explain(requestID string) []decision.Decision
}

// Drainer starts the drain of the daemon. It returns at once, and draining
// twice is the same as once.
type Drainer interface{ Drain() }

// Quarantine lists and releases quarantined requests.
type Quarantine interface {
	List(ctx context.Context) ([]QuarantineEntry, error)
	// Release returns UnknownFingerprintError when there is no such entry.
	Release(ctx context.Context, fingerprint string) error
}

// QuarantineEntry is a request that has crashed BackendServers.
type QuarantineEntry struct {
	Fingerprint   string    `json:"fingerprint"`
	ClientAccount string    `json:"client_account"`
	Crashes       int       `json:"crashes"`
	State         string    `json:"state"`
	Since         time.Time `json:"since"`
}

// Duty is the state of one duty of the daemon.
type ComponentHealth struct {
	Name    string `json:"name"`
	Healthy bool   `json:"healthy"`
	Detail  string `json:"detail,omitempty"`
}

// Status describes a daemon.
type Status struct {
	Daemon           string            `json:"daemon"`
	AvailabilityZone string            `json:"availability_zone"`
	StartedAt        time.Time         `json:"started_at"`
	Ready            bool              `json:"ready"`
	Draining         bool              `json:"draining"`
	Configuration    publish.Status    `json:"configuration"`
	Components       []ComponentHealth `json:"duties,omitempty"`
}

// Options are what a Server needs. A dependency that is nil makes its endpoints
// answer 501.
type Options struct {
	// Token is the operators' bearer token. An empty token refuses everything
	// under /v1.
	Token         string
	Configuration Configuration
	Status        func() Status
	Decisions     Decisions
	Drainer       Drainer
	Quarantine    Quarantine
	Metrics       prometheus.Gatherer
	// Ready returns nil while the daemon takes new work.
	Ready func() error
	// Timeout bounds each request.
	Timeout time.Duration
}

// PublishResponse is the answer to a publish.
type PublishResponse struct {
	Record publish.Record `json:"record"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Revisions []publish.Record `json:"revisions"`
}

// DecisionsResponse lists the decisions of a request, oldest first.
type DecisionsResponse struct {
	RequestID string              `json:"request_id"`
	Decisions []decision.Decision `json:"decisions"`
}

// QuarantineResponse lists quarantined requests.
type QuarantineResponse struct {
	Entries []QuarantineEntry `json:"entries"`
}

// DrainResponse confirms a drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
}

// Problem is a failure as application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Findings are the mistakes of a refused configuration.
	Findings []config.Finding `json:"findings,omitempty"`
	// Winner is the revision that a publish lost against.
	Winner *publish.Record `json:"winner,omitempty"`
	// PublishID is set when it is not known whether a publish took effect.
	PublishID string `json:"publish_id,omitempty"`
}

func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// The types of problems.
const (
	ProblemUnauthorized         = "urn:monsooncrank:problem:unauthorized"
	ProblemNotFound             = "urn:monsooncrank:problem:not-found"
	ProblemBadRequest           = "urn:monsooncrank:problem:bad-request"
	ProblemMethodNotAllowed     = "urn:monsooncrank:problem:method-not-allowed"
	ProblemConfigurationInvalid = "urn:monsooncrank:problem:configuration-invalid"
	ProblemConflict             = "urn:monsooncrank:problem:configuration-conflict"
	ProblemUndetermined         = "urn:monsooncrank:problem:publish-undetermined"
	ProblemUnavailable          = "urn:monsooncrank:problem:store-unavailable"
	ProblemNotImplemented       = "urn:monsooncrank:problem:not-implemented"
	ProblemInternal             = "urn:monsooncrank:problem:internal"
)

// UnknownFingerprintError reports a fingerprint that is not quarantined.
type UnknownFingerprintError struct{ Fingerprint string }

func (e *UnknownFingerprintError) Error() string {
	return "fingerprint " + e.Fingerprint + " is not quarantined"
}

// BadRequestError reports a request that the interface does not accept.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return e.Reason }
