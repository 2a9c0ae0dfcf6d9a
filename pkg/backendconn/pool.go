// Package backendconn pools the connections to BackendServers. Unlike the
// standard library's HTTP transport, it never repeats a request, reports whether
// any byte was sent, and returns the connection itself, so that package relay can
// distinguish late responses to earlier requests from the expected one.
package backendconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is a few hundred round trips. TCP retransmits a lost SYN only
	// after a second; by then another connection has been tried.
	dialTimeout = 400 * time.Millisecond
	// readBufferBytes is large enough for the header and most bodies of
	// non-streamed responses.
	readBufferBytes = 4 << 10
	// defaultIdleReuse is how long an idle connection is reused if the server
	// does not state its idle timeout. Such servers close idle connections in
	// under a second.
	defaultIdleReuse = 400 * time.Millisecond
	// idleTimeoutFraction is the fraction of a stated idle timeout after which a
	// connection is no longer reused, so that the server does not close it while
	// a request is being sent.
	idleTimeoutFraction = 0.6
)

// DialError reports that no connection was established, so that no byte was
// sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports that as many connections to a server are in use
// as the limit allows.
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
	// limited counts the bytes that Reader may still take from the connection.
	limited *limitedReader
	// Reused is set if the connection carried an earlier request.
	Reused bool
	// RunStartedMilli identifies the run of the server that answers on the connection, by its
	// start in Unix milliseconds; 0 if it is not known. RunBeforeMilli is the run that has
	// answered on another connection right before this one was opened, or 0.
	RunStartedMilli, RunBeforeMilli int64
	// carried holds the last requests that the connection has carried, in no order, and next the
	// place for the next one.
	carried []string
	next    int

	server string
	// idleUntil is the time after which the idle connection is not reused.
	idleUntil time.Time
}

// maxCarried is the number of requests that a connection remembers. A request that is sent again
// follows within its deadline.
const maxCarried = 64

// Carries records that the connection carries a request.
func (c *Conn) Carries(request string) {
	if len(c.carried) < maxCarried {
		c.carried = append(c.carried, request)
		return
	}
	c.carried[c.next] = request
	c.next = (c.next + 1) % maxCarried
}

// HasCarried reports whether the connection has carried a request lately: a server may answer that
// again.
func (c *Conn) HasCarried(request string) bool { return slices.Contains(c.carried, request) }

// maxHeadBytes limits the head of a response.
const maxHeadBytes = 64 << 10

// HeadTooLongError reports a response whose head has no end within maxHeadBytes.
type HeadTooLongError struct{}

func (e *HeadTooLongError) Error() string { return "head of a response is too long" }

// limitedReader reads until a number of bytes is used up.
type limitedReader struct {
	from io.Reader
	left int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &HeadTooLongError{}
	}
	n, err := l.from.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// ReadResponse reads the head of a response to a request. A server may send bytes without an
// end instead of one.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	c.limited.left = maxHeadBytes
	response, err := http.ReadResponse(c.Reader, request)
	c.limited.left = math.MaxInt64
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// MixedHeadError reports the head of a response that contains the begin of another one.
type MixedHeadError struct{ Text string }

func (e *MixedHeadError) Error() string {
	return fmt.Sprintf("head of a response contains another one: %q", e.Text)
}

// statusLine matches the begin of a head.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// StatusRangeError reports the head of a response whose status is none of HTTP.
type StatusRangeError struct{ Status int }

func (e *StatusRangeError) Error() string {
	return fmt.Sprintf("head of a response has status %03d", e.Status)
}

// minStatus and maxStatus bound the statuses of HTTP (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// checkHead returns an error if the status of a head is none of HTTP, or if a server has stopped in the
// middle of a head and has written another response after it: the status would be that of the first and
// the body that of the second.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &StatusRangeError{Status: response.StatusCode}
	}
	for _, values := range response.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return &MixedHeadError{Text: value}
			}
		}
	}
	if statusLine.MatchString(response.Status) {
		return &MixedHeadError{Text: response.Status}
	}
	return nil
}

// Pool holds the idle connections to all servers. It is safe for concurrent
// use.
type Pool struct {
	dialContext DialFunc

	mu    sync.Mutex
	idle  map[string][]*Conn
	inUse map[string]int
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP returns a function that opens TCP connections from a source address, or from the one
// that the system selects if it is nil.
func dialTCP(source net.IP) DialFunc {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// NewPool returns an empty Pool of TCP connections.
func NewPool() *Pool { return NewPoolFrom(nil) }

// NewPoolFrom returns an empty Pool of TCP connections from a source address, or from the one
// that the system selects if it is nil.
func NewPoolFrom(source net.IP) *Pool { return NewPoolWithDialer(dialTCP(source)) }

// NewPoolWithDialer returns an empty Pool whose connections are opened by a function.
func NewPoolWithDialer(dial DialFunc) *Pool {
	return &Pool{dialContext: dial, idle: make(map[string][]*Conn), inUse: make(map[string]int)}
}

// Get returns an idle or a new connection to a server. It fails with a
// ConnectionLimitError if limit connections are in use, and with a DialError if
// no connection can be established.
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

// Dial returns a new connection to a server. It fails as Get does.
func (p *Pool) Dial(ctx context.Context, server, address string, limit int) (*Conn, error) {
	if err := p.count(server, address, limit); err != nil {
		return nil, err
	}
	return p.dial(ctx, server, address)
}

// count counts one connection as in use.
func (p *Pool) count(server, address string, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[server] >= limit {
		return &ConnectionLimitError{Address: address, Limit: limit}
	}
	p.inUse[server]++
	return nil
}

// reserve counts one connection as in use and returns the most recently used
// idle one, or nil if a new one must be dialed.
func (p *Pool) reserve(server, address string, limit int) (*Conn, error) {
	now := time.Now()
	if err := p.count(server, address, limit); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[server]
	if len(idle) == 0 {
		return nil, nil
	}
	c := idle[len(idle)-1]
	if now.After(c.idleUntil) {
		// The other connections have been idle longer, so they have expired too.
		for _, old := range idle {
			_ = old.Close()
		}
		delete(p.idle, server)
		return nil, nil
	}
	p.idle[server] = idle[:len(idle)-1]
	return c, nil
}

// dial opens a connection that count has counted.
func (p *Pool) dial(ctx context.Context, server, address string) (*Conn, error) {
	raw, err := p.dialContext(ctx, address)
	if err != nil {
		p.release(server)
		return nil, &DialError{Address: address, Cause: err}
	}
	limited := &limitedReader{from: raw, left: math.MaxInt64}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited, server: server}, nil
}

// DialContext opens a connection that is not part of the pool, such as one that only
// shows whether a server can be reached.
func (p *Pool) DialContext(ctx context.Context, address string) (net.Conn, error) {
	return p.dialContext(ctx, address)
}

// release counts a connection as no longer in use.
func (p *Pool) release(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[server]--
	if p.inUse[server] <= 0 {
		delete(p.inUse, server)
	}
}

// Put returns a connection to the pool after its response was read to the end.
// idleTimeout is the idle timeout that the server stated, or 0.
func (p *Pool) Put(c *Conn, idleTimeout time.Duration) {
	if c.Reader.Buffered() > 0 {
		// Bytes after the response belong to no request.
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

// Discard closes a connection in use instead of returning it to the pool.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release(c.server)
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	idle := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that are no longer reused at the given
// time.
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

// idleAndOpen reports whether the server has neither closed an idle connection
// nor sent bytes that belong to no request. It reads one byte without blocking.
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
