package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/shutdown"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

const (
	// notReadyRetryAfter is the Retry-After value of a daemon that has no
	// configuration yet; reading it takes well under a second.
	notReadyRetryAfter = 500 * time.Millisecond
	// quarantineRetryAfter is the Retry-After value for a quarantined request;
	// by then an operator may have released it.
	quarantineRetryAfter = 5 * time.Second
	// unknownVersionRetryAfter is the Retry-After value for a stream that the caller takes
	// up and of which no daemon in reach knows the version. One may be back by then.
	unknownVersionRetryAfter = 500 * time.Millisecond
	// maxIdentifiedParts limits the parts of one prompt whose crashes are counted, as
	// callers state them.
	maxIdentifiedParts = 64
	// lowestEnginePriority is the least urgent scheduling priority at an engine.
	lowestEnginePriority = 9
	// accountPriorityWeight gives the priority of an account precedence over that
	// of a route.
	accountPriorityWeight = 3
)

// Options configure a Handler.
type Options struct {
	Codec      Codec
	Controller Controller
	Quarantine Quarantine
	Pool       *backendconn.Pool
	Metrics    *Metrics
	// Node is the name of this daemon.
	Node string
	// Intake bounds what requests and responses hold together; nil selects a default.
	Intake *intake.Budget
}

// Handler is the HTTP handler that serves callers.
type Handler struct {
	codec      Codec
	controller Controller
	quarantine Quarantine
	// recognition decides which requests the quarantine takes for the same one.
	recognition *quarantine.Recognition
	pool        *backendconn.Pool
	// forwardPool holds the connections to other daemons.
	forwardPool *backendconn.Pool
	metrics     *Metrics
	node        string
	intake      *intake.Budget
	// plan is that of a planned stop, once one is requested.
	plan atomic.Pointer[shutdown.Plan]
	// ending is done once requests in progress are ended, and end ends them.
	ending context.Context
	end    context.CancelFunc
	// durationsMu guards durations, which holds how long recent requests took.
	durationsMu sync.Mutex
	durations   shutdown.Durations
	// active is the number of requests in progress.
	active atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	ending, end := context.WithCancel(context.Background())
	if o.Intake == nil {
		o.Intake = newDefaultIntake()
	}
	return &Handler{ending: ending, end: end, codec: o.Codec, controller: o.Controller, quarantine: o.Quarantine, recognition: quarantine.NewRecognition(), pool: o.Pool,
		forwardPool: backendconn.NewPool(), metrics: o.Metrics, node: o.Node,
		intake: o.Intake}
}

// CloseExpired closes the idle connections to other daemons that are no longer reused at the
// given time.
func (h *Handler) CloseExpired(now time.Time) { h.forwardPool.CloseExpired(now) }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// exchange is one request of a caller from its arrival to the end of its
// response.
type exchange struct {
	handler *Handler
	w       *responseWriter
	*Request
	// held is what the request and its answer hold.
	held   *intake.Request
	caller context.Context
	// oldCaller is set if the caller speaks HTTP/1.0, without chunks.
	oldCaller     bool
	route         *catalog.Route
	service       string
	account       *catalog.ClientAccount
	configVersion int64
	receivedAt    time.Time
	// readyAt is when the request could be sent to a server.
	readyAt time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// cost is what the request takes from the account's usage limit.
	cost        float64
	fingerprint quarantine.Fingerprint
	// pathFingerprint is the fingerprint that leaves out the query of the target. It
	// is the same as fingerprint unless queries are told apart.
	pathFingerprint quarantine.Fingerprint
	// partFingerprints are those of the parts of the prompt that other requests may share.
	partFingerprints []quarantine.Fingerprint
	// quarantineDetail says why the request is in quarantine.
	quarantineDetail string
	// mayHaveRun is set once a server may have begun to run the request.
	mayHaveRun bool
	// startCounted is set once the request counts towards the account's usage.
	startCounted bool
	attempts     int
	// hop is set if another daemon has forwarded the request.
	hop *hop
	// sentHeader is set once the header of the response has been sent, and sentAll once all of it
	// has.
	sentHeader, sentAll bool
	// firstPartAfter is the time from the start of the last attempt to the first
	// part of its response, or negative if none has arrived.
	firstPartAfter time.Duration
	// selectedAt is when the server of the last attempt was selected, and connectedAfter the
	// time from then until the request was written, or negative if it was not.
	selectedAt     time.Time
	connectedAfter time.Duration
	// answeringRun is the start of the run that answers the last attempt, in Unix milliseconds,
	// or 0 if it was not asked.
	answeringRun int64
	// said is what the server of the last attempt says of itself.
	said Statements
	// begun is set once the caller has events of the stream, and version is the software
	// version that began it, or empty if that is not known.
	begun   bool
	version string
	// beganElsewhere is set if another daemon passed the first event on.
	beganElsewhere bool
	// lastSentEventID is the ID of the last event sent to the caller.
	lastSentEventID string
	// eventsSent is the number of events sent to the caller.
	eventsSent int
	// status and cause are logged when the request ends.
	status int
	cause  string
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{handler: h, w: &responseWriter{w, h}, caller: r.Context(), oldCaller: !r.ProtoAtLeast(1, 1), receivedAt: time.Now(), Request: h.codec.Decode(r)}
	x.held = h.intake.Begin(r.Context(), r.RemoteAddr)
	defer x.held.End()
	defer x.record()
	if problem := x.accept(r); problem != nil {
		x.refuse(r, problem)
		return
	}
	if problem := x.charge(); problem != nil {
		x.writeProblem(problem)
		return
	}
	h.controller.Arrived(x.service)
	x.readyAt = time.Now()
	x.run()
	x.end()
}

// end ends the response. Without an error of the handler, the HTTP server would complete one of which a
// part is missing.
func (x *exchange) end() {
	if !x.sentAll {
		x.closeConnection()
	}
}

// closeConnection ends a response that is not complete. A response to HTTP/1.0 without a length ends with
// its connection, so that only a reset tells that it isn't complete.
func (x *exchange) closeConnection() {
	if x.sentHeader && x.oldCaller {
		resetConnection(x.w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of a response with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.InfoS("failed to reset a connection", "err", err)
		return
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		err = lingering.SetLinger(0)
	}
	if err = errors.Join(err, conn.Close()); err != nil {
		klog.V(1).InfoS("failed to reset a connection", "err", err)
	}
}

// accept finds the route and account of a request, reads its body, and checks
// that it may run.
func (x *exchange) accept(r *http.Request) *api.Problem {
	c := x.handler.controller.Catalog()
	if c == nil {
		return api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	x.configVersion = c.Version
	if problem := x.checkHop(c.Version); problem != nil {
		return problem
	}
	if x.route = c.Route(hostname(x.Host), x.Path); x.route == nil {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no route")
	}
	if c.RequiresKeys() && !x.route.Public {
		if x.account = c.Account(x.APIKey); x.account == nil {
			return api.NewNotRunProblem(api.ProblemUnauthorized, http.StatusUnauthorized, "unknown API key")
		}
	}
	if x.account != nil {
		x.held.SetClient(x.account.Name)
	}
	if c.Limits.MaxHeaderBytes > 0 && headerBytes(r) > c.Limits.MaxHeaderBytes {
		x.dropHead(r)
		return api.NewNotRunProblem(api.ProblemTooLarge, http.StatusRequestHeaderFieldsTooLarge, "header too large")
	}
	if problem := x.countHead(r); problem != nil {
		return problem
	}
	if problem := x.readBody(r, c.Limits); problem != nil {
		return problem
	}
	x.deadline = x.receivedAt.Add(x.timeLeft())
	x.service = x.route.ServiceFor(hashFraction(x.streamID()))
	x.identify()
	x.identifyParts()
	if x.isQuarantined() {
		return x.quarantinedProblem()
	}
	return x.takeUp()
}

// streamID returns the ID by which the caller names the stream if it takes it up: that of
// the attempt which brings the first event.
func (x *exchange) streamID() string { return cmp.Or(x.ResumedID, x.ID) }

// stream returns the stream that goes on under an ID.
func (x *exchange) stream(id string) *streamversion.Stream {
	return &streamversion.Stream{ID: id, Service: x.service, Host: hostname(x.Host), Path: x.Path, Point: hashFraction(x.streamID())}
}

// isResumable reports whether the answer is a stream that the caller may take up.
func (x *exchange) isResumable() bool {
	return x.route.Kind == catalog.KindStream && x.route.Resumable
}

// takeUp finds out which version of which service has begun a stream that the caller
// takes up. Events of two versions do not fit together.
func (x *exchange) takeUp() *api.Problem {
	if x.LastEventID == "" || !x.isResumable() {
		return nil
	}
	origin, known := x.hopOrigin()
	if !known {
		origin, known = x.handler.controller.StreamOrigin(x.caller, x.ID, x.stream(x.ResumedID))
	}
	if !known || !x.route.Allows(origin.Service) {
		return api.NewNotRunProblem(api.ProblemNoBackendServer, http.StatusServiceUnavailable, "version of the stream not known").WithRetryAfter(unknownVersionRetryAfter)
	}
	x.begun, x.service, x.version = true, origin.Service, origin.Version
	return nil
}

// identify sets the fingerprints of the request.
func (x *exchange) identify() {
	x.pathFingerprint = quarantine.FingerprintOf(x.accountName()+"\x00"+x.Path, x.Body.Segments()...)
	x.fingerprint = x.pathFingerprint
	if x.hasQuery() {
		x.fingerprint = x.handler.recognition.Fingerprint(x.pathFingerprint, quarantine.FingerprintOf(x.accountName()+"\x00"+x.Target, x.Body.Segments()...))
	}
}

// identifyParts sets the fingerprints of the parts of the prompt.
func (x *exchange) identifyParts() {
	for _, part := range placement.SharedParts(x.Parts) {
		if len(x.partFingerprints) < maxIdentifiedParts {
			x.partFingerprints = append(x.partFingerprints, quarantine.PartFingerprint(part.ID))
		}
	}
}

// hasQuery reports whether the target of the request has a query.
func (x *exchange) hasQuery() bool { return strings.Contains(x.Target, "?") }

// completed records that the server has run the request to its end.
func (s *serverAttempt) completed() {
	s.handler.quarantine.Completed(s.id)
	x := s.exchange
	if x.hasQuery() {
		x.handler.recognition.Completed(x.pathFingerprint)
	}
}

// Details of problems and causes in logs of requests in quarantine.
const (
	detailCrashingRequest = "request crashed servers"
	detailCrashingPart    = "part of the prompt crashed servers"
)

// isQuarantined reports whether the request must not be sent to a server because it, or a
// part of its prompt, has crashed others.
func (x *exchange) isQuarantined() bool {
	switch {
	case x.handler.quarantine.Check(x.caller, x.fingerprint) == quarantine.VerdictRefuse:
		x.quarantineDetail = detailCrashingRequest
	case x.handler.quarantine.CheckParts(x.caller, x.partFingerprints) == quarantine.VerdictRefuse:
		x.quarantineDetail = detailCrashingPart
	default:
		return false
	}
	return true
}

func (x *exchange) quarantinedProblem() *api.Problem {
	return api.NewNotRunProblem(api.ProblemQuarantined, http.StatusServiceUnavailable, x.quarantineDetail).WithRetryAfter(quarantineRetryAfter)
}

// headerBytes returns the size of a request's target and header fields in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for key, values := range r.Header {
		for _, value := range values {
			n += len(key) + len(value) + len(": \r\n")
		}
	}
	return n
}

