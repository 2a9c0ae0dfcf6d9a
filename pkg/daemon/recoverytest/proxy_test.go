package recoverytest

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/gomega"
)

// proxy carries one daemon's connections to a platform service, so that the
// service can be taken from this daemon alone.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cut closes all connections and refuses new ones.
	cut bool
	// mute drops what the service answers.
	mute  bool
	conns map[net.Conn]bool
	tasks sync.WaitGroup
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	p.tasks.Go(p.accept)
	return p
}

func (p *proxy) url() string { return "http://" + p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.carry(conn) })
	}
}

func (p *proxy) carry(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil || !p.keep(from, to) {
		_ = from.Close()
		if to != nil {
			_ = to.Close()
		}
		return
	}
	defer p.drop(from, to)
	p.tasks.Go(func() {
		_, _ = io.Copy(to, from)
		p.drop(from, to)
	})
	buffer := make([]byte, 32<<10)
	for {
		n, err := to.Read(buffer)
		if err != nil {
			return
		}
		if p.muted() {
			continue
		}
		if _, err := from.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) keep(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return true
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

func (p *proxy) muted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mute
}

func (p *proxy) setMute(mute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = mute
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.setCut(true)
	_ = p.listener.Close()
	p.tasks.Wait()
}
