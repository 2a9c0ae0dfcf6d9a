package engine

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedListener records its open connections, so that they can be reset or made
// silent.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
	// closed is set by resetAll, so that Accept also closes a connection that the
	// system accepted just before.
	closed bool
	// accepted is the number of connections accepted so far.
	accepted int
}

// trackedConn is a connection that discards its writes once it is silent, like a
// network path that drops all packets of one connection.
type trackedConn struct {
	net.Conn
	listener *trackedListener
	silent   atomic.Bool
}

func newTrackedListener(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = struct{}{}
	l.accepted++
	if l.closed {
		_ = conn.Close()
	}
	return tracked, nil
}

// silence makes all open connections silent.
func (l *trackedListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silent.Store(true)
	}
}

// resetAll resets all open connections.
func (l *trackedListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
		delete(l.conns, conn)
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open for its peer until
// resetAll closes it.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
