package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

const (
	headerAuthorization  = "Authorization"
	headerRequestTimeout = "Request-Timeout"

	bearerPrefix = "Bearer "

	// drainRetryAfter is the Retry-After of requests rejected during a drain.
	drainRetryAfter = time.Second
)

// exchange is one HTTP request of a caller and its response.
type exchange struct {
	server   *Server
	http     *fasthttp.RequestCtx
	endpoint string
	started  time.Time
	request  api.Request
	// held is what the request makes the process hold.
	held *intake.Request
	// ctx ends at the request's deadline, when the caller disconnects, or when
	// the server closes.
	ctx          context.Context
	cancel       context.CancelFunc
	stopWatching func()
}

// handle authenticates a request and passes it to the handler for its method
// and path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{server: s, http: ctx, started: s.options.Clock.Now(), stopWatching: func() {}, cancel: func() {}}
	x.request.ID = s.options.NewID()
	s.inFlight.Add(1)
	s.metrics.inFlight.Inc()
	x.held = s.options.Intake.BeginOn(ctx.Conn(), ctx.RemoteAddr())
	handler := s.route(x)
	if err := x.authenticate(); err != nil {
		if x.hasBody() {
			x.leaveBody()
		}
		x.fail(asProblem(err))
		return
	}
	if fields := x.http.Request.Header.Len(); fields > freeHeaderFields {
		if err := x.held.Count(int64(fields) * headerFieldBytes); err != nil {
			x.fail(x.unreadProblem(err))
			return
		}
	}
	handler(x)
}

// route returns the handler of a request and sets the endpoint name for
// metrics.
func (s *Server) route(x *exchange) func(*exchange) {
	method, path := string(x.http.Method()), string(x.http.Path())
	switch {
	case path == "/v1/chat/completions" && method == http.MethodPost:
		x.endpoint = "chat"
		return (*exchange).chat
	case path == "/v1/models" && method == http.MethodGet:
		x.endpoint = "models"
		return (*exchange).models
	case strings.HasPrefix(path, "/v1/services/") && method == http.MethodPost:
		x.endpoint = "call"
		return (*exchange).call
	case strings.HasPrefix(path, requestsPath) && method == http.MethodGet:
		if strings.HasSuffix(path, eventsSuffix) {
			x.endpoint = "events"
			return (*exchange).events
		}
		x.endpoint = "request"
		return (*exchange).status
	default:
		x.endpoint = "other"
		return (*exchange).notFound
	}
}

// authenticate sets the ClientAccount of the request from its API key, and the
// configuration revision in force. It rejects all requests while the daemon
// drains.
func (x *exchange) authenticate() error {
	x.ctx = x.server.baseCtx
	if x.server.draining.Load() {
		x.http.SetConnectionClose()
		return api.NewNotRunProblem(api.ProblemDraining, http.StatusServiceUnavailable,
			"this daemon is stopping; ask again").WithRetryAfter(drainRetryAfter)
	}
	key, ok := strings.CutPrefix(string(x.http.Request.Header.Peek(headerAuthorization)), bearerPrefix)
	if !ok {
		return api.NewNotRunProblem(api.ProblemUnauthorized, http.StatusUnauthorized, "an API key is required")
	}
	account, revision, err := x.server.options.Catalog.Authenticate(key)
	if err != nil {
		return err
	}
	x.request.ClientAccount = account
	x.held.SetClient(account)
	x.request.Revision = revision
	return nil
}

// setDeadline sets the deadline of the request from the Request-Timeout header,
// or from fallback if there is none, and starts watching for a disconnect of the
// caller.
func (x *exchange) setDeadline(fallback time.Duration) error {
	timeout := fallback
	if header := string(x.http.Request.Header.Peek(headerRequestTimeout)); header != "" {
		seconds, err := strconv.ParseFloat(header, 64)
		if err != nil || !(seconds > 0) || seconds > x.server.options.Limits.MaxTimeout.Seconds() {
			return api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest,
				"Request-Timeout must be a number of seconds above 0 and at most "+
					strconv.FormatFloat(x.server.options.Limits.MaxTimeout.Seconds(), 'f', -1, 64))
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	x.request.Deadline = x.started.Add(timeout)
	x.ctx, x.cancel = context.WithDeadline(x.server.baseCtx, x.request.Deadline)
	if conn, ok := x.http.Conn().(*watchConn); ok {
		x.stopWatching = conn.watchDisconnect(x.handleDisconnect)
	}
	return nil
}

// handleDisconnect cancels the request of a caller that has disconnected.
func (x *exchange) handleDisconnect() {
	x.server.metrics.callersGone.Inc()
	klog.V(1).InfoS("caller disconnected", "request", x.request.ID, "account", x.request.ClientAccount)
	x.cancel()
}

// complete releases the resources of the exchange and records its metrics. It
// must be called exactly once, by the goroutine that writes the last byte of the
// response.
func (x *exchange) complete(status int, outcome api.Outcome) {
	x.stopWatching()
	x.cancel()
	elapsed := x.server.options.Clock.Since(x.started)
	x.server.metrics.observeRequest(x.endpoint, status, string(outcome), elapsed)
	x.server.metrics.inFlight.Dec()
	x.server.inFlight.Done()
	klog.V(1).InfoS("request finished", "request", x.request.ID, "account", x.request.ClientAccount,
		"endpoint", x.endpoint, "status", status, "outcome", outcome, "duration", elapsed)
}

// fail sends a problem response and completes the exchange.
func (x *exchange) fail(problem *api.Problem) {
	writeProblem(x.http, problem, x.request.ID)
	if x.server.draining.Load() {
		x.http.SetConnectionClose()
	}
	x.complete(problem.Status, problem.Outcome)
}

// reply sends a JSON response and completes the exchange.
func (x *exchange) reply(status int, outcome api.Outcome, value any) {
	writeJSON(x.http, status, value)
	x.http.Response.Header.Set(headerRequestID, x.request.ID)
	x.complete(status, outcome)
}

func (x *exchange) notFound() {
	if x.hasBody() {
		x.leaveBody()
	}
	x.fail(api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no such endpoint"))
}

// models handles GET /v1/models.
func (x *exchange) models() {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	names := x.server.options.Catalog.Models(x.request.ClientAccount)
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: make([]model, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	x.reply(http.StatusOK, api.OutcomeDone, list)
}
