package gateway

import (
	"net"
	"sync"
	"time"
)

// watchListener wraps accepted connections in watchConn, so that a handler can
// detect that its caller has disconnected. fasthttp's request context does not
// report this.
type watchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchConn{Conn: conn}, nil
}

// watchConn reads one byte ahead while a handler runs. If that read fails, the
// caller has closed the connection. If it returns a byte, the byte belongs to
// the caller's next request and is kept for the next Read.
type watchConn struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
}

// NetConn returns the connection of the caller.
func (c *watchConn) NetConn() net.Conn { return c.Conn }

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

// watchDisconnect calls onDisconnect once if the caller closes the connection
// before stop is called. stop waits until the pending read has ended. The
// connection must not be read before stop has returned.
func (c *watchConn) watchDisconnect(onDisconnect func()) (stop func()) {
	c.mu.Lock()
	buffered := len(c.pending) > 0
	c.mu.Unlock()
	if buffered {
		// The caller has already sent its next request, so it is still
		// connected.
		return func() {}
	}
	// Clears the read deadline that the server set for the request.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		onDisconnect()
		return func() {}
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.readAhead(onDisconnect)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			// A deadline in the past interrupts the pending read.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			<-finished
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

// readAhead reads one byte and keeps it for the next Read. It calls onDisconnect
// if the read fails for another reason than a timeout.
func (c *watchConn) readAhead(onDisconnect func()) {
	buffer := make([]byte, 1)
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.mu.Lock()
		c.pending = append(c.pending, buffer[:n]...)
		c.mu.Unlock()
		return
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return
	}
	onDisconnect()
}
