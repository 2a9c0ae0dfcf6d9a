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

// PoolOptions are the settings of a Pool. Zero values take the defaults.
type PoolOptions struct {
	// TLS secures the connections. Its ServerName is taken from the address if
	// it is empty.
	TLS         *tls.Config
	DialTimeout time.Duration
	// CallTimeout is the deadline of a call whose context has none.
	CallTimeout  time.Duration
	WriteTimeout time.Duration
	// PingInterval is how long a connection may be quiet before it is asked.
	PingInterval time.Duration
	// ProgressTimeout closes a connection on which nothing arrives, although it
	// is asked every PingInterval.
	ProgressTimeout time.Duration
	// IdleTimeout closes a connection that no call used.
	IdleTimeout    time.Duration
	MaxConnections int
	// MaxPending bounds the calls that wait on one connection.
	MaxPending    int
	MaxFrameBytes int
}

// The defaults of calls. A heartbeat that fails, the question on a new
// connection and the repeat have to end within a few heartbeat intervals.
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
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.CallTimeout, defaultCallTimeout)
	orDefault(&o.WriteTimeout, defaultWriteTimeout)
	orDefault(&o.PingInterval, defaultPingInterval)
	orDefault(&o.ProgressTimeout, defaultProgressTimeout)
	orDefault(&o.IdleTimeout, defaultPoolIdleTimeout)
	orDefault(&o.MaxConnections, defaultPoolConnections)
	orDefault(&o.MaxPending, defaultMaxPending)
	orDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	return o
}

// Pool holds the connections to peers. It never repeats a call.
type Pool struct {
	o      PoolOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*entry
	closed  bool
}

// entry is a connection or one that is being opened.
type entry struct {
	ready chan struct{}
	conn  *conn
	err   error
}

// NewPool returns a Pool without connections.
func NewPool(o PoolOptions) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{o: o.withDefaults(), ctx: ctx, cancel: cancel, entries: map[string]*entry{}}
}

// Close closes all connections and waits for the calls to end.
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

// Connections returns the number of connections.
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

// Announce sends urgent news to the daemon at address.
func (p *Pool) Announce(ctx context.Context, address string, m *membership.Message) error {
	return p.do(ctx, address, methodAnnounce, m, &Empty{})
}

// HandOver sends a stream to the daemon at address. NotSentError and
// QueueFullError say that the peer did not get it; after TimeoutError and
// ConnectionLostError it may have.
func (p *Pool) HandOver(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodHandOver, payload)
}

// Fetch asks the daemon at address for a stream.
func (p *Pool) Fetch(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return p.payload(ctx, address, methodFetch, payload)
}

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

// PingNewConnection closes the connection to address, opens a new one and asks there.
// Silence on a connection says nothing about the daemon until this fails too.
func (p *Pool) PingNewConnection(ctx context.Context, address string) error {
	p.Disconnect(address)
	return p.do(ctx, address, methodPing, &Empty{}, &Empty{})
}

// Drop closes the connection to address, so that the next call opens a new one.
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
			p.drop(e.conn)
		}
	default: // It is being opened and so is new.
	}
}

func (p *Pool) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.o.CallTimeout)
}

func (p *Pool) do(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	c, err := p.connection(ctx, address, method)
	if err != nil {
		return err
	}
	return p.call(ctx, c, method, args, reply)
}

// connection returns the open connection to address or waits for a new one.
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

func (p *Pool) entry(address string) (*entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	if e, ok := p.entries[address]; ok {
		return e, nil
	}
	if len(p.entries) >= p.o.MaxConnections {
		return nil, &TooManyConnectionsError{Limit: p.o.MaxConnections}
	}
	e := &entry{ready: make(chan struct{})}
	p.entries[address] = e
	p.wg.Add(1)
	go p.open(address, e)
	return e, nil
}

// open dials for all callers that wait for the connection.
func (p *Pool) open(address string, e *entry) {
	defer p.wg.Done()
	ctx, cancel := context.WithTimeout(p.ctx, p.o.DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		e.err = err
		p.forget(address, e)
		close(e.ready)
		return
	}
	c := newConn(address, raw, p.o.MaxPending)
	codec := &clientCodec{frames: frames{conn: raw, maxBytes: p.o.MaxFrameBytes, readTimeout: p.o.ProgressTimeout,
		writeTimeout: p.o.WriteTimeout, lastRead: &c.lastRead}}
	codec.onFailure = func() { p.drop(c) }
	c.client = rpc.NewClientWithCodec(codec)
	p.mu.Lock()
	e.conn = c
	p.mu.Unlock()
	p.wg.Add(1)
	go p.watch(c)
	close(e.ready)
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || p.o.TLS == nil {
		return raw, errors.Trace(err)
	}
	config := p.o.TLS
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

func (p *Pool) forget(address string, e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[address] == e {
		delete(p.entries, address)
	}
}

// drop closes a connection; the next call to its address opens a new one.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	if e := p.entries[c.address]; e != nil && e.conn == c {
		delete(p.entries, c.address)
	}
	p.mu.Unlock()
	c.close()
}
