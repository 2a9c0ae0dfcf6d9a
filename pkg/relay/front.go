package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

const (
	// defaultMaxBodyBytes bounds bodies where the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetry is when a caller may come back to a daemon that has no
	// configuration yet; reading it takes well under a second.
	notReadyRetry = 500 * time.Millisecond
	// quarantineRetry is when a request that crashed servers may come back; by
	// then an operator may have released it.
	quarantineRetry = 5 * time.Second
	// maxRank is the least urgent rank at an engine.
	maxRank = 9
	// accountRankWeight puts the priority of an account before that of a route.
	accountRankWeight = 3
)

// Options configure a Front.
type Options struct {
	Codec   Codec
	Desk    Desk
	Pool    *backendconn.Pool
	Metrics *Metrics
}

// Front serves callers.
type Front struct {
	codec   Codec
	desk    Desk
	pool    *backendconn.Pool
	metrics *Metrics
	// closing makes answers ask callers to reconnect, which takes them to
	// another daemon.
	closing atomic.Bool
	active  atomic.Int64
}

// NewFront returns a Front.
func NewFront(o Options) *Front {
	return &Front{codec: o.Codec, desk: o.Desk, pool: o.Pool, metrics: o.Metrics}
}

// CloseConnections makes all further answers close their connections.
func (f *Front) CloseConnections() { f.closing.Store(true) }

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// exchange is one request of a caller from its arrival to its answer.
type exchange struct {
	front *Front
	w     http.ResponseWriter
	*Request
	caller   context.Context
	route    *catalog.Route
	service  string
	account  *catalog.ClientAccount
	version  int64
	received time.Time
	// deadline is when the caller or the route's timeout ends the wait.
	deadline    time.Time
	cost        float64
	fingerprint quarantine.Fingerprint
	// ran is set once a server may have begun to run the request.
	ran      bool
	counted  bool
	attempts int
	// sentHeader is set once the answer has begun.
	sentHeader bool
	// firstAfter is the time from the sending of the last attempt to the first
	// part of its answer, or negative if none has come.
	firstAfter time.Duration
	lastEvent  string
	status     int
	cause      string
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{front: f, w: w, caller: r.Context(), received: time.Now(), Request: f.codec.Decode(r)}
	defer x.record()
	if problem := x.accept(r); problem != nil {
		x.refuse(problem)
		return
	}
	if problem := x.charge(); problem != nil {
		x.refuse(problem)
		return
	}
	f.desk.Arrived(x.service)
	x.run()
}

// accept finds the route and account of a request and reads its body.
func (x *exchange) accept(r *http.Request) *api.Problem {
	c := x.front.desk.Catalog()
	if c == nil {
		return api.NotRun(api.ProblemNotReady, http.StatusServiceUnavailable, "no configuration yet").After(notReadyRetry)
	}
	x.version = c.Version
	if x.route = c.Route(hostname(x.Host), x.Path); x.route == nil {
		return api.NotRun(api.ProblemNotFound, http.StatusNotFound, "no route")
	}
	if c.RequiresKeys() && !x.route.Public {
		if x.account = c.Account(x.APIKey); x.account == nil {
			return api.NotRun(api.ProblemUnauthorized, http.StatusUnauthorized, "unknown API key")
		}
	}
	if c.Limits.MaxHeaderBytes > 0 && headerBytes(r) > c.Limits.MaxHeaderBytes {
		return api.NotRun(api.ProblemTooLarge, http.StatusRequestHeaderFieldsTooLarge, "header too large")
	}
	if problem := x.readBody(r, c.Limits); problem != nil {
		return problem
	}
	left := x.route.Timeout
	if x.TimeLeft > 0 {
		left = min(left, x.TimeLeft)
	}
	x.deadline = x.received.Add(left)
	x.service = x.route.ServiceFor(spread(x.ID))
	x.fingerprint = quarantine.FingerprintOf(x.accountName()+"\x00"+x.Target, x.Body)
	if x.front.desk.Verdict(x.fingerprint) == quarantine.VerdictRefuse {
		return api.NotRun(api.ProblemQuarantined, http.StatusServiceUnavailable, "request crashed servers").After(quarantineRetry)
	}
	return nil
}

// headerBytes is the size of a request's header fields.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for key, values := range r.Header {
		for _, value := range values {
			n += len(key) + len(value) + len(": \r\n")
		}
	}
	return n
}

// hostname returns a host without its port; routes name no ports.
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

func (x *exchange) readBody(r *http.Request, limits catalog.Limits) *api.Problem {
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.w)
	wait := x.route.Timeout
	if x.TimeLeft > 0 {
		wait = x.TimeLeft
	}
	if err := control.SetReadDeadline(x.received.Add(wait)); err != nil {
		// The connection is closed; the read tells the same.
		klog.InfoS("body not bounded in time", "request", x.ID, "err", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if unbound := control.SetReadDeadline(time.Time{}); unbound != nil && err == nil {
		err = unbound
	}
	if err != nil {
		if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
			return api.NotRun(api.ProblemTooLarge, http.StatusRequestEntityTooLarge, "body too large")
		}
		x.w.Header().Set("Connection", "close")
		return api.NotRun(api.ProblemRequestTimeout, http.StatusRequestTimeout, "body not received")
	}
	x.Body = body
	return nil
}

// charge takes the request's cost from the account's usage limit.
func (x *exchange) charge() *api.Problem {
	if x.account == nil {
		return nil
	}
	x.cost = x.account.DefaultRequestCost
	if x.account.CountsTokens && x.StatesTokens {
		x.cost = float64(x.PromptTokens + x.OutputTokens)
	}
	if after, ok := x.front.desk.Charge(x.account.Name, x.cost); !ok {
		return api.NotRun(api.ProblemRateLimited, http.StatusTooManyRequests, "usage limit").After(after)
	}
	return nil
}

// notRun answers a request that was accepted and has not run.
func (x *exchange) notRun(problem *api.Problem) {
	if x.account != nil {
		x.front.desk.Refund(x.account.Name, x.cost)
	}
	x.refuse(problem)
}

// problemBody is the body of a failure of our own (RFC 9457).
type problemBody struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// refuse sends a failure of our own.
func (x *exchange) refuse(p *api.Problem) {
	if x.sentHeader {
		// The answer has begun, so that nothing else can be said.
		x.broken(p.Detail)
	}
	x.status, x.cause = p.Status, string(p.Name)+": "+p.Detail
	header := x.w.Header()
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/problem+json")
	// Strings and an integer always encode.
	body, _ := json.Marshal(problemBody{Type: p.URN(), Title: p.Detail, Status: p.Status, Outcome: string(p.Outcome)})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(p.Status)
	if _, err := x.w.Write(body); err != nil {
		klog.V(1).InfoS("caller left before its refusal", "request", x.ID, "err", err)
	}
}

// unknown answers a request that may have run.
func (x *exchange) unknown(status int, detail string) {
	p := api.Unknown(api.ProblemBackendFailed, detail)
	p.Status = status
	x.refuse(p)
}

// record logs and counts the outcome of a request.
func (x *exchange) record() {
	took := time.Since(x.received)
	route, kind, left := "", "", time.Duration(0)
	if !x.deadline.IsZero() {
		left = time.Until(x.deadline)
	}
	if x.route != nil {
		route, kind = x.route.Name, x.route.Kind.String()
	}
	x.front.metrics.requests.WithLabelValues(kind, strconv.Itoa(x.status)).Inc()
	x.front.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	klog.InfoS("request", "request", x.ID, "route", route, "account", x.accountName(), "configuration", x.version,
		"status", x.status, "cause", x.cause, "ran", x.ran, "attempts", x.attempts, "event", x.lastEvent,
		"tookMs", took.Milliseconds(), "leftMs", left.Milliseconds())
}

// query describes the request for placement.
func (x *exchange) query(exclude []string) *placement.Query {
	output := x.OutputTokens
	if x.OutputHint > 0 {
		output = min(output, 2*x.OutputHint)
	}
	return &placement.Query{Service: x.service, Parts: x.Parts, PromptTokens: x.PromptTokens,
		OutputTokens: output, LatencyTarget: x.route.LatencyTarget, Deadline: x.deadline,
		Exclude: exclude, AlreadyStarted: x.ran}
}

// rank is the urgency at an engine.
func (x *exchange) rank() int {
	rank := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		rank += accountRankWeight * *x.account.Priority
	}
	return min(max(rank, 0), maxRank)
}

// attemptID names one sending of a request for bookkeeping.
func (x *exchange) attemptID() string { return fmt.Sprintf("%s/%d", x.ID, x.attempts) }
