package service

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// connection is a connection for one exchange. done returns it to its pool or
// closes it; a connection whose answer was not read to its end is closed.
type connection struct {
	net.Conn
	done func(reuse bool)
}

// acquire returns a connection, or NotSentError, since a failed dial proves
// that no byte has left.
func (c *HTTPClient) acquire(ctx context.Context, address string, fresh bool) (*connection, error) {
	if ctx.Err() != nil {
		return nil, &NotSentError{Address: address, Cause: ctx.Err()}
	}
	if fresh {
		return c.dial(ctx, address)
	}
	return c.pooled(ctx, address)
}

func (c *HTTPClient) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	return &connection{Conn: conn, done: func(bool) { _ = conn.Close() }}, nil
}

func (c *HTTPClient) pooled(ctx context.Context, address string) (*connection, error) {
	pool := c.pool(address)
	held, err := pool.AcquireConn(c.dialTimeout(ctx), false)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	return &connection{Conn: held.Conn(), done: func(reuse bool) {
		if reuse {
			pool.ReleaseConn(held)
			return
		}
		pool.CloseConn(held)
	}}, nil
}

func (c *HTTPClient) dialTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.options.DialTimeout
	}
	return min(c.options.DialTimeout, time.Until(deadline))
}

func (c *HTTPClient) pool(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool, ok := c.pools[address]; ok {
		return pool
	}
	c.dropUnusedPools()
	pool := c.newPool(address)
	c.pools[address] = pool
	return pool
}

// dropUnusedPools forgets the pools without connections; Hosts are replaced all
// the time and their addresses with them.
func (c *HTTPClient) dropUnusedPools() {
	for address, pool := range c.pools {
		if pool.ConnsCount() == 0 {
			delete(c.pools, address)
		}
	}
}

// newPool configures fasthttp's pool. Requests do not go through its Do; the
// retry settings keep retries off should one ever do.
func (c *HTTPClient) newPool(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  c.options.MaxConnsPerAddress,
		MaxIdleConnDuration:       c.options.IdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			dialer := net.Dialer{Timeout: timeout}
			return dialer.Dial("tcp", address)
		},
	}
}
