package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Mode determines how a Proxy treats the data of its connections.
type Mode int32

// The modes.
const (
	// PassThrough forwards both directions.
	PassThrough Mode = iota
	// Blackhole forwards nothing and keeps connections open.
	Blackhole
	// RequestsOnly forwards data to the target and withholds the responses.
	RequestsOnly
	// Slow delays every chunk by slowDelay.
	Slow
)

// slowDelay is the delay of each chunk in mode Slow.
const slowDelay = 40 * time.Millisecond

// pollInterval is how often a blocked connection checks the mode.
const pollInterval = 20 * time.Millisecond

// Proxy is a TCP proxy between two processes on loopback that injects network
// faults.
type Proxy struct {
	target  string
	address string
	mode    atomic.Int32

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	// conns holds both ends of every open connection.
	conns map[net.Conn]struct{}
	// callers holds the accepted end of each connection, and hanging those that forward
	// nothing.
	callers, hanging map[net.Conn]struct{}
	// rejects reports whether to reset a new connection; it may be nil.
	rejects func(net.Conn) bool
}

// NewProxy listens on loopback and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	p := &Proxy{target: target, conns: make(map[net.Conn]struct{}), callers: make(map[net.Conn]struct{}), hanging: make(map[net.Conn]struct{})}
	return p, withFreeAddress(func(address string) error {
		p.address = address
		return p.listen()
	})
}

// listen starts to accept connections.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Address returns the address that callers connect to.
func (p *Proxy) Address() string { return p.address }

// Refuse resets all open connections and refuses new ones, as if the target's
// process had ended. With refuse unset, connections are accepted again.
func (p *Proxy) Refuse(refuse bool) error {
	if !refuse {
		return p.listen()
	}
	p.stopListening()
	p.Reset()
	return nil
}

func (p *Proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// SetMode sets the mode of all present and future connections.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// hang makes the open connections that match forward nothing until resume.
func (p *Proxy) hang(matches func(net.Conn) bool) {
	p.mu.Lock()
	callers := make([]net.Conn, 0, len(p.callers))
	for conn := range p.callers {
		callers = append(callers, conn)
	}
	p.mu.Unlock()
	for _, conn := range callers {
		if matches(conn) {
			p.mu.Lock()
			p.hanging[conn] = struct{}{}
			p.mu.Unlock()
		}
	}
}

// resume lets all connections forward data again.
func (p *Proxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.hanging)
}

// isHanging reports whether a connection forwards nothing.
func (p *Proxy) isHanging(caller net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, hanging := p.hanging[caller]
	return hanging
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stopListening()
	p.Reset()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(from net.Conn) {
	if p.rejects != nil && p.rejects(from) {
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	// The target sees the address of the caller.
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(from.RemoteAddr()))}}
	to, err := dialer.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.callers[from] = struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.forward(to, from, from, true) })
	done.Go(func() { p.forward(from, to, from, false) })
	done.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	delete(p.callers, from)
	delete(p.hanging, from)
	p.mu.Unlock()
}

// forward copies data of a caller's connection in one direction until either end closes.
func (p *Proxy) forward(to, from, caller net.Conn, toTarget bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		held := false
		for p.blocked(toTarget) || p.isHanging(caller) {
			held = true
			time.Sleep(pollInterval)
		}
		if held && isReset(from) {
			// The sender's kernel sends nothing again.
			return
		}
		if Mode(p.mode.Load()) == Slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// tcpClosed is the state of a socket whose connection was reset.
const tcpClosed = 7

// isReset reports whether the other side has reset a connection.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return reset || err != nil
}

// blocked reports whether the mode withholds data of a direction.
func (p *Proxy) blocked(toTarget bool) bool {
	m := Mode(p.mode.Load())
	return m == Blackhole || m == RequestsOnly && !toTarget
}
