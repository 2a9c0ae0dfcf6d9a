// Package relay is the reverse proxy between callers (the clients of the system)
// and BackendServers. It does not interpret request bodies: the API key, token
// counts and deadline are in headers that a Codec reads and writes.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// Request is a caller's request after its header has been decoded.
type Request struct {
	// ID is a unique identifier that the caller assigns to this attempt.
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as sent; Path is the decoded path.
	Target string
	Path   string
	// Header holds the headers to forward.
	Header http.Header
	Body   *intake.Buffer
	APIKey string
	// TimeLeft is how long the caller waits for the response, or 0 if the
	// request does not state it.
	TimeLeft time.Duration
	// Parts are the parts of the prompt, for prefix-cache placement.
	Parts []placement.PromptPart
	// HasTokenCount reports whether the request states PromptTokens and
	// OutputTokens.
	HasTokenCount bool
	PromptTokens  int
	// OutputTokens is the maximum response size in tokens;
	// EstimatedOutputTokens is the caller's estimate of the size, or 0.
	OutputTokens          int
	EstimatedOutputTokens int
	// LastEventID is the last event that the caller received, if it resumes a
	// stream, and ResumedID the ID of its attempt that brought the first event.
	LastEventID string
	ResumedID   string
}

// Attempt holds what a Codec adds to a request for one attempt at a
// BackendServer.
type Attempt struct {
	Server  fleet.Server
	Account string
	// TimeLeft is how long the server may take to respond.
	TimeLeft time.Duration
	// EnginePriority is the scheduling priority at the server, from 0 (most
	// urgent) to 9.
	EnginePriority int
	// LastEventID is the last event that the caller received, or empty.
	LastEventID string
}

// ResponseInfo is decoded from the header of a BackendServer's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to; it may
	// be empty.
	RequestID string
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Sealed is set if the response carries the server's seal. A successful
	// response without a seal must not be forwarded.
	Sealed bool
	Statements
}

// Statements is what a server says of itself in a response.
type Statements struct {
	// RequestLimit is what the response says about a request limit of the server.
	RequestLimit serverlimit.Statement
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// RetryAfter is the time for which the server wants no further request from this daemon,
	// or 0 if it has not asked for a pause.
	RetryAfter time.Duration
}

// Codec decodes and encodes the headers of the external protocol.
type Codec interface {
	// Decode decodes the header of a request; the body is read later.
	Decode(r *http.Request) *Request
	// BackendHeader returns the header of a request to a BackendServer.
	BackendHeader(r *Request, a *Attempt) http.Header
	// ForwardHeader returns the header of a request to another daemon, from which Decode
	// restores the request with the time left and the last event that its caller has.
	ForwardHeader(r *Request, timeLeft time.Duration, lastEventID string) http.Header
	// RunPath is the path at which a BackendServer describes itself, and RunStart returns
	// the start of its run from that description, if it states one.
	RunPath() string
	RunStart(description []byte) (unixMilli int64, stated bool)
	// ResponseInfo decodes the header of a BackendServer's response.
	ResponseInfo(response *http.Response) ResponseInfo
}

