package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// PoolOptions configure a Pool. Zero values select the defaults.
type PoolOptions struct {
	// TLS is the client configuration of the connections; nil means plaintext. An
	// empty ServerName is replaced by the host of the address.
	TLS         *tls.Config
	DialTimeout time.Duration
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout  time.Duration
	WriteTimeout time.Duration
	// PingInterval is how long nothing may be received on a connection before it
	// is pinged.
	PingInterval time.Duration
	// ProgressTimeout is the read timeout. It closes a connection on which nothing
	// is received although it is pinged every PingInterval.
	ProgressTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a call.
	IdleTimeout    time.Duration
	MaxConnections int
	// MaxPending bounds the pending calls of one connection.
	MaxPending    int
	MaxFrameBytes int
}

// Defaults of PoolOptions. The timeouts of dials and calls are short, because a
// failed heartbeat, the ping on a new connection and the repeated heartbeat have
// to end within a few heartbeat intervals.
const (
	defaultDialTimeout     = 500 * time.Millisecond
	defaultCallTimeout     = 500 * time.Millisecond
	defaultPingInterval    = 2 * time.Second
	defaultProgressTimeout = 5 * time.Second
	defaultPoolIdleTimeout = 30 * time.Second
	defaultMaxPending      = 64
	defaultPoolConnections = 256
)

func (o PoolOptions) withDefaults() PoolOptions {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.PingInterval, defaultPingInterval)
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.IdleTimeout, defaultPoolIdleTimeout)
	setDefault(&o.MaxConnections, defaultPoolConnections)
	setDefault(&o.MaxPending, defaultMaxPending)
	setDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	return o
}

// Pool holds at most one connection to each peer and sends calls over it. It
// never retries a call.
type Pool struct {
	options PoolOptions
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*entry
	closed  bool
}

// entry is an open connection or one that is being opened. conn and err are set
// before ready is closed.
type entry struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a Pool without connections.
func NewPool(options PoolOptions) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{options: options.withDefaults(), ctx: ctx, cancel: cancel, entries: map[string]*entry{}}
}

// Close closes all connections and waits until all calls have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	entries := p.entries
	p.entries = map[string]*entry{}
	p.mu.Unlock()
	p.cancel()
	for _, e := range entries {
		<-e.ready
		if e.conn != nil {
			e.conn.close()
		}
	}
	p.wg.Wait()
}

// Connections returns the number of connections, including those being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Heartbeat exchanges heartbeats with the daemon at address.
func (p *Pool) Heartbeat(ctx context.Context, address string, m *membership.Message) (*membership.Message, error) {
	reply := &membership.Message{}
	if err := p.do(ctx, address, methodHeartbeat, m, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Announce sends an urgent message to the daemon at address.
func (p *Pool) Announce(ctx context.Context, address string, m *membership.Message) error {
	return p.do(ctx, address, methodAnnounce, m, &Empty{})
}

// HandOver hands a stream over to the daemon at address. After NotSentError or
// QueueFullError the peer has not received it; after TimeoutError or
// ConnectionLostError it may have.
func (p *Pool) HandOver(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodHandOver, payload)
}

// Fetch gets a stream from the daemon at address.
func (p *Pool) Fetch(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodFetch, payload)
}

// Streams sends records of streams to the daemon at address, or asks for them.
func (p *Pool) Streams(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodStreams, payload)
}

// Grant asks the daemon at address to charge a request to the usage limit of its account.
func (p *Pool) Grant(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodGrant, payload)
}

// payload sends a payload together with the time that remains until the
// deadline, and returns the payload of the reply.
func (p *Pool) payload(ctx context.Context, address, method string, payload []byte) ([]byte, error) {
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	args := &PayloadArgs{Payload: payload, TimeoutMillis: max(time.Until(deadline).Milliseconds(), 1)}
	reply := &PayloadReply{}
	if err := p.do(ctx, address, method, args, reply); err != nil {
		return nil, err
	}
	return reply.result()
}

// PingNewConnection closes the connection to address and pings the daemon on a
// new one. A connection can fail while the daemon works, so a daemon is only
// suspected if this ping fails too.
func (p *Pool) PingNewConnection(ctx context.Context, address string) error {
	p.Disconnect(address)
	return p.do(ctx, address, methodPing, &Empty{}, &Empty{})
}

// Disconnect closes the connection to address, so that the next call opens a new
// one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	e := p.entries[address]
	p.mu.Unlock()
	if e == nil {
		return
	}
	select {
	case <-e.ready:
		if e.conn != nil {
			p.closeConn(e.conn)
		}
	default: // The connection is being opened, so it is new already.
	}
}

func (p *Pool) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.options.CallTimeout)
}

// do calls method on the connection to address.
func (p *Pool) do(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	c, err := p.connection(ctx, address, method)
	if err != nil {
		return err
	}
	return p.call(ctx, c, method, args, reply)
}

// connection returns the connection to address and waits if it is being opened.
func (p *Pool) connection(ctx context.Context, address, method string) (*conn, error) {
	e, err := p.entry(address)
	if err != nil {
		return nil, &NotSentError{Address: address, Method: method, Cause: err}
	}
	select {
	case <-e.ready:
	case <-ctx.Done():
		return nil, &NotSentError{Address: address, Method: method, Cause: ctx.Err()}
	}
	if e.err != nil {
		return nil, &NotSentError{Address: address, Method: method, Cause: e.err}
	}
	return e.conn, nil
}

// entry returns the entry of address. If there is none, it adds one and starts
// to open the connection.
func (p *Pool) entry(address string) (*entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	if e, ok := p.entries[address]; ok {
		return e, nil
	}
	if len(p.entries) >= p.options.MaxConnections {
		return nil, &TooManyConnectionsError{Limit: p.options.MaxConnections}
	}
	e := &entry{ready: make(chan struct{})}
	p.entries[address] = e
	p.wg.Add(1)
	go p.open(address, e)
	return e, nil
}

// open dials address once for all callers that wait for e.ready.
func (p *Pool) open(address string, e *entry) {
	defer p.wg.Done()
	ctx, cancel := context.WithTimeout(p.ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		e.err = err
		p.removeEntry(address, e)
		close(e.ready)
		return
	}
	c := newConn(address, raw, p.options.MaxPending)
	codec := &clientCodec{frameConn: frameConn{conn: raw, maxBytes: p.options.MaxFrameBytes, readTimeout: p.options.ProgressTimeout,
		writeTimeout: p.options.WriteTimeout, lastRead: &c.lastRead}}
	codec.onFailure = func() { p.closeConn(c) }
	c.client = rpc.NewClientWithCodec(codec)
	p.mu.Lock()
	e.conn = c
	p.mu.Unlock()
	p.wg.Add(1)
	go p.keepAlive(c)
	close(e.ready)
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || p.options.TLS == nil {
		return raw, errors.Trace(err)
	}
	config := p.options.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secure := tls.Client(raw, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	return secure, nil
}

func (p *Pool) removeEntry(address string, e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[address] == e {
		delete(p.entries, address)
	}
}

// closeConn closes a connection and removes it from the pool. The next call to
// its address opens a new one.
func (p *Pool) closeConn(c *conn) {
	p.mu.Lock()
	if e := p.entries[c.address]; e != nil && e.conn == c {
		delete(p.entries, c.address)
	}
	p.mu.Unlock()
	c.close()
}
