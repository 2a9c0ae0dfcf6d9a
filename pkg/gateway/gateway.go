// Package gateway serves callers over HTTP: it authenticates, bounds and
// dispatches requests to the duties behind it, and reports every failure as
// application/problem+json with an outcome.
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
)

// Chats answers requests to models.
type ChatHandler interface {
	// Chat sends the answer to sink, in order and without gaps. Its errors are
	// *api.Problem, or others when the caller has gone.
	Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error
	// Attach sends the events of an earlier request from an offset on.
	Attach(ctx context.Context, account, requestID string, from int, sink api.EventSink) error
}

// Calls answers calls to plain services.
type CallHandler interface {
	Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error)
}

// DeferredStatus is what is known about a deferred request.
type DeferredStatus struct {
	Outcome api.Outcome
	// Finished is set once the answer or the failure is final.
	Finished bool
	Text     string
	Problem  *api.Problem
}

// Deferred keeps requests that may wait.
type DeferredHandler interface {
	// Submit returns once the request is stored and must arrive.
	Submit(ctx context.Context, req *api.ChatRequest) error
	Status(ctx context.Context, account, requestID string) (*DeferredStatus, error)
}

// Catalog answers what the configuration in force says about callers.
type Catalog interface {
	// Authenticate returns the account of an API key and the revision in
	// force, or a *api.Problem.
	Authenticate(apiKey string) (account string, revision uint64, err error)
	// ChatTimeout and CallTimeout return the default deadline of a request.
	ChatTimeout(model string, deferred bool) (time.Duration, bool)
	CallTimeout(service, call string) (time.Duration, bool)
	Models(account string) []string
}

// Limits bound what a caller can send and how long it can take.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// MaxTimeout caps the deadline that a caller can ask for.
	MaxTimeout time.Duration
	// Connections bounds the open connections of callers.
	Connections int
}

// DefaultLimits returns the limits used when the settings name none.
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

// Options are what a Server needs.
type Options struct {
	ChatHandler     ChatHandler
	CallHandler     CallHandler
	DeferredHandler DeferredHandler
	Catalog         Catalog
	Limits          Limits
	Clock           clock.WithTicker
	Registry        prometheus.Registerer
	// NewID returns a unique request ID.
	NewID func() string
}

// Server serves callers.
type Server struct {
	options  Options
	http     *fasthttp.Server
	metrics  *metrics
	draining atomic.Bool
	inFlight sync.WaitGroup
	// base is cancelled when the server is closed without waiting.
	base   context.Context
	cancel context.CancelFunc
}

// NewServer returns a Server that is not yet listening.
func NewServer(options Options) (*Server, error) {
	metrics, err := newMetrics(options.Registry)
	if err != nil {
		return nil, errors.Annotate(err, "register gateway metrics")
	}
	s := &Server{options: options, metrics: metrics}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Name:               "monsooncrank",
		Handler:            s.handle,
		MaxRequestBodySize: options.Limits.BodyBytes,
		ReadBufferSize:     options.Limits.HeaderBytes,
		ReadTimeout:        options.Limits.ReadTimeout,
		IdleTimeout:        options.Limits.IdleTimeout,
		Concurrency:        options.Limits.Connections,
		CloseOnShutdown:    true,
		ErrorHandler:       s.handleReadError,
		Logger:             httpLogger{},
	}
	return s, nil
}

// Serve accepts callers on listener until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Trace(s.http.Serve(&watchListener{Listener: listener}))
}

// StopAccepting refuses new requests as not run; requests in progress go on.
func (s *Server) StopAccepting() { s.draining.Store(true) }

// Shutdown refuses new requests and waits for those in progress, until ctx
// ends.
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
		klog.InfoS("requests outlast the drain", "error", ctx.Err())
	}
	s.cancel()
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// Close cancels requests in progress; a test uses it to stop a daemon the way
// a crash does.
func (s *Server) Close() {
	s.StopAccepting()
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		klog.V(2).InfoS("gateway shutdown", "error", err)
	}
}

// httpLogger passes the HTTP library's messages to klog.
type httpLogger struct{}

// Printf implements fasthttp.Logger.
func (httpLogger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }
