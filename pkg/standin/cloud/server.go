package cloud

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// Server serves the API of a Cloud over HTTP.
type Server struct {
	cloud    *Cloud
	listener net.Listener
	http     *fasthttp.Server
	done     chan struct{}
}

const serverReadTimeout = time.Minute

// Serve starts a server on a loopback address that serves until Close.
func Serve(address string, c *Cloud) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{cloud: c, listener: listener, done: make(chan struct{})}
	s.http = &fasthttp.Server{Handler: s.handle, ReadTimeout: serverReadTimeout}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	<-s.done
	return errors.Trace(err)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == cloud.PathHosts && method == fasthttp.MethodPost:
		s.start(ctx)
	case path == cloud.PathHosts && method == fasthttp.MethodGet:
		hosts, err := s.cloud.List(ctx)
		reply(ctx, fasthttp.StatusOK, hosts, err)
	case path == cloud.PathNotices && method == fasthttp.MethodGet:
		notices, err := s.cloud.Notices(ctx)
		reply(ctx, fasthttp.StatusOK, notices, err)
	case strings.HasPrefix(path, cloud.PathHosts+"/") && method == fasthttp.MethodDelete:
		id, _ := url.PathUnescape(strings.TrimPrefix(path, cloud.PathHosts+"/"))
		reply(ctx, fasthttp.StatusNoContent, nil, s.cloud.Stop(ctx, id))
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (s *Server) start(ctx *fasthttp.RequestCtx) {
	var req cloud.StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	host, err := s.cloud.Start(ctx, req)
	reply(ctx, fasthttp.StatusCreated, host, err)
}

// reply writes the body, or the HTTP status of an API error.
func reply(ctx *fasthttp.RequestCtx, status int, body any, err error) {
	var refused *cloud.CapacityRefusedError
	var limited *cloud.RateLimitedError
	var missing *cloud.NotFoundError
	var ambiguous *cloud.AmbiguousError
	switch {
	case errors.As(err, &refused):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case errors.As(err, &limited):
		ctx.Error(err.Error(), fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(limited.RetryAfter/time.Second)))
	case errors.As(err, &missing):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case errors.As(err, &ambiguous):
		// The request was applied; closing the connection loses its answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default:
		write(ctx, status, body)
	}
}

func write(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	if body == nil {
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
