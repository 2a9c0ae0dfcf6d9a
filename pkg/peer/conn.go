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

// conn is one client connection to a peer.
type conn struct {
	address      string
	raw          net.Conn
	client       *rpc.Client
	pendingSlots chan struct{}
	// lastRead and lastUsed are the times of the last frame read and of the last
	// call, in nanoseconds since the Unix epoch.
	lastRead  atomic.Int64
	lastUsed  atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once
}

func newConn(address string, raw net.Conn, maxPending int) *conn {
	c := &conn{address: address, raw: raw, pendingSlots: make(chan struct{}, maxPending), closed: make(chan struct{})}
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastUsed.Store(now)
	return c
}

// close closes the network connection but not the rpc.Client. The client's
// reader then fails and ends all pending calls with the read error, so that
// rpc.ErrShutdown always means that a call was not sent.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		if secure, ok := c.raw.(*tls.Conn); ok {
			secure.NetConn().Close() // skips the TLS close alert, which could block on the peer
			return
		}
		c.raw.Close()
	})
}

// call sends a request and waits for its response until ctx ends. After an error
// the caller must not use reply, because a late response may still be decoded
// into it.
func (p *Pool) call(ctx context.Context, c *conn, method string, args, reply any) error {
	select {
	case c.pendingSlots <- struct{}{}:
	default:
		return &QueueFullError{Address: c.address, Limit: cap(c.pendingSlots)}
	}
	c.lastUsed.Store(time.Now().UnixNano())
	return p.exchange(ctx, c, method, args, reply, func() { <-c.pendingSlots })
}

// exchange sends a request and waits for its response until ctx ends. It calls
// release as soon as the RPC has finished, which may be after exchange returned.
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
		// HandOver and Fetch may have slow handlers, so a missing response does not
		// show that the connection is dead; the keep-alive ping detects that.
		if silent && method != methodHandOver && method != methodFetch {
			p.closeConn(c)
		}
		return &TimeoutError{Address: c.address, Method: method, After: time.Since(start), Silent: silent}
	}
}

// callError converts an error of net/rpc into one of this package's error types
// and closes the connection unless the peer's handler returned the error.
func (p *Pool) callError(c *conn, method string, err error) error {
	if err == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return &RemoteError{Code: CodeFailed, Detail: string(serverError)}
	}
	var tooLarge *FrameTooLargeError
	if errors.Is(err, rpc.ErrShutdown) || errors.As(err, &tooLarge) && tooLarge.Outgoing {
		p.closeConn(c)
		return &NotSentError{Address: c.address, Method: method, Cause: err}
	}
	p.closeConn(c)
	return &ConnectionLostError{Address: c.address, Method: method, Cause: err}
}

// keepAlive pings the connection when nothing was received, so that the read
// deadline detects a dead connection, and closes it after IdleTimeout without a
// call.
func (p *Pool) keepAlive(c *conn) {
	defer p.wg.Done()
	ticker := time.NewTicker(p.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
			if time.Since(time.Unix(0, c.lastUsed.Load())) >= p.options.IdleTimeout {
				p.closeConn(c)
				return
			}
			p.ping(c)
		}
	}
}

// ping sends a ping if nothing was received for PingInterval.
func (p *Pool) ping(c *conn) {
	if time.Since(time.Unix(0, c.lastRead.Load())) < p.options.PingInterval {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.options.ProgressTimeout)
	defer cancel()
	// A failure closes the connection, and the next call opens another. The ping
	// takes no pending slot, because it has to be sent also when slow calls have
	// taken all of them.
	_ = p.exchange(ctx, c, methodPing, &Empty{}, &Empty{}, func() {})
}
