package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// receiveBufferBytes is what the kernel may hold of a connection that is not read.
	receiveBufferBytes = 32 << 10
	// writePieceBytes is how much of an answer is written at once, so that a client that reads
	// slowly is told from one that doesn't read.
	writePieceBytes = 32 << 10
	// freeHeadBytes is the part of a head that a connection's own bytes include, and headFactor what a
	// byte of the rest counts until the handler has it: short fields take many times their size once
	// they are decoded.
	freeHeadBytes = 4 << 10
	headFactor    = 16
)

// Listen opens a TCP listener whose connections count towards a budget. Its name stands for
// it in limits, metrics and logs.
func (b *Budget) Listen(name, address string) (net.Listener, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return b.Wrap(name, l), nil
}

// Listen opens a TCP listener of whose connections the kernel holds little unread.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the size. Without it the kernel holds megabytes of each.
		return raw.Control(func(fd uintptr) {
			// A system that doesn't allow it has its own, smaller size.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Wrap returns a listener whose connections count towards the budget.
func (b *Budget) Wrap(name string, l net.Listener) net.Listener {
	return &listener{Listener: l, budget: b, name: name}
}

type listener struct {
	net.Listener
	budget *Budget
	name   string
}

// acceptRetry is the pause after a failed accept, for example while no descriptor is free.
const acceptRetry = 20 * time.Millisecond

// Accept returns the next connection for which there is room. Others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if isShortage(err) {
				l.budget.shortOfDescriptors(l.name, err)
				time.Sleep(acceptRetry)
				continue
			}
			return nil, err
		}
		c := &Conn{Conn: raw, budget: l.budget, listener: l.name}
		if l.budget.open(c) {
			return c, nil
		}
		c.abort()
	}
}

// Conn is a connection of a client that counts towards a budget.
type Conn struct {
	net.Conn
	budget *Budget
	// listener is the name of the listener that has accepted it.
	listener string
	id       ID
	// client is the name of the client once it is known.
	client atomic.Pointer[string]
	// inRequest is set from the end of a head to the end of the answer.
	inRequest atomic.Bool
	// headBytes is what was read of the head. The HTTP server may read on while a handler begins.
	headBytes atomic.Int64
	// aborted is set once the connection has yielded, and lingerOnClose by LingerOnClose.
	aborted, lingerOnClose atomic.Bool

	mu sync.Mutex
	// interrupt ends what a request waits for beside its client, or is nil.
	interrupt func()
	closed    bool
}

// YieldedError reports a connection that was closed because memory or connections were short.
type YieldedError struct{}

func (e *YieldedError) Error() string { return "the connection was closed because memory is short" }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.arrived(int64(n)) {
		return 0, &YieldedError{}
	}
	if err != nil && c.aborted.Load() {
		return n, &YieldedError{}
	}
	return n, err
}

// arrived counts bytes that were read. It returns false if there is no memory for a head.
func (c *Conn) arrived(n int64) bool {
	b := c.budget
	if c.inRequest.Load() {
		b.mu.Lock()
		b.core.Progress(time.Now(), c.id, n)
		b.mu.Unlock()
		return true
	}
	read := c.headBytes.Add(n)
	extra := read - max(read-n, freeHeadBytes)
	if extra <= 0 {
		return true
	}
	if b.growNow(c, headFactor*extra) == Granted {
		return true
	}
	c.abort()
	b.record(c, "closed", PhaseIdle, reasonHead, read)
	return false
}

// Write implements net.Conn. While the client doesn't read, the connection waits for it.
func (c *Conn) Write(p []byte) (written int, err error) {
	before := c.setPhase(PhaseSending)
	defer c.setPhase(before)
	for {
		n, err := c.Conn.Write(p[:min(len(p), writePieceBytes)])
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
		c.budget.mu.Lock()
		c.budget.core.Progress(time.Now(), c.id, int64(n))
		c.budget.mu.Unlock()
	}
}

// setPhase records what the connection waits for, and returns the phase before.
func (c *Conn) setPhase(p Phase) Phase {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.budget.core.SetPhase(time.Now(), c.id, p)
}

const (
	// lingerTime and maxLingerBytes limit how long and how much is read from a client whose request
	// was refused before it was read completely.
	lingerTime     = time.Second
	maxLingerBytes = 16 << 20
)

// LingerOnClose makes Close read and discard what the client still sends: closing a connection with
// unread data resets it, and the client would lose the answer.
func (c *Conn) LingerOnClose() { c.lingerOnClose.Store(true) }

// linger discards what the client sends. Meanwhile the connection counts as idle.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.endRequest()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lingerOnClose.Load() && !c.aborted.Load() {
		c.linger()
	}
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if !closed {
		c.budget.close(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// SetLinger sets what closing does with data that is not sent yet.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := transport(c.Conn).(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// transport returns the connection below TLS.
func transport(conn net.Conn) net.Conn {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapped.NetConn()
	}
}

// Of returns the connection of a budget in a connection that wraps it, or nil.
func Of(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapped.NetConn()
	}
}

// abort closes the connection with a reset, so that the kernel keeps nothing of it, and ends its
// request.
func (c *Conn) abort() {
	c.aborted.Store(true)
	// The connection may have been closed meanwhile.
	_ = c.SetLinger(0)
	_ = transport(c.Conn).Close()
	c.mu.Lock()
	interrupt := c.interrupt
	c.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
}

// clientName returns the name of the client, if it is known.
func (c *Conn) clientName() string {
	if name := c.client.Load(); name != nil {
		return *name
	}
	return clientOf(c.RemoteAddr())
}

// Idle records that the connection waits for the next request.
func (c *Conn) Idle() {
	c.endRequest()
	c.inRequest.Store(false)
	c.headBytes.Store(0)
}

// isShortage reports whether an accept failed for want of descriptors or memory.
func isShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// detached stands for the connection of a request that did not come through a listener of the
// budget.
type detached struct {
	net.Conn
	remote string
}

func (d detached) RemoteAddr() net.Addr { return remoteAddr(d.remote) }

// Close has nothing to close.
func (d detached) Close() error { return nil }

type remoteAddr string

func (remoteAddr) Network() string  { return "tcp" }
func (r remoteAddr) String() string { return string(r) }