// hostname returns a host without its port, because routes contain no ports.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// charge takes the request's cost from the account's usage limit.
func (x *exchange) charge() *api.Problem {
	if x.account == nil {
		return nil
	}
	x.cost = x.account.DefaultRequestCost
	if x.account.CountsTokens && x.HasTokenCount {
		x.cost = float64(x.PromptTokens + x.OutputTokens)
	}
	if after, ok := x.handler.controller.Charge(x.account.Name, x.cost); !ok {
		return api.NewNotRunProblem(api.ProblemRateLimited, http.StatusTooManyRequests, "usage limit").WithRetryAfter(after)
	}
	return nil
}

// refundAndReject answers a request that was charged and has not run.
func (x *exchange) refundAndReject(problem *api.Problem) {
	if x.account != nil {
		x.handler.controller.Refund(x.account.Name, x.cost)
	}
	x.writeProblem(problem)
}

// problemBody is the body of an error response that this daemon generates
// (RFC 9457).
type problemBody struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// writeProblem sends an error response that this daemon generates.
func (x *exchange) writeProblem(p *api.Problem) {
	if x.sentHeader {
		// The response has begun, so it can only be cut.
		x.abort(p.Detail)
	}
	x.status, x.cause = p.Status, string(p.Name)+": "+p.Detail
	header := x.w.Header()
	if x.hop != nil {
		header.Set(headerForwardedOutcome, x.forwardOutcome(p))
	}
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/problem+json")
	// Marshalling strings and an integer cannot fail.
	body, _ := json.Marshal(problemBody{Type: p.URN(), Title: p.Detail, Status: p.Status, Outcome: string(p.Outcome)})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(p.Status)
	x.sentAll = true
	if _, err := x.w.Write(body); err != nil {
		klog.V(1).InfoS("caller disconnected before the error response was sent", "request", x.ID, "err", err)
	}
}

