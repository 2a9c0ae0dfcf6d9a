// Package operatorapi serves the HTTP API for operators on a separate address:
// configuration, daemon status, decisions, drain, quarantine, metrics and
// health.
package operatorapi

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

const (
	defaultTimeout = 15 * time.Second
	// maxBodyBytes bounds the size of a published configuration.
	maxBodyBytes = 64 << 20
	// defaultHistoryLimit is the default number of revisions in the history.
	defaultHistoryLimit = 20
)

// Configuration publishes and reads configurations. publish.Publisher
// implements it.
type Configuration interface {
	Publish(ctx context.Context, req publish.Request) (publish.Record, error)
	Get(ctx context.Context, revision uint64) (publish.Record, []byte, error)
	History(ctx context.Context, limit int) ([]publish.Record, error)
}

// Decisions returns the decisions recorded for a request. decision.Recorder
// implements it.
type Decisions interface {
	Explain(requestID string) []decision.Decision
}

// Drainer starts the drain of the daemon. Drain returns immediately and is
// idempotent.
type Drainer interface{ Drain() }

// Quarantine lists and releases quarantined requests.
type Quarantine interface {
	List(ctx context.Context) ([]QuarantineEntry, error)
	// Release releases the entry with the given fingerprint. It returns
	// UnknownFingerprintError if there is none.
	Release(ctx context.Context, fingerprint string) error
}

// QuarantineEntry is a quarantined request, which has crashed BackendServers.
type QuarantineEntry struct {
	Fingerprint   string    `json:"fingerprint"`
	ClientAccount string    `json:"client_account"`
	Crashes       int       `json:"crashes"`
	State         string    `json:"state"`
	Since         time.Time `json:"since"`
}

// ComponentHealth is the health of one component of the daemon.
type ComponentHealth struct {
	Name    string `json:"name"`
	Healthy bool   `json:"healthy"`
	Detail  string `json:"detail,omitempty"`
}

// Status is the status of a daemon.
type Status struct {
	Daemon           string            `json:"daemon"`
	AvailabilityZone string            `json:"availability_zone"`
	StartedAt        time.Time         `json:"started_at"`
	Ready            bool              `json:"ready"`
	Draining         bool              `json:"draining"`
	Configuration    publish.Status    `json:"configuration"`
	Components       []ComponentHealth `json:"duties,omitempty"`
}

// Options are the settings and dependencies of a Server. Endpoints whose
// dependency is nil respond with 501, except /metrics, which responds with 404,
// and /readyz, which reports ready.
type Options struct {
	// Intake bounds what clients make the process hold; nil selects a default.
	Intake *intake.Budget
	// Token is the bearer token of operators. If it is empty, all requests
	// under /v1 are rejected.
	Token         string
	Configuration Configuration
	Status        func() Status
	Decisions     Decisions
	Drainer       Drainer
	Quarantine    Quarantine
	Metrics       prometheus.Gatherer
	// Ready returns nil while the daemon accepts new requests, otherwise the
	// reason why it does not.
	Ready func() error
	// Timeout bounds the handling of each request under /v1.
	Timeout time.Duration
}

// PublishResponse is the response to a publish request.
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

// DrainResponse confirms that a drain has started.
type DrainResponse struct {
	Draining bool `json:"draining"`
}

// Problem is an error response of type application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Findings are the errors found in a rejected configuration.
	Findings []config.Finding `json:"findings,omitempty"`
	// Winner is the newer revision that a publish conflicted with.
	Winner *publish.Record `json:"winner,omitempty"`
	// PublishID is set if the outcome of a publish is unknown.
	PublishID string `json:"publish_id,omitempty"`
}

func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Problem types.
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

// UnknownFingerprintError reports a fingerprint without a quarantine entry.
type UnknownFingerprintError struct{ Fingerprint string }

func (e *UnknownFingerprintError) Error() string {
	return "fingerprint " + e.Fingerprint + " is not quarantined"
}

// BadRequestError reports a request with invalid parameters.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return e.Reason }
