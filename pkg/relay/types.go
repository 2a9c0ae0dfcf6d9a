// Package relay passes requests of callers on to BackendServers and their
// answers back. The request is opaque: its route, sizes and deadline stand in
// headers that a Codec reads and writes.
package relay

import (
	"net/http"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// Request is a request as the caller sent it.
type Request struct {
	// ID is the caller's name for this attempt; it is unique.
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as sent, Path the decoded path.
	Target string
	Path   string
	// Header holds the headers to pass on.
	Header http.Header
	Body   []byte
	APIKey string
	// TimeLeft is how long the caller waits; 0 means that it did not say.
	TimeLeft time.Duration
	Parts    []placement.PromptPart
	// HasTokenCount is set if the request gives its size in tokens.
	HasTokenCount bool
	PromptTokens  int
	// OutputTokens is the largest answer, EstimatedOutputTokens the caller's estimate of
	// it or 0.
	OutputTokens          int
	EstimatedOutputTokens int
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
}

// Attempt is one sending of a request to a BackendServer.
type Attempt struct {
	Server  fleet.Server
	Account string
	// TimeLeft is how long the server may work.
	TimeLeft time.Duration
	// Rank is the urgency at the server, 0 to 9; 0 is the most urgent.
	EnginePriority int
	// LastEventID is the last event that the caller has, or empty.
	LastEventID string
}

// Answer is what the headers of a BackendServer's answer say beside its status.
type ResponseInfo struct {
	// RequestID names the request that is answered; it may be empty.
	RequestID string
	// NotRun says that the server did not run the request.
	NotRun bool
	// Sealed says that the answer bears the server's seal, without which a
	// success is not to be passed on.
	Sealed bool
}

// Codec reads and writes the headers of the outside protocol.
type Codec interface {
	// Decode reads the header of a request; the body is read later.
	Decode(r *http.Request) *Request
	// BackendHeader returns the header for a BackendServer.
	BackendHeader(r *Request, a *Attempt) http.Header
	ResponseInfo(response *http.Response) ResponseInfo
}

// Desk makes the decisions about requests.
type Controller interface {
	// Catalog returns the configuration in force, or nil before there is one.
	Catalog() *catalog.Catalog
	// Charge charges the usage of an account or says when to come back.
	Charge(account string, cost float64) (retryAfter time.Duration, ok bool)
	Refund(account string, cost float64)
	Place(q *placement.Query) (placement.Decision, error)
	Started(attempt string, d *placement.Decision, q *placement.Query)
	// FirstEvent records the first part of an answer.
	FirstEvent(attempt string)
	Finished(attempt string, result placement.Result)
	// Alive records that a server sent something, SilentFor tells since when it
	// has sent nothing to this daemon.
	Alive(server string)
	SilentFor(server string) time.Duration
	Misdirected(server string)
	// Began counts a request that began to run.
	Began(account string)
	// Arrived credits the retry budget of a service, Retry spends it, and
	// CanRetry tells whether there is something to spend.
	Arrived(service string)
	SpendRetry(service string) bool
	CanRetry(service string) bool
	// ConnectionLimit is how many connections this daemon may have to a server.
	ConnectionLimit(server, service string) int
	Verdict(f quarantine.Fingerprint) quarantine.Verdict
	Crashed(f quarantine.Fingerprint, server string, advanced bool)
	Completed(f quarantine.Fingerprint)
}