// Controller makes the admission, placement and retry decisions for requests
// and records their progress.
type Controller interface {
	// Catalog returns the configuration in force, or nil before there is one.
	Catalog() *catalog.Catalog
	// Charge takes a cost from the usage limit of an account. If the limit is
	// exhausted, it returns how long the caller must wait before a retry.
	Charge(account string, cost float64) (retryAfter time.Duration, ok bool)
	// Refund returns the cost of a request that did not run.
	Refund(account string, cost float64)
	// Place selects a BackendServer for a request.
	Place(q *placement.Query) (placement.Decision, error)
	// Accepts reports whether the selected server still accepts requests. It may
	// have begun to leave or asked for a pause while a connection to it was opened.
	Accepts(server *fleet.Server) bool
	// Started records the start of an attempt at the selected server.
	Started(attempt string, d *placement.Decision, q *placement.Query)
	// FirstEvent records that the first part of a response arrived.
	FirstEvent(attempt string)
	// Failed records that an attempt was answered with a server error or broke off. Excused is
	// set if that says nothing about the server's software version. Finished follows.
	Failed(attempt string, excused bool)
	// Finished records the result of an attempt.
	Finished(attempt string, result placement.Result)
	// StreamBegan records the server that began a stream, which is named by the request
	// that brought its first event: the run in the entry has sent it. It returns when the event
	// may be passed on. StreamOrigin returns the service and version that began a stream which
	// a request takes up, and false if they are not known.
	StreamBegan(stream string, server *fleet.Server)
	StreamOrigin(ctx context.Context, request string, stream *streamversion.Stream) (streamversion.Origin, bool)
	// Answered records that a server has answered a request that was sent at a time, and
	// what the answer says of the server.
	Answered(server *fleet.Server, sentAt time.Time, said Statements)
	// Said records what a server says of itself in another response, to a request that was
	// sent at a time.
	Said(server *fleet.Server, sentAt time.Time, said Statements)
	// TurnedAway records that the selected server has turned the request away for want of
	// room.
	TurnedAway(d *placement.Decision)
	// Alive records that a server sent data to this daemon; SilentFor returns
	// the time since it last did.
	Alive(server string)
	SilentFor(server string) time.Duration
	// OtherRunAnswers records that a run of a server answers which is not the one in its entry.
	OtherRunAnswers(server *fleet.Server)
	// Misdirected records that the address of a server belongs to another one.
	Misdirected(server string)
	// Connected records the result of a new connection to a server.
	Connected(server *fleet.Server, result reach.Result)
	// Reaches reports whether this daemon reaches the servers of a service, and MayReach
	// whether it may be worth trying if no other daemon does.
	Reaches(service string) bool
	MayReach(service string) bool
	// ForwardTo selects a daemon that reaches the servers of a service and is not in exclude.
	ForwardTo(service string, exclude []string) (ForwardTarget, bool)
	// ForwardToSender returns the daemon that sends the requests of all daemons to a server.
	ForwardToSender(node string) (ForwardTarget, bool)
	// AdmitForwarded reports whether this daemon takes a further forwarded request. If so,
	// release must be called at its end.
	AdmitForwarded() (release func(), ok bool)
	// Began counts a request that began to run towards the account's usage.
	Began(account string)
	// Arrived credits the retry budget of a service, SpendRetry takes one retry
	// from it, and CanRetry reports whether a retry is available.
	Arrived(service string)
	SpendRetry(service string) bool
	CanRetry(service string) bool
	// ConnectionLimit returns how many connections this daemon may have to a
	// server.
	ConnectionLimit(server, service string) int
}

// Quarantine keeps requests that crash BackendServers from running again.
// quarantine.Manager implements it.
type Quarantine interface {
	// Check returns whether a request may run.
	Check(ctx context.Context, f quarantine.Fingerprint) quarantine.Verdict
	// CheckParts returns whether a request with parts of a prompt may run.
	CheckParts(ctx context.Context, parts []quarantine.Fingerprint) quarantine.Verdict
	// Started records the start of an attempt. It is followed by one call of
	// Resolved, Completed, Abandoned or Broken.
	Started(a quarantine.Attempt)
	// Progressed records that the server has produced more of the answer than one that
	// crashes when it begins the answer.
	Progressed(attempt string)
	// Resolved records that an attempt was answered or did not run.
	Resolved(attempt string, answered bool)
	// Completed records that an attempt was answered and that its request ran to its end,
	// which clears the crashes recorded for it.
	Completed(attempt string)
	// Abandoned records that an attempt ended without an answer because its caller
	// has gone or its deadline has passed, after position events.
	Abandoned(attempt string, position int)
	// Broken handles an attempt whose server broke off or was silent, after
	// position events. It reports whether the server has crashed.
	Broken(ctx context.Context, attempt string, position int) bool
}
