// Package backendconn keeps the connections to BackendServers. Unlike the
// standard library's transport it never repeats a request, tells whether any
// byte was sent, and hands out the connection itself, so that late answers to
// earlier requests can be told from the answer that is awaited.
package backendconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is a few hundred round trips; a lost first packet is sent
	// again only after a second, by when another connection has been tried.
	dialTimeout = 400 * time.Millisecond
	// readBufferBytes holds the header and most bodies of plain answers.
	readBufferBytes = 4 << 10
	// defaultIdleReuse is how long a connection is reused when the server does not
	// state its idle timeout, which then is under a second.
	defaultIdleReuse = 400 * time.Millisecond
	// idleTimeoutFraction is the part of a stated idle timeout after which a connection
	// is no longer reused, so that a request does not cross the close.
	idleTimeoutFraction = 0.6
)

// DialError reports that no connection was made, and so no byte was sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports that the connections of a server are all in use.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections to %s are in use", e.Limit, e.Address)
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set if an earlier request went over the connection.
	Reused bool

	server    string
	idleUntil time.Time
}

// Pool holds the idle connections to all servers. It is safe for concurrent
// use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*Conn
	inUse map[string]int
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*Conn), inUse: make(map[string]int)}
}

// Get returns a connection to a server, at most limit at a time.
func (p *Pool) Get(ctx context.Context, server, address string, limit int) (*Conn, error) {
	for {
		c, err := p.reserve(server, address, limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, server, address)
		}
		if c.idleAndOpen() {
			c.Reused = true
			return c, nil
		}
		p.Discard(c)
	}
}

// reserve counts one connection as in use and returns the newest idle one.
func (p *Pool) reserve(server, address string, limit int) (*Conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[server] >= limit {
		return nil, &ConnectionLimitError{Address: address, Limit: limit}
	}
	p.inUse[server]++
	idle := p.idle[server]
	if len(idle) == 0 {
		return nil, nil
	}
	c := idle[len(idle)-1]
	if now.After(c.idleUntil) {
		// The others have been idle for longer.
		for _, old := range idle {
			_ = old.Close()
		}
		delete(p.idle, server)
		return nil, nil
	}
	p.idle[server] = idle[:len(idle)-1]
	return c, nil
}

func (p *Pool) dial(ctx context.Context, server, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(server)
		return nil, &DialError{Address: address, Cause: err}
	}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBufferBytes), server: server}, nil
}

func (p *Pool) release(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[server]--
	if p.inUse[server] <= 0 {
		delete(p.inUse, server)
	}
}

// Put takes back a connection whose answer was read to its end. Stated is the
// idle timeout that the server gave, or 0.
func (p *Pool) Put(c *Conn, idleTimeout time.Duration) {
	if c.Reader.Buffered() > 0 {
		// Bytes behind the answer belong to no request.
		p.Discard(c)
		return
	}
	idle := defaultIdleReuse
	if idleTimeout > 0 {
		idle = time.Duration(idleTimeoutFraction * float64(idleTimeout))
	}
	_ = c.SetDeadline(time.Time{})
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	p.idle[c.server] = append(p.idle[c.server], c)
	p.mu.Unlock()
	p.release(c.server)
}

// Discard closes a connection that was in use.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release(c.server)
}

// Forget closes the idle connections to a server.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	idle := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Expire closes connections that are no longer reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.After(c.idleUntil) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
}

// alive reports that the server has neither closed an idle connection nor sent
// bytes on it that no request asked for.
func (c *Conn) idleAndOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
