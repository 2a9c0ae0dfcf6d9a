package service

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// connection is used for one request. release returns it to its pool or closes
// it. A connection whose response was not read to its end must be closed.
type connection struct {
	net.Conn
	release func(reuse bool)
}

// acquire returns a connection. Its error is a NotSentError, because no byte of
// the request can have been sent if dialing fails.
func (c *HTTPClient) acquire(ctx context.Context, address string, fresh bool) (*connection, error) {
	if ctx.Err() != nil {
		return nil, &NotSentError{Address: address, Cause: ctx.Err()}
	}
	if fresh {
		return c.dial(ctx, address)
	}
	return c.acquirePooled(ctx, address)
}

func (c *HTTPClient) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	return &connection{Conn: conn, release: func(bool) { _ = conn.Close() }}, nil
}

func (c *HTTPClient) acquirePooled(ctx context.Context, address string) (*connection, error) {
	pool := c.pool(address)
	pooledConn, err := pool.AcquireConn(c.dialTimeout(ctx), false)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	return &connection{Conn: pooledConn.Conn(), release: func(reuse bool) {
		if reuse {
			pool.ReleaseConn(pooledConn)
			return
		}
		pool.CloseConn(pooledConn)
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

// dropUnusedPools removes the pools without connections. Without it, pools would
// accumulate, because Hosts and their addresses are replaced all the time.
func (c *HTTPClient) dropUnusedPools() {
	for address, pool := range c.pools {
		if pool.ConnsCount() == 0 {
			delete(c.pools, address)
		}
	}
}

// newPool returns a fasthttp connection pool for an address. Requests do not use
// its Do method. Retries are disabled nevertheless, in case a later change does.
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
