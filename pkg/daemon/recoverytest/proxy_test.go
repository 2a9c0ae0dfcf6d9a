package recoverytest

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/gomega"
)

// proxy forwards one daemon's connections to a platform service, so that a test can
// make the service unavailable to this daemon only.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cut is set while all connections are closed and new ones refused.
	cut bool
	// mute is set while the responses of the service are dropped.
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
		p.tasks.Go(func() { p.forward(conn) })
	}
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(from, to) {
		_ = from.Close()
		if to != nil {
			_ = to.Close()
		}
		return
	}
	defer p.closeConns(from, to)
	p.tasks.Go(func() {
		_, _ = io.Copy(to, from)
		p.closeConns(from, to)
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

// track registers connections to be closed by setCut. It returns false if the proxy
// is cut.
func (p *proxy) track(conns ...net.Conn) bool {
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

func (p *proxy) closeConns(conns ...net.Conn) {
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
