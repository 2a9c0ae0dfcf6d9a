// Package api defines the types that the gateway shares with the packages that
// execute its requests: accepted requests, outcomes, and problems (RFC 9457).
package api

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what is known about whether a request ran.
type Outcome string

// Outcomes that are reported to callers.
const (
	// OutcomeNotRun is reported only when no byte of the request can have
	// reached a BackendServer, or the BackendServer definitely refused it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is reported when a byte may have reached a BackendServer
	// and no answer came back.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone is reported when the request ran and its result is known.
	OutcomeDone Outcome = "done"
)

// ProblemName is the last part of a problem type URN.
type ProblemName string

// Names of the problems that are reported to callers.
const (
	ProblemBadRequest         ProblemName = "bad-request"
	ProblemUnauthorized       ProblemName = "unauthorized"
	ProblemNotFound           ProblemName = "not-found"
	ProblemRequestTimeout     ProblemName = "request-timeout"
	ProblemTooLarge           ProblemName = "too-large"
	ProblemKeyConflict        ProblemName = "idempotency-key-conflict"
	ProblemKeyInUse           ProblemName = "idempotency-key-in-use"
	ProblemKeyRequired        ProblemName = "idempotency-key-required"
	ProblemRateLimited        ProblemName = "rate-limited"
	ProblemOverloaded         ProblemName = "overloaded"
	ProblemDeadlineUnmeetable ProblemName = "deadline-unmeetable"
	ProblemDeadlineExceeded   ProblemName = "deadline-exceeded"
	ProblemNoBackendServer    ProblemName = "no-backend-server"
	ProblemBackendFailed      ProblemName = "backend-server-failed"
	ProblemQuarantined        ProblemName = "request-quarantined"
	ProblemStoreUnavailable   ProblemName = "store-unavailable"
	ProblemDraining           ProblemName = "draining"
	ProblemNotReady           ProblemName = "not-ready"
	ProblemInternal           ProblemName = "internal"
)

// Problem is a failure reported to a caller as application/problem+json.
type Problem struct {
	Name       ProblemName
	Status     int
	Detail     string
	Outcome    Outcome
	RetryAfter time.Duration
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", p.Name, p.Outcome, p.Detail)
}

// URN returns the problem type as a URN.
func (p *Problem) URN() string { return "urn:monsooncrank:problem:" + string(p.Name) }

// NewNotRunProblem returns a problem with OutcomeNotRun, for a request that did
// not run.
func NewNotRunProblem(name ProblemName, status int, detail string) *Problem {
	return &Problem{Name: name, Status: status, Detail: detail, Outcome: OutcomeNotRun}
}

// NewUnknownOutcomeProblem returns a problem with OutcomeUnknown and status 502,
// for a request that may have run.
func NewUnknownOutcomeProblem(name ProblemName, detail string) *Problem {
	return &Problem{Name: name, Status: http.StatusBadGateway, Detail: detail, Outcome: OutcomeUnknown}
}

// WithRetryAfter sets the time after which the caller may retry, and returns the
// problem.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Request holds the fields that all accepted requests have in common.
type Request struct {
	// ID is the unique ID of the request. It is returned to the caller.
	ID string
	// ClientAccount is the name of the authenticated account.
	ClientAccount string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Revision is the configuration revision that applies to the request.
	Revision uint64
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a chat completion request to a model.
type ChatRequest struct {
	Request
	Model     string
	Messages  []Message
	MaxTokens int
	// Deferred is set for a request that may run later but must not be lost.
	Deferred bool
}

// TokenEvent is one token of an answer. The events of an answer are in order and
// without gaps.
type TokenEvent struct {
	// Offset is the position of the token in the answer, from 0.
	Offset int
	Text   string
	// FinishReason is set on the last event, whose Text is empty.
	FinishReason string
}

// EventSink receives the events of an answer. Send returns an error after the
// caller has disconnected; the sender then stops.
type EventSink interface {
	Send(TokenEvent) error
}

// CallRequest is a call to a plain service.
type CallRequest struct {
	Request
	Service        string
	Call           string
	IdempotencyKey string
	Body           []byte
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Replayed is set when the answer is the stored one of an earlier call with
	// the same idempotency key.
	Replayed bool `json:"-"`
}
