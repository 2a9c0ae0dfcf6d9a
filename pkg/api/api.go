// Package api holds the types that the gateway and the duties behind it share:
// requests as accepted from callers, outcomes, and problems (RFC 9457).
package api

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about whether a request ran.
type Outcome string

// The outcomes that a caller can be told.
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

// The problems that callers meet.
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

// URN returns the problem type.
func (p *Problem) URN() string { return "urn:monsooncrank:problem:" + string(p.Name) }

// NewNotRunProblem returns a problem for a request that did not run.
func NewNotRunProblem(name ProblemName, status int, detail string) *Problem {
	return &Problem{Name: name, Status: status, Detail: detail, Outcome: OutcomeNotRun}
}

// Unknown returns a problem for a request that may have run.
func NewUnknownOutcomeProblem(name ProblemName, detail string) *Problem {
	return &Problem{Name: name, Status: http.StatusBadGateway, Detail: detail, Outcome: OutcomeUnknown}
}

// After sets when the caller may come back and returns the problem.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Request is what every accepted request carries.
type Request struct {
	// ID is unique for the request and returned to the caller.
	ID string
	// ClientAccount is the name of the authenticated account.
	ClientAccount string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Revision is the configuration revision that the request runs under.
	Revision uint64
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a request to a model.
type ChatRequest struct {
	Request
	Model     string
	Messages  []Message
	MaxTokens int
	// Deferred marks a request that may wait and must arrive.
	Deferred bool
}

// TokenEvent is one token of an answer, in order and without gaps.
type TokenEvent struct {
	// Offset is the position of the token in the answer, from 0.
	Offset int
	Text   string
	// FinishReason is set on the last event, whose Text is empty.
	FinishReason string
}

// EventSink receives the events of an answer. Send returns an error when the
// caller has gone; the sender then stops.
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

// CallAnswer is a plain service's answer.
type CallAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Replayed is set when the answer was stored by an earlier call with the
	// same key.
	Replayed bool `json:"-"`
}
