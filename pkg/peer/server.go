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
)

// ServerOptions are the settings of a Server. Zero values take the defaults.
type ServerOptions struct {
	// Address is the ip:port to listen on.
	Address string
	// TLS should require and verify the peers' certificates. Without it the
	// listener binds to loopback only.
	TLS *tls.Config
	// PlatformEndsTLS allows a listener without TLS on any address.
	PlatformEndsTLS bool
	// IdleTimeout closes a connection on which no request arrives; callers
	// ping more often.
	IdleTimeout      time.Duration
	WriteTimeout     time.Duration
	HandshakeTimeout time.Duration
	// HandlerTimeout bounds the run of a handler, whatever its caller asks for.
	HandlerTimeout time.Duration
	MaxConnections int
	// MaxRequestsPerConnection bounds the requests of one connection that are handled
	// at the same time; further ones stay unread.
	MaxRequestsPerConnection int
	MaxFrameBytes            int
}

// The defaults of connections. A frame has to hold a stream's prompt and
// tokens.
const (
	defaultIdleTimeout      = 15 * time.Second
	defaultWriteTimeout     = time.Second
	defaultHandshakeTimeout = 2 * time.Second
	defaultMaxHandler       = 30 * time.Second
	defaultMaxConnections   = 1024
	defaultMaxPerConnection = 64
	defaultMaxFrameBytes    = 4 << 20
)

func (o ServerOptions) withDefaults() ServerOptions {
	orDefault(&o.IdleTimeout, defaultIdleTimeout)
	orDefault(&o.WriteTimeout, defaultWriteTimeout)
	orDefault(&o.HandshakeTimeout, defaultHandshakeTimeout)
	orDefault(&o.HandlerTimeout, defaultMaxHandler)
	orDefault(&o.MaxConnections, defaultMaxConnections)
	orDefault(&o.MaxRequestsPerConnection, defaultMaxPerConnection)
	orDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	return o
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Server answers the calls of peers.
type Server struct {
	o        ServerOptions
	listener net.Listener
	rpc      *rpc.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer listens and serves until Close.
func NewServer(o ServerOptions, handlers Handlers) (*Server, error) {
	o = o.withDefaults()
	if o.TLS == nil && !o.PlatformEndsTLS && !isLoopback(o.Address) {
		return nil, &PlaintextListenerError{Address: o.Address}
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", o.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{o: o, listener: listener, rpc: rpc.NewServer(), cancel: cancel, conns: map[net.Conn]struct{}{}}
	svc := &service{handlers: handlers, ctx: ctx, maxHandler: o.HandlerTimeout}
	if err := s.rpc.RegisterName(serviceName, svc); err != nil {
		cancel()
		listener.Close()
		return nil, errors.Trace(err)
	}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits for its handlers. Further calls do nothing.
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

// acceptRetry is the wait after a failed accept, such as for want of file
// descriptors.
const acceptRetry = 50 * time.Millisecond

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			klog.ErrorS(err, "accept of a peer's connection failed")
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

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.o.MaxConnections {
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
	if s.o.TLS != nil {
		secure := tls.Server(conn, s.o.TLS)
		ctx, cancel := context.WithTimeout(context.Background(), s.o.HandshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			klog.InfoS("TLS handshake with a peer failed", "remote", conn.RemoteAddr().String(), "err", err)
			return
		}
		secured = secure
	}
	s.rpc.ServeCodec(&serverCodec{
		frames: frames{conn: secured, maxBytes: s.o.MaxFrameBytes, readTimeout: s.o.IdleTimeout,
			writeTimeout: s.o.WriteTimeout, lastRead: new(atomic.Int64)},
		slots: make(chan struct{}, s.o.MaxRequestsPerConnection),
	})
}
