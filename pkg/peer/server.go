package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

// ServerOptions configure a Server. Zero values select the defaults.
type ServerOptions struct {
	// Address is the ip:port to listen on.
	Address string
	// TLS should require and verify the peers' certificates. If it is nil, Address
	// must be a loopback address unless PlatformEndsTLS is set.
	TLS *tls.Config
	// PlatformEndsTLS allows a listener without TLS on any address, because the
	// platform terminates TLS in front of this process.
	PlatformEndsTLS bool
	// IdleTimeout closes a connection on which no request arrives. It must be
	// longer than the callers' ping interval.
	IdleTimeout      time.Duration
	WriteTimeout     time.Duration
	HandshakeTimeout time.Duration
	// HandlerTimeout bounds the run time of a HandOver or Fetch handler; a longer
	// timeout requested by the caller is reduced to it.
	HandlerTimeout time.Duration
	MaxConnections int
	// MaxRequestsPerConnection bounds the requests of one connection that are
	// handled at the same time. Further requests are not read until one ends.
	MaxRequestsPerConnection int
	MaxFrameBytes            int
	// Intake bounds what peers make the process hold, beside others; nil means MaxConnections and
	// MaxFrameBytes alone.
	Intake *intake.Budget
}

// ListenerName is the name of the listener for peers in limits, metrics and logs.
const ListenerName = "peers"

// Defaults of ServerOptions. The frame limit has to allow a stream's prompt and
// generated tokens in one frame.
const (
	defaultIdleTimeout              = 15 * time.Second
	defaultWriteTimeout             = time.Second
	defaultHandshakeTimeout         = 2 * time.Second
	defaultHandlerTimeout           = 30 * time.Second
	defaultMaxConnections           = 1024
	defaultMaxRequestsPerConnection = 64
	defaultMaxFrameBytes            = 4 << 20
)

func (o ServerOptions) withDefaults() ServerOptions {
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&o.HandlerTimeout, defaultHandlerTimeout)
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxRequestsPerConnection, defaultMaxRequestsPerConnection)
	setDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Server accepts connections from peers and handles their calls.
type Server struct {
	options  ServerOptions
	listener net.Listener
	rpc      *rpc.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer starts a Server, which listens on o.Address until Close.
func NewServer(options ServerOptions, handlers Handlers) (*Server, error) {
	options = options.withDefaults()
	if options.TLS == nil && !options.PlatformEndsTLS && !isLoopback(options.Address) {
		return nil, &PlaintextListenerError{Address: options.Address}
	}
	listener, err := options.listen()
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", options.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{options: options, listener: listener, rpc: rpc.NewServer(), cancel: cancel, conns: map[net.Conn]struct{}{}}
	svc := &service{handlers: handlers, ctx: ctx, handlerTimeout: options.HandlerTimeout}
	if err := s.rpc.RegisterName(serviceName, svc); err != nil {
		cancel()
		listener.Close()
		return nil, errors.Trace(err)
	}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// listen opens the listener.
func (o *ServerOptions) listen() (net.Listener, error) {
	if o.Intake == nil {
		return net.Listen("tcp", o.Address)
	}
	return o.Intake.Listen(ListenerName, o.Address)
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Address returns the ip:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits for its handlers. Calling it again has no
// effect.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.cancel()
	err := s.listener.Close()
	s.wg.Wait()
	return errors.Trace(err)
}

// acceptRetry is the delay after a failed accept, for example when the process
// has no free file descriptors.
const acceptRetry = 50 * time.Millisecond

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			klog.ErrorS(err, "accepting a peer connection failed")
			time.Sleep(acceptRetry)
			continue
		}
		if !s.add(conn) {
			conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// add tracks a connection. It reports false if the server is closed or has
// MaxConnections connections.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.options.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	conn.Close()
	s.wg.Done()
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	secured := conn
	if s.options.TLS != nil {
		secure := tls.Server(conn, s.options.TLS)
		ctx, cancel := context.WithTimeout(context.Background(), s.options.HandshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			klog.InfoS("TLS handshake with a peer failed", "remote", conn.RemoteAddr().String(), "err", err)
			return
		}
		secured = secure
	}
	var held *intake.Request
	if counted, ok := conn.(*intake.Conn); ok {
		held = counted.Messages()
	}
	s.rpc.ServeCodec(&serverCodec{
		frameConn: frameConn{held: held, conn: secured, maxBytes: s.options.MaxFrameBytes, readTimeout: s.options.IdleTimeout,
			writeTimeout: s.options.WriteTimeout, lastRead: new(atomic.Int64)},
		handlerSlots: make(chan struct{}, s.options.MaxRequestsPerConnection),
	})
}
