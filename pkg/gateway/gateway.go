// Package gateway is the HTTP front end for callers. It authenticates requests,
// sets their deadlines, dispatches them to the handlers in Options, and reports
// every failure as application/problem+json with an outcome.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

// ChatHandler serves chat completion requests to models.
type ChatHandler interface {
	// Chat sends the events of the answer to sink, in order and without gaps.
	// Its errors are *api.Problem, or of another type if the caller has
	// disconnected.
	Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error
	// Attach sends the events of an earlier request, starting at offset from.
	Attach(ctx context.Context, account, requestID string, from int, sink api.EventSink) error
}

// CallHandler serves calls to plain services.
type CallHandler interface {
	Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error)
}

// DeferredStatus is the current state of a deferred request.
type DeferredStatus struct {
	Outcome api.Outcome
	// Finished is true once the answer or the failure is final.
	Finished bool
	Text     string
	Problem  *api.Problem
}

// DeferredHandler stores requests that are processed later and reports their
// status.
type DeferredHandler interface {
	// Submit returns nil once the request is stored durably. From then on the
	// request must be processed.
	Submit(ctx context.Context, req *api.ChatRequest) error
	Status(ctx context.Context, account, requestID string) (*DeferredStatus, error)
}

// Catalog looks up API keys, models and timeouts in the configuration in force.
type Catalog interface {
	// Authenticate returns the ClientAccount of an API key and the
	// configuration revision in force. Its error is an *api.Problem.
	Authenticate(apiKey string) (account string, revision uint64, err error)
	// ChatTimeout and CallTimeout return the default timeout of a request, and
	// false if the model, service or call does not exist.
	ChatTimeout(model string, deferred bool) (time.Duration, bool)
	CallTimeout(service, call string) (time.Duration, bool)
	// Models returns the names of the models that an account may use.
	Models(account string) []string
}

// Limits bounds the size, duration and number of callers' requests.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// MaxTimeout is the longest timeout that a caller can request.
	MaxTimeout time.Duration
	// Connections is the maximum number of open caller connections.
	Connections int
}

// DefaultLimits returns the limits that apply when the settings contain none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:   1 << 20,
		HeaderBytes: 16 << 10,
		ReadTimeout: 10 * time.Second,
		IdleTimeout: 60 * time.Second,
		MaxTimeout:  10 * time.Minute,
		Connections: 16384,
	}
}

// Options holds the dependencies and limits of a Server.
type Options struct {
	ChatHandler     ChatHandler
	CallHandler     CallHandler
	DeferredHandler DeferredHandler
	Catalog         Catalog
	Limits          Limits
	Clock           clock.WithTicker
	// Intake bounds what callers make the process hold; nil selects a default.
	Intake   *intake.Budget
	Registry prometheus.Registerer
	// NewID returns a unique request ID.
	NewID func() string
}

// Server is the HTTP server for callers.
type Server struct {
	options  Options
	http     *fasthttp.Server
	metrics  *metrics
	draining atomic.Bool
	inFlight sync.WaitGroup
	// baseCtx is the parent context of all requests. Close cancels it at once,
	// Shutdown cancels it after the drain.
	baseCtx context.Context
	cancel  context.CancelFunc
}

// NewServer returns a Server that is not yet listening.
func NewServer(options Options) (*Server, error) {
	metrics, err := newMetrics(options.Registry)
	if err != nil {
		return nil, errors.Annotate(err, "register gateway metrics")
	}
	if options.Intake == nil {
		options.Intake = intake.NewBudget(intake.LimitsFor(intake.Host{MemoryBytes: intake.HostMemory()}), prometheus.NewRegistry())
	}
	s := &Server{options: options, metrics: metrics}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Name:    "monsooncrank",
		Handler: s.handle,
		// Bodies are read by the handlers, which look at the key first.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           options.Limits.BodyBytes,
		ConnState:                    trackIdle,
		ReadBufferSize:               options.Limits.HeaderBytes,
		ReadTimeout:                  options.Limits.ReadTimeout,
		IdleTimeout:                  options.Limits.IdleTimeout,
		Concurrency:                  options.Limits.Connections,
		CloseOnShutdown:              true,
		ErrorHandler:                 s.handleReadError,
		Logger:                       httpLogger{},
	}
	return s, nil
}

// Serve accepts connections on listener until Shutdown or Close is called.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Trace(s.http.Serve(&watchListener{Listener: s.options.Intake.Wrap(ListenerName, listener)}))
}

// ListenerName is the name of the listener for callers in limits, metrics and logs.
const ListenerName = "callers"

// ConnectionBytes is what fasthttp needs for an open connection: a goroutine and its buffers.
const ConnectionBytes = 40 << 10

// trackIdle records that a connection waits for its next request.
func trackIdle(conn net.Conn, state fasthttp.ConnState) {
	if c := intake.Of(conn); c != nil && state == fasthttp.StateIdle {
		c.Idle()
	}
}

// StopAccepting rejects new requests with the outcome "not run". Requests in
// progress continue.
func (s *Server) StopAccepting() { s.draining.Store(true) }

// Shutdown rejects new requests and waits until the requests in progress have
// finished or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	finished := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		klog.InfoS("drain ended with requests still in progress", "error", ctx.Err())
	}
	s.cancel()
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// Close cancels requests in progress. Tests use it to stop a daemon as abruptly
// as a crash does.
func (s *Server) Close() {
	s.StopAccepting()
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		klog.V(2).InfoS("gateway shutdown failed", "error", err)
	}
}

// httpLogger forwards fasthttp's log messages to klog.
type httpLogger struct{}

// Printf implements fasthttp.Logger.
func (httpLogger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }
