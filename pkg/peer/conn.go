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
)

// conn is one connection to a peer.
type conn struct {
	address string
	raw     net.Conn
	client  *rpc.Client
	slots   chan struct{}
	// lastRead and lastUsed are in nanoseconds since 1970.
	lastRead atomic.Int64
	lastUsed atomic.Int64
	closed   chan struct{}
	once     sync.Once
}

func newConn(address string, raw net.Conn, maxPending int) *conn {
	c := &conn{address: address, raw: raw, slots: make(chan struct{}, maxPending), closed: make(chan struct{})}
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastUsed.Store(now)
	return c
}

// close ends the connection. The rpc.Client is not closed itself: its reader
// fails and ends all waiting calls, and ErrShutdown then only ever means that a
// call was not sent.
func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		if secure, ok := c.raw.(*tls.Conn); ok {
			secure.NetConn().Close() // without waiting for the peer
			return
		}
		c.raw.Close()
	})
}

// call sends a request and waits for its answer until ctx ends. After an error
// the caller must not use reply, which a late answer may still fill.
func (p *Pool) call(ctx context.Context, c *conn, method string, args, reply any) error {
	select {
	case c.slots <- struct{}{}:
	default:
		return &QueueFullError{Address: c.address, Limit: cap(c.slots)}
	}
	c.lastUsed.Store(time.Now().UnixNano())
	return p.exchange(ctx, c, method, args, reply, func() { <-c.slots })
}

// exchange sends a request and waits for its answer until ctx ends. It calls
// release once no answer can come any more.
func (p *Pool) exchange(ctx context.Context, c *conn, method string, args, reply any, release func()) error {
	start := time.Now()
	done := make(chan error, 1)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		err := c.client.Call(method, args, reply)
		release()
		done <- err
	}()
	select {
	case err := <-done:
		return p.callError(c, method, err)
	case <-ctx.Done():
		silent := c.lastRead.Load() < start.UnixNano()
		// A slow handler proves no silence; the ping finds that out.
		if silent && method != methodHandOver && method != methodFetch {
			p.drop(c)
		}
		return &TimeoutError{Address: c.address, Method: method, After: time.Since(start), Silent: silent}
	}
}

func (p *Pool) callError(c *conn, method string, err error) error {
	if err == nil {
		return nil
	}
	var server rpc.ServerError
	if errors.As(err, &server) {
		return &RemoteError{Code: CodeFailed, Detail: string(server)}
	}
	var large *FrameTooLargeError
	if errors.Is(err, rpc.ErrShutdown) || errors.As(err, &large) && large.Outgoing {
		p.drop(c)
		return &NotSentError{Address: c.address, Method: method, Cause: err}
	}
	p.drop(c)
	return &ConnectionLostError{Address: c.address, Method: method, Cause: err}
}

// watch pings an idle connection, so that silence is noticed by the read
// deadline, and closes one that is not used any more.
func (p *Pool) watch(c *conn) {
	defer p.wg.Done()
	ticker := time.NewTicker(p.o.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
			if time.Since(time.Unix(0, c.lastUsed.Load())) >= p.o.IdleTimeout {
				p.drop(c)
				return
			}
			p.ping(c)
		}
	}
}

// ping asks on a connection on which nothing came for PingInterval.
func (p *Pool) ping(c *conn) {
	if time.Since(time.Unix(0, c.lastRead.Load())) < p.o.PingInterval {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.o.ProgressTimeout)
	defer cancel()
	// A failure closes the connection; the next call opens another.
	// The ping takes no slot: a connection full of slow calls is not silent.
	_ = p.exchange(ctx, c, methodPing, &Empty{}, &Empty{}, func() {})
}