// writeUnknownOutcome answers a request that may have run.
func (x *exchange) writeUnknownOutcome(status int, detail string) {
	p := api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, detail)
	p.Status = status
	x.writeProblem(p)
}

// record logs a finished request and updates the metrics.
func (x *exchange) record() {
	x.recordDuration()
	took := time.Since(x.receivedAt)
	route, kind, timeLeft := "", "", time.Duration(0)
	if !x.deadline.IsZero() {
		timeLeft = time.Until(x.deadline)
	}
	if x.route != nil {
		route, kind = x.route.Name, x.route.Kind.String()
	}
	x.handler.metrics.requests.WithLabelValues(kind, strconv.Itoa(x.status)).Inc()
	x.handler.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	klog.InfoS("request", "request", x.ID, "fingerprint", x.fingerprint.Short(), "pathFingerprint", x.pathFingerprint.Short(), "route", route, "account", x.accountName(), "configuration", x.configVersion,
		"status", x.status, "cause", x.cause, "forwardedBy", x.forwardedBy(), "ran", x.mayHaveRun, "attempts", x.attempts, "event", x.lastSentEventID, "resumes", x.ResumedID, "resumesAfter", x.LastEventID,
		"parts", x.sharedPartIDs(), "cost", x.cost, "tookMs", took.Milliseconds(), "leftMs", timeLeft.Milliseconds())
}

// forwardedBy returns the daemon that has forwarded the request, or an empty name.
func (x *exchange) forwardedBy() string {
	if x.hop == nil {
		return ""
	}
	return x.hop.from
}

// markAnswered states to the daemon that has forwarded the request that the response is that
// of a run of a server.
func (x *exchange) markAnswered(run string) {
	if x.hop != nil {
		header := x.w.Header()
		header.Set(headerForwardedOutcome, forwardAnswered)
		header.Set(headerForwardedServer, run)
		header.Add("Connection", headerForwardedServer)
	}
}

// maxLoggedParts and maxLoggedPartLength limit the parts of a prompt in one log line and the
// characters of each, as callers choose both.
const (
	maxLoggedParts      = 8
	maxLoggedPartLength = 24
)

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may share,
// for logs.
func (x *exchange) sharedPartIDs() []string {
	parts := placement.SharedParts(x.Parts)
	ids := make([]string, min(len(parts), maxLoggedParts))
	for i := range ids {
		ids[i] = parts[i].ID[:min(len(parts[i].ID), maxLoggedPartLength)]
	}
	return ids
}

// query returns the placement query for the request. The caller's estimate
// limits the expected output to twice its value.
func (x *exchange) query(exclude []string) *placement.Query {
	output := x.OutputTokens
	if x.EstimatedOutputTokens > 0 {
		output = min(output, 2*x.EstimatedOutputTokens)
	}
	return &placement.Query{Service: x.service, Parts: x.Parts, PromptTokens: x.PromptTokens,
		OutputTokens: output, LatencyTarget: x.route.LatencyTarget, Deadline: x.deadline,
		Exclude: exclude, Forwarded: x.hop != nil, AlreadyStarted: x.mayHaveRun || x.begun, OnlyVersion: x.begun, Version: x.version,
		Resumable: x.isResumable(), Route: x.route.Name,
		Rank: enginePriority(x.rank(), placement.OrderByRank), Account: x.accountName(), Caller: xxhash.Sum64String(string(x.fingerprint))}
}

// rank returns the rank of the request by its account and its route, 0 being the highest.
func (x *exchange) rank() int {
	rank := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		rank += accountPriorityWeight * *x.account.Priority
	}
	return rank
}

// enginePriority returns the scheduling priority at an engine, from 0 (most urgent) to
// lowestEnginePriority. Short prompts have the first one to themselves where they are told
// apart: they hold up longer ones of any rank by little.
func enginePriority(rank int, order placement.PromptOrder) int {
	switch order {
	case placement.OrderFirst:
		return 0
	case placement.OrderAfterShort:
		rank++
	}
	return min(max(rank, 0), lowestEnginePriority)
}

// attemptID returns the ID under which the current attempt is recorded.
func (x *exchange) attemptID() string { return fmt.Sprintf("%s/%d", x.ID, x.attempts) }
