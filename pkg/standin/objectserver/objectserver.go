// Package objectserver simulates the object store for tests. It serves PUT, GET and
// DELETE of the S3 API from memory, with injectable outages.
package objectserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	contentTypeXML = "application/xml"
	bodyNoSuchKey  = "<Error><Code>NoSuchKey</Code><Message>The key does not exist.</Message></Error>"
	bodySlowDown   = "<Error><Code>SlowDown</Code><Message>Reduce your request rate.</Message></Error>"
)

// Server serves objects from memory.
type Server struct {
	http    *fasthttp.Server
	outage  atomic.Bool
	mu      sync.Mutex
	objects map[string][]byte
}

// NewServer returns an empty Server.
func NewServer() *Server {
	s := &Server{objects: make(map[string][]byte)}
	s.http = &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true, IdleTimeout: time.Minute}
	return s
}

// Serve accepts connections on listener until Close.
func (s *Server) Serve(listener net.Listener) error { return errors.Trace(s.http.Serve(listener)) }

// Close stops the server.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// SetOutage makes the server answer every request with status 503 and the S3
// error SlowDown, or ends the outage.
func (s *Server) SetOutage(outage bool) { s.outage.Store(outage) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.outage.Load() {
		writeError(ctx, http.StatusServiceUnavailable, bodySlowDown)
		return
	}
	key := string(ctx.Path())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch string(ctx.Method()) {
	case http.MethodPut:
		s.objects[key] = append([]byte(nil), ctx.PostBody()...)
	case http.MethodGet:
		body, ok := s.objects[key]
		if !ok {
			writeError(ctx, http.StatusNotFound, bodyNoSuchKey)
			return
		}
		ctx.SetBody(body)
	case http.MethodDelete:
		delete(s.objects, key)
		ctx.SetStatusCode(http.StatusNoContent)
	default:
		ctx.SetStatusCode(http.StatusMethodNotAllowed)
	}
}

func writeError(ctx *fasthttp.RequestCtx, status int, body string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeXML)
	ctx.SetBodyString(body)
}
