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
)

const (
	headerAuthorization  = "Authorization"
	headerRequestTimeout = "Request-Timeout"

	bearerPrefix = "Bearer "

	drainRetryAfter = time.Second
)

// exchange is one request of a caller and its answer.
type exchange struct {
	server   *Server
	http     *fasthttp.RequestCtx
	endpoint string
	started  time.Time
	request  api.Request
	// ctx ends at the deadline, when the caller goes, or when the server
	// closes.
	ctx       context.Context
	cancel    context.CancelFunc
	stopWatch func()
}

// handle dispatches a request by its method and path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{server: s, http: ctx, started: s.options.Clock.Now(), stopWatch: func() {}, cancel: func() {}}
	x.request.ID = s.options.NewID()
	s.inFlight.Add(1)
	s.metrics.inFlight.Inc()
	handler := s.route(x)
	if err := x.begin(); err != nil {
		x.fail(asProblem(err))
		return
	}
	handler(x)
}

// route chooses the handler and names the endpoint for metrics.
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

// begin authenticates the caller and refuses it while the daemon drains.
func (x *exchange) begin() error {
	x.ctx = x.server.base
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
	x.request.Revision = revision
	return nil
}

// limit sets the deadline of the request from the caller's header or fallback,
// and watches for the caller's departure.
func (x *exchange) limit(fallback time.Duration) error {
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
	x.ctx, x.cancel = context.WithDeadline(x.server.base, x.request.Deadline)
	if conn, ok := x.http.Conn().(*watchConn); ok {
		x.stopWatch = conn.watch(x.callerGone)
	}
	return nil
}

func (x *exchange) callerGone() {
	x.server.metrics.callersGone.Inc()
	klog.V(1).InfoS("caller has gone", "request", x.request.ID, "account", x.request.ClientAccount)
	x.cancel()
}

// end releases what the exchange holds and counts it. It must be called exactly
// once, by the goroutine that writes the last byte of the answer.
func (x *exchange) end(status int, outcome api.Outcome) {
	x.stopWatch()
	x.cancel()
	took := x.server.options.Clock.Since(x.started)
	x.server.metrics.finish(x.endpoint, status, string(outcome), took)
	x.server.metrics.inFlight.Dec()
	x.server.inFlight.Done()
	klog.V(1).InfoS("request finished", "request", x.request.ID, "account", x.request.ClientAccount,
		"endpoint", x.endpoint, "status", status, "outcome", outcome, "duration", took)
}

func (x *exchange) fail(problem *api.Problem) {
	writeProblem(x.http, problem, x.request.ID)
	if x.server.draining.Load() {
		x.http.SetConnectionClose()
	}
	x.end(problem.Status, problem.Outcome)
}

func (x *exchange) reply(status int, outcome api.Outcome, value any) {
	writeJSON(x.http, status, value)
	x.http.Response.Header.Set(headerRequestID, x.request.ID)
	x.end(status, outcome)
}

func (x *exchange) notFound() {
	x.fail(api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no such endpoint"))
}

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
