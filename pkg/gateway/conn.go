package gateway

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// watchListener wraps accepted connections, so that a handler can notice that
// its caller has gone. fasthttp's request context does not tell.
type watchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchConn{Conn: conn}, nil
}

// watchConn reads ahead by one byte while a handler runs: an error of that read
// means that the caller has closed the connection. A byte that belongs to the
// caller's next request is kept for the next Read.
type watchConn struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
	// lingers is set when the answer is sent before the request was read.
	lingers atomic.Bool
}

const (
	// lingerTimeout and lingerBytes bound what is read from a caller whose
	// request was refused before it was read.
	lingerTimeout = time.Second
	lingerBytes   = 16 << 20
)

// Close implements net.Conn. If the caller is still sending, its bytes are read
// first: a close with unread bytes resets the connection, and the caller would
// lose the answer.
func (c *watchConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if c.lingers.Load() && ok && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *watchConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// watch calls gone once if the caller closes the connection before the returned
// function is called. The returned function waits for the watch to end; only
// then may the connection be read again.
func (c *watchConn) watch(gone func()) (stop func()) {
	c.mu.Lock()
	buffered := len(c.pending) > 0
	c.mu.Unlock()
	if buffered {
		// The caller has sent its next request already: it is still there.
		return func() {}
	}
	// The server's read deadline for the request is still set.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return func() {}
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.readAhead(gone)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			// A deadline in the past ends the pending read.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			<-finished
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

func (c *watchConn) readAhead(gone func()) {
	one := make([]byte, 1)
	n, err := c.Conn.Read(one)
	if n > 0 {
		c.mu.Lock()
		c.pending = append(c.pending, one[:n]...)
		c.mu.Unlock()
		return
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return
	}
	gone()
}
