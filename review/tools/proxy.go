package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the path of one machine to one address. It can be cut: bytes of open connections are
// then held up and delivered later, as TCP sends them again, unless their sender resets the
// connection. Connections that are opened during the cut are never established at the far end.
type link struct {
	address string
	to      string

	mu      sync.Mutex
	cut     *cut
	trigger *trigger
}

// cut is one cut of a link.
type cut struct {
	healed chan struct{}
}

// trigger starts a cut when a machine sends certain bytes.
type trigger struct {
	pattern []byte
	fire    func()
}

func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// setCut cuts the link until the channel is closed.
func (l *link) setCut(c *cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
}

func (l *link) arm(t *trigger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trigger = t
}

func (l *link) current() *cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut != nil {
		select {
		case <-l.cut.healed:
			l.cut = nil
		default:
		}
	}
	return l.cut
}

// check fires the trigger if the bytes hold its pattern.
func (l *link) check(data []byte) {
	l.mu.Lock()
	t := l.trigger
	if t != nil && bytes.Contains(data, t.pattern) {
		l.trigger = nil
	} else {
		t = nil
	}
	l.mu.Unlock()
	if t != nil {
		t.fire()
	}
}

func (l *link) serve(near net.Conn) {
	if c := l.current(); c != nil {
		// The opening packet is lost: nothing that is sent here arrives.
		<-c.healed
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(near)
		return
	}
	go l.copy(far, near, true)
	l.copy(near, far, false)
}

// firstRetransmission is the least time after which TCP sends a lost segment again; each further
// one follows after twice the time of the one before.
const firstRetransmission = 200 * time.Millisecond

// copy copies bytes from one connection to the other.
func (l *link) copy(to, from net.Conn, outgoing bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			data := append([]byte(nil), buffer[:n]...)
			if outgoing {
				l.check(data)
			}
			if c := l.current(); c != nil {
				l.deliverLater(c, to, from, data)
				return
			}
			if _, err := to.Write(data); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if c := l.current(); c != nil {
				<-c.healed
			}
			if errors.Is(err, io.EOF) {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			reset(to)
			return
		}
	}
}

// heldBytes are the bytes of one direction of a connection that a cut holds up.
type heldBytes struct {
	mu       sync.Mutex
	data     []byte
	wasReset bool
	ended    bool
	// to is set once the bytes may pass.
	to net.Conn
}

// deliverLater holds up bytes during a cut. They arrive with the first retransmission after it,
// unless the sender has reset the connection.
func (l *link) deliverLater(c *cut, to, from net.Conn, data []byte) {
	h := &heldBytes{data: data}
	sentAt := time.Now()
	go h.collect(from)
	<-c.healed
	next := firstRetransmission
	for at := firstRetransmission; ; at += next {
		if due := time.Until(sentAt.Add(at)); due > 0 {
			time.Sleep(due)
			break
		}
		next *= 2
	}
	h.release(to)
}

// collect reads further bytes of the sender until the connection ends.
func (h *heldBytes) collect(from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		h.mu.Lock()
		if h.to == nil {
			h.data = append(h.data, buffer[:n]...)
		} else {
			_, _ = h.to.Write(buffer[:n])
		}
		if err != nil {
			h.ended, h.wasReset = true, errors.Is(err, syscall.ECONNRESET)
			if h.to != nil {
				_ = h.to.Close()
			}
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
	}
}

// release lets the bytes pass.
func (h *heldBytes) release(to net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wasReset {
		reset(to)
		return
	}
	_, _ = to.Write(h.data)
	h.to = to
	if tcp, ok := to.(*net.TCPConn); ok && h.ended {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
