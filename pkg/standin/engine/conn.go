package engine

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedListener knows its open connections, so that they can be cut or made
// silent.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
	// closed makes a connection that was accepted just before the cut end too.
	closed bool
	// accepted counts the connections so far.
	accepted int
}

// trackedConn is a connection whose writes vanish once it is silent, as on a
// path that drops all packets of one connection.
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

func (l *trackedListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silent.Store(true)
	}
}

// cut resets all open connections.
func (l *trackedListener) cut() {
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

// Close implements net.Conn. The peer of a silent connection does not see it
// close; cut ends it.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
