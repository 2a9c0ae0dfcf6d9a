package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

const (
	readTimeout     = 30 * time.Second
	writeTimeout    = 30 * time.Second
	idleTimeout     = 60 * time.Second
	maxHeaderBytes  = 16 << 10
	bearerScheme    = "Bearer"
	contentJSON     = "application/json"
	contentProblem  = "application/problem+json"
	contentText     = "text/plain; charset=utf-8"
	headerRevision  = "Monsooncrank-Revision"
	headerBodyHash  = "Monsooncrank-Body-Hash"
	requestsPrefix  = "/v1/requests/"
	decisionsSuffix = "/decisions"
	quarantinePath  = "/v1/quarantine"
)

// Server serves the operator API.
type Server struct {
	o Options
	// token is the SHA-256 hash of Options.Token.
	token   [sha256.Size]byte
	metrics fasthttp.RequestHandler
	server  *fasthttp.Server
}

// NewServer returns a Server. It accepts no connections before Serve is called.
func NewServer(o Options) *Server {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Intake == nil {
		o.Intake = intake.NewBudget(intake.LimitsFor(intake.Host{MemoryBytes: intake.HostMemory()}), prometheus.NewRegistry())
	}
	s := &Server{o: o, token: sha256.Sum256([]byte(o.Token))}
	if o.Metrics != nil {
		s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(o.Metrics, promhttp.HandlerOpts{}))
	}
	s.server = &fasthttp.Server{
		Handler: s.Handle, NoDefaultServerHeader: true, CloseOnShutdown: true,
		// Bodies are read by the handlers, once the token is known to be valid.
		StreamRequestBody: true, DisablePreParseMultipartForm: true, ConnState: trackIdle,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes,
	}
	return s
}

// Serve accepts connections on ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return s.server.Serve(s.o.Intake.Wrap(ListenerName, ln))
}

// ListenerName is the name of the listener for operators in limits, metrics and logs.
const ListenerName = "operators"

// trackIdle records that a connection waits for its next request.
func trackIdle(conn net.Conn, state fasthttp.ConnState) {
	if c := intake.Of(conn); c != nil && state == fasthttp.StateIdle {
		c.Idle()
	}
}

// Shutdown closes the listener and waits until all requests in progress have
// completed or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

// Handle serves one request. Only paths under /v1 require the token.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	held := s.o.Intake.BeginOn(ctx.Conn(), ctx.RemoteAddr())
	ctx.SetUserValue(heldKey{}, held)
	defer s.leaveBody(ctx, held)
	switch path := string(ctx.Path()); {
	case path == "/healthz":
		writeText(ctx, fasthttp.StatusOK, "ok\n")
	case path == "/readyz":
		s.ready(ctx)
	case path == "/metrics" && s.metrics != nil:
		s.metrics(ctx)
	case !strings.HasPrefix(path, "/v1/"):
		writeProblem(ctx, notFound("no such path"))
	case !s.authorized(ctx):
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, bearerScheme)
		writeProblem(ctx, &Problem{Type: ProblemUnauthorized, Title: "Unauthorized", Status: fasthttp.StatusUnauthorized})
	default:
		s.route(ctx, path)
	}
}

// authorized reports whether a request carries the bearer token. It compares
// hashes so that the duration reveals neither the token nor its length.
func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	scheme, token, _ := strings.Cut(header, " ")
	schemeMatches := strings.EqualFold(scheme, bearerScheme)
	tokenHash := sha256.Sum256([]byte(token))
	tokenMatches := subtle.ConstantTimeCompare(tokenHash[:], s.token[:]) == 1
	return schemeMatches && tokenMatches && s.o.Token != ""
}

// handler handles a request. An error that it returns is sent as a Problem.
type handler func(ctx context.Context, req *fasthttp.RequestCtx) error

// route calls the handler for the path and the method of a request.
func (s *Server) route(ctx *fasthttp.RequestCtx, path string) {
	handlers := s.handlers(path)
	if handlers == nil {
		writeProblem(ctx, notFound("no such path"))
		return
	}
	handle, ok := handlers[string(ctx.Method())]
	if !ok {
		writeProblem(ctx, &Problem{Type: ProblemMethodNotAllowed, Title: "Method not allowed", Status: fasthttp.StatusMethodNotAllowed})
		return
	}
	timeoutCtx, cancel := context.WithTimeout(context.Background(), s.o.Timeout)
	defer cancel()
	if err := handle(timeoutCtx, ctx); err != nil {
		writeProblem(ctx, problemOf(err))
	}
}

// handlers returns the handlers of a path by method, or nil if the path does
// not exist.
func (s *Server) handlers(path string) map[string]handler {
	switch path {
	case "/v1/configuration":
		return map[string]handler{fasthttp.MethodGet: s.getConfiguration, fasthttp.MethodPost: s.publish}
	case "/v1/configuration/history":
		return map[string]handler{fasthttp.MethodGet: s.history}
	case "/v1/status":
		return map[string]handler{fasthttp.MethodGet: s.status}
	case "/v1/drain":
		return map[string]handler{fasthttp.MethodPost: s.drain}
	case quarantinePath:
		return map[string]handler{fasthttp.MethodGet: s.listQuarantine}
	}
	if fingerprint, ok := strings.CutPrefix(path, quarantinePath+"/"); ok && fingerprint != "" {
		return map[string]handler{fasthttp.MethodDelete: s.releaseQuarantine}
	}
	if strings.HasPrefix(path, requestsPrefix) && strings.HasSuffix(path, decisionsSuffix) {
		return map[string]handler{fasthttp.MethodGet: s.decisions}
	}
	return nil
}
